package controller

import (
	"context"
	"sync"
	"time"
)

// replicaRefresher shares reads of the replica's changes among concurrent callers. It has a
// lock of its own, which is never held together with Controller.mu.
type replicaRefresher struct {
	read        func() error         // brings the replica up to date
	minInterval func() time.Duration // the least time between two reads

	mu      sync.Mutex
	next    *refreshCall // not sent yet; nil: nobody waits
	serving bool         // a goroutine serves the calls
}

// refreshCall is one read of changes. Whoever came before it was sent may rely on what it
// finds.
type refreshCall struct {
	done       chan struct{}
	err        error
	answeredAt time.Time
}

// refresh brings the replica up to a moment after the call. Concurrent callers share a read,
// but never one that was sent before they came. It returns when that was answered.
func (r *replicaRefresher) refresh(ctx context.Context) (answeredAt time.Time, err error) {
	call := r.join()
	select {
	case <-call.done:
		return call.answeredAt, call.err
	case <-ctx.Done():
		return time.Time{}, ctx.Err()
	}
}

// join returns the next call, and has it served.
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

// serve serves waiting calls one after the other and ends when nobody waits.
func (r *replicaRefresher) serve() {
	for {
		r.mu.Lock()
		call := r.next
		//mutation:query-joins-no-earlier-read
		r.next = nil // nobody joins a call that is about to be sent
		r.serving = call != nil
		r.mu.Unlock()
		if call == nil {
			return
		}
		call.err = r.read()
		call.answeredAt = time.Now()
		close(call.done)
		time.Sleep(r.minInterval())
	}
}
