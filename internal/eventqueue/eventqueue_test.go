package eventqueue

import (
	"slices"
	"testing"
	"time"
)

func TestEventsAreOrderedByTimeThenInsertion(t *testing.T) {
	var queue Queue
	var names []string
	add := func(at time.Duration, name string) {
		queue.Add(at, func() { names = append(names, name) })
	}
	add(2, "third")
	add(1, "first")
	add(1, "second")
	add(4, "too late")
	for {
		_, run, ok := queue.Next(3)
		if !ok {
			break
		}
		run()
	}
	if want := []string{"first", "second", "third"}; !slices.Equal(names, want) {
		t.Errorf("events ran in order %q, want %q", names, want)
	}
	if at, _, ok := queue.Next(4); !ok || at != 4 {
		t.Errorf("last event: got time %v and ok %v, want 4ns and true", at, ok)
	}
}
