package controller

import (
	"context"
	"sync"
	"time"
)

// replicaRefresher shares reads of changes for the replica among concurrent callers. Its lock is
// never held together with Controller.mu.
type replicaRefresher struct {
	read        func() (sentAt time.Time, err error) // brings the replica up to date as of sentAt
	minInterval func() time.Duration                 // the least time between two reads

	mu      sync.Mutex
	next    *refreshCall // the read that new callers join, not sent yet; nil if no caller has joined
	serving bool         // whether a goroutine runs serve
}

// refreshCall is one read of changes, shared by the callers that joined it before it was sent.
type refreshCall struct {
	done   chan struct{} // closed when the fields below are set
	err    error
	sentAt time.Time
}

// refresh brings the replica up to date as of a time after refresh was called. Concurrent callers
// share a read, but only one that is sent after each of them has called. It returns the time at
// which that read was sent.
func (r *replicaRefresher) refresh(ctx context.Context) (sentAt time.Time, err error) {
	call := r.join()
	select {
	case <-call.done:
		return call.sentAt, call.err
	case <-ctx.Done():
		return time.Time{}, ctx.Err()
	}
}

// join returns the next call, and starts serve if it is not running.
func (r *replicaRefresher) join() *refreshCall {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = &refreshCall{done: make(chan struct{})}
		if !r.serving {
			r.serving = true
			go r.serve()
		}
	}
	return r.next
}

// serve makes the next call as long as there is one, at intervals of at least minInterval.
func (r *replicaRefresher) serve() {
	for {
		r.mu.Lock()
		call := r.next
		//mutation:query-joins-no-earlier-read
		r.next = nil // no caller may join a call that is about to be sent
		r.serving = call != nil
		r.mu.Unlock()
		if call == nil {
			return
		}
		call.sentAt, call.err = r.read()
		close(call.done)
		time.Sleep(r.minInterval())
	}
}
