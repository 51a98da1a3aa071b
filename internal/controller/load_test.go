package controller

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/kvstore"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/wire"
)

// A job is cancelled at a controller that has just been elected, while it waits for the slow reply
// to a read of the jobs that was executed before the cancellation. The new scheduler must
// nevertheless know the cancellation: the store may be unavailable from then on, and the
// cancellation watermark then advances by the peers' logs, which do not list it.
func TestCancellationDuringFailoverIsKept(t *testing.T) {
	const id = "run-000001"
	c := newTestController(t)
	c.membership.peers = map[string]*peerState{}
	storeHandler, loading := simulator.NewDeployment(simulator.DeploymentConfig{}).KVStoreHandler(), false
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !loading || r.URL.Path != "/kv" || !strings.HasPrefix(r.URL.Query().Get("starts"), records.LiveJobPrefix) {
			storeHandler.ServeHTTP(w, r)
			return
		}
		recordedReply := httptest.NewRecorder()
		storeHandler.ServeHTTP(recordedReply, r)
		if a := c.Cancel(t.Context(), id, FromUser); a.Status != http.StatusOK || a.State.State != wire.JobCancelled {
			t.Errorf("cancellation answered %+v", a)
		}
		for k, v := range recordedReply.Header() {
			w.Header()[k] = v
		}
		w.WriteHeader(recordedReply.Code)
		_, _ = w.Write(recordedReply.Body.Bytes())
	}))
	defer srv.Close()
	c.store = kvstore.New(srv.Listener.Addr().String(), 1000)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	job := wire.Job{ID: id, Tasks: 1, CPUs: 1, Team: "red", Shape: wire.ShapeService, Priority: wire.PriorityProduction}
	if _, _, err := c.store.Commit(ctx, kvstore.PriorityLeader, wire.Txn{Then: []wire.Op{{Set: records.JobKey(id), Value: records.Job{Job: job}}}}); err != nil {
		t.Fatal(err)
	}
	if err := c.jobSync.reload(ctx); err != nil {
		t.Fatal(err)
	}
	loading = true
	sched := (&leaderTerm{controller: c, number: 9, lost: make(chan struct{})}).loadScheduler(ctx)
	if sched == nil {
		t.Fatal("no scheduler was installed")
	}
	if s := sched.View().Job(c.now(), id); s == nil || s.State != wire.JobCancelled {
		t.Errorf("job is %+v in the scheduler after its cancellation was confirmed", s)
	}
}

// While a newly elected controller reads the records, the key-value store first loses replies and
// then is unavailable. The controller retries until it has read all records, reports the loading
// phase in the meantime, and then leads with every job.
func TestLoadingSurvivesLostAnswers(t *testing.T) {
	const jobs = 3
	c := newTestController(t)
	c.membership.peers = map[string]*peerState{}
	storeHandler, calls, phases := simulator.NewDeployment(simulator.DeploymentConfig{}).KVStoreHandler(), 0, map[string]int{}
	var mu sync.Mutex
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/kv" {
			storeHandler.ServeHTTP(w, r)
			return
		}
		if status, ok, err := c.RecoveryView(); ok && err == nil {
			mu.Lock()
			phases[status.Phase]++
			mu.Unlock()
		}
		mu.Lock()
		calls++
		call := calls
		mu.Unlock()
		switch {
		case call <= 2:
			panic(http.ErrAbortHandler) // the reply is lost
		case call <= 5:
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			storeHandler.ServeHTTP(w, r)
		}
	}))
	defer srv.Close()
	c.store = kvstore.New(srv.Listener.Addr().String(), 1000)
	for i := range jobs {
		job := wire.Job{ID: fmt.Sprintf("run-%06d", i), Tasks: 1, CPUs: 1, Team: "crew", Shape: wire.ShapeArray, Priority: wire.PriorityNormal}
		if _, _, err := c.store.Commit(t.Context(), kvstore.PriorityLeader, wire.Txn{Then: []wire.Op{{Set: records.JobKey(job.ID), Value: records.Job{Job: job}}}}); err != nil {
			t.Fatal(err)
		}
	}
	sched := (&leaderTerm{controller: c, number: 9, lost: make(chan struct{})}).loadScheduler(t.Context())
	if sched == nil {
		t.Fatal("no scheduler was installed")
	}
	for i := range jobs {
		if sched.View().Job(c.now(), fmt.Sprintf("run-%06d", i)) == nil {
			t.Errorf("job %d is missing from the scheduler", i)
		}
	}
	if phases["loading"] == 0 || len(phases) != 1 {
		t.Errorf("recovery phases reported while the records were read: %v", phases)
	}
	if status, ok, err := c.RecoveryView(); !ok || err != nil || status.Phase == "loading" {
		t.Errorf("recovery after the records were read: %+v, %v, %v", status, ok, err)
	}
}
