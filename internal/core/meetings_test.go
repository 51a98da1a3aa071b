package core_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// Two troubles that meet, with generated times, around services that are cancelled
// meanwhile: the rules hold in each world, and in some the checker finds them broken
// once the guard that the meeting is about is taken out.
func TestMeetings(t *testing.T) {
	for _, m := range []struct {
		name  string
		guard guard
		meet  func(w *world, leader *simNode)
	}{
		{"the state service refuses the leader alone, then everybody for longer than a cancellation has, and a peer starts anew", boundOnKnown,
			func(w *world, leader *simNode) {
				leader.refused = w.now + 10*time.Second
				w.after(w.between(1000, 1500), func() {
					w.cancelSome()
					w.state.SetDown(w.now, true)
					for _, n := range w.nodes {
						if n != leader {
							n.crash(time.Second)
						}
					}
				})
				w.after(70*time.Second, func() { w.state.SetDown(w.now, false) })
			}},
		{"the same, and all peers live", peersLists,
			func(w *world, leader *simNode) {
				leader.refused = w.now + 10*time.Second
				w.after(w.between(100, 1500), w.cancelSome)
				w.after(w.between(1600, 2200), func() { w.state.SetDown(w.now, true) })
				w.after(70*time.Second, func() { w.state.SetDown(w.now, false) })
			}},
		{"a leader that no worker reaches is then cut off from the node that they come to", seenThrough,
			func(w *world, leader *simNode) {
				leader.alone = w.now + 60*time.Second
				w.after(w.between(50, 200), w.cancelSome)
				w.after(w.between(4800, 5900), func() {
					zone := "a"
					if w.zoneOf(leader.name) == "a" {
						zone = "b"
					}
					for _, n := range w.nodes {
						if w.zoneOf(n.name) == zone {
							n.cut = w.now + 60*time.Second
						}
					}
					w.zoneCut[zone] = w.now + 60*time.Second
				})
			}},
		{"a leader stands still, and is cut off with its zone when it goes on; the cloud is down", fromSending,
			func(w *world, leader *simNode) {
				w.cloudDown = true // or the zone's machines would be given back in time
				leader.frozen = w.now + w.between(4000, 9000)
				w.after(w.between(50, 200), func() {
					w.zoneCut[w.zoneOf(leader.name)] = w.now + 60*time.Second
					for _, n := range w.nodes {
						if w.zoneOf(n.name) == w.zoneOf(leader.name) {
							n.cut = w.now + 60*time.Second
						}
					}
					w.after(w.between(10, 3000), w.cancelSome)
				})
			}},
	} {
		t.Run(m.name, func(t *testing.T) {
			broken := func(without guard, seed uint64) string {
				w := newWorld(seed)
				w.without = without
				for i := range 8 {
					w.after(time.Duration(i)*100*time.Millisecond, func() {
						w.submit(&wire.Job{ID: fmt.Sprintf("run-%06d", i), Class: "c", Team: []string{"red", "blue"}[i%2], Shape: wire.ShapeService,
							Rank: wire.RankProduction, Tasks: 3, CPUs: 1, MemoryGB: 2, Image: "img", ImageGB: 1})
					})
				}
				w.after(20*time.Second+w.between(0, 2000), func() {
					for _, n := range w.nodes {
						if n.leader != nil {
							m.meet(w, n)
						}
					}
				})
				w.run(140 * time.Second)
				return strings.Join(w.rules.Broken, "\n")
			}
			caught := 0
			for seed := range uint64(25) {
				if b := broken(everyGuard, seed); b != "" {
					t.Fatalf("seed %d: %s", seed, b)
				}
				if broken(m.guard, seed) != "" {
					caught++
				}
			}
			if caught == 0 {
				t.Error("without its guard no world breaks a rule: the meeting shows nothing")
			}
			t.Logf("without the guard, %d of 25 worlds break a rule", caught)
		})
	}
}

// between draws a time in milliseconds.
func (w *world) between(from, to int) time.Duration {
	return time.Duration(from+w.rng.IntN(to-from)) * time.Millisecond
}

// cancelSome cancels half of the services.
func (w *world) cancelSome() {
	for i := range 4 {
		w.cancel(fmt.Sprintf("run-%06d", 2*i+w.rng.IntN(2)))
	}
}
