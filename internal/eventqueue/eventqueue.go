// Package eventqueue provides the event queue of a discrete-event simulation. Events run in
// order of their time; events with the same time run in insertion order.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue holds the pending events. The zero value is an empty queue.
type Queue struct {
	events       eventHeap
	lastSequence int
}

type event struct {
	at       time.Duration // time since the start of the simulation
	sequence int           // position in insertion order
	run      func()
}

// Add schedules run at the simulated time at.
func (q *Queue) Add(at time.Duration, run func()) {
	q.lastSequence++
	heap.Push(&q.events, event{at, q.lastSequence, run})
}

// Next removes and returns the earliest event. ok is false if there is no event at or before
// until.
func (q *Queue) Next(until time.Duration) (at time.Duration, run func(), ok bool) {
	if len(q.events) == 0 || q.events[0].at > until {
		return 0, nil, false
	}
	next := heap.Pop(&q.events).(event)
	return next.at, next.run, true
}

// eventHeap implements heap.Interface, with the earliest event first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
