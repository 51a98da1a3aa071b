// Package eventqueue orders the events of a simulation by their times, and events of the
// same time by when they were added.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue holds the events that are to come. The zero value is empty.
type Queue struct {
	events      eventHeap
	addedEvents int
}

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

// Add adds an event.
func (q *Queue) Add(at time.Duration, run func()) {
	q.addedEvents++
	heap.Push(&q.events, event{at, q.addedEvents, run})
}

// Next takes the first event out of the queue, unless it comes after until.
func (q *Queue) Next(until time.Duration) (at time.Duration, run func(), ok bool) {
	if len(q.events) == 0 || q.events[0].at > until {
		return 0, nil, false
	}
	next := heap.Pop(&q.events).(event)
	return next.at, next.run, true
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(a, b int) bool {
	return h[a].at < h[b].at || h[a].at == h[b].at && h[a].sequence < h[b].sequence
}
func (h eventHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push is heap.Interface's.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop is heap.Interface's.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
