package controller

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/cloud"
	"github.com/yarrowgap/yarrowgap/internal/kvstore"
	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// A request to the cloud that was delayed by a process pause is not sent once the lease may have
// expired: a release would remove machines that run tasks for the next leader.
func TestNoCloudRequestAfterLeaseExpiry(t *testing.T) {
	requests := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests++
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer srv.Close()
	c := newTestController(t)
	c.cloud = cloud.New(srv.Listener.Addr().String())
	c.leadership.scheduler, c.leadership.lost = scheduler.New(c.now(), c.schedulerSettings(), 9, scheduler.NewReplica(), nil, nil, nil), make(chan struct{})
	callCloud := func() {
		executor{c, c.leadership.scheduler}.release([]string{"n-000001"})
		executor{c, c.leadership.scheduler}.provision(wire.ProvisionRequest{RequestID: "r-1", Count: 1})
	}
	c.leadership.leaseHeldUntil = time.Now().Add(-time.Second)
	if callCloud(); requests != 0 {
		t.Errorf("%d requests after the lease expired", requests)
	}
	c.leadership.leaseHeldUntil = time.Now().Add(time.Hour)
	if callCloud(); requests != 2 {
		t.Errorf("%d requests while the lease is held", requests)
	}
}

// Guards against a transaction that was certainly not executed counting as one that may be stored:
// what it would have written was kept in memory and tried again unchanged.
func TestCommitResults(t *testing.T) {
	for err, want := range map[error]scheduler.CommitResult{
		nil:                       scheduler.CommitDone,
		kvstore.ErrConflict:       scheduler.CommitConflict,
		kvstore.ErrUnavailable:    scheduler.CommitRefused,
		kvstore.ErrOverBudget:     scheduler.CommitRefused,
		kvstore.ErrRateLimited:    scheduler.CommitRateLimited,
		kvstore.ErrRejected:       scheduler.CommitRejected,
		kvstore.ErrOutcomeUnknown: scheduler.CommitUnknown,
		kvstore.ErrLeaseNotFound:  scheduler.CommitUnknown,
	} {
		if err != nil {
			err = fmt.Errorf("commit: %w", err)
		}
		if got := commitResult(err); got != want {
			t.Errorf("%v: result %v, want %v", err, got, want)
		}
	}
}

// The number of concurrent calls to workers is bounded by their share of the sockets, however many
// machines have commands due.
func TestDirectCallsAreBounded(t *testing.T) {
	c := newTestController(t)
	c.cfg.Deployment.Quota.FDLimit = 300
	if got := maxConcurrentWorkerCalls(c.cfg); got != tuning.MinWorkerCalls {
		t.Errorf("limit of %d concurrent calls with few sockets", got)
	}
	c.workerCallSlots = make(chan struct{}, 3)
	var concurrent, maxConcurrent atomic.Int64
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for current := concurrent.Add(1); ; {
			previous := maxConcurrent.Load()
			if current <= previous || maxConcurrent.CompareAndSwap(previous, current) {
				break
			}
		}
		for range 100 {
			runtime.Gosched() // lets other calls run at the same time, if they are not limited
		}
		concurrent.Add(-1)
		w.WriteHeader(http.StatusTeapot)
	})
	var wg sync.WaitGroup
	for range 24 {
		srv := httptest.NewServer(handler) // one a call: the client limits connections per host
		defer srv.Close()
		wg.Go(func() {
			executor{c, &scheduler.Scheduler{}}.callWorker(scheduler.DirectCall{Addr: srv.Listener.Addr().String()})
		})
	}
	wg.Wait()
	if got := maxConcurrent.Load(); got == 0 || got > 3 {
		t.Errorf("%d concurrent calls, with a limit of 3", got)
	}
}
