package node

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/standin"
	"github.com/yarrowgap/yarrowgap/internal/store"
	"github.com/yarrowgap/yarrowgap/wire"
)

// A job is cancelled at a node that has just been elected and waits for a slow answer
// of the state service, which was read before. What it leads with has the cancellation
// all the same: the service may refuse it from then on, and by its peers' lists it
// counts as knowing all of them.
func TestCancelledWhileRecovering(t *testing.T) {
	const id = "run-000001"
	n := quietNode(t)
	n.peers = map[string]*peer{}
	state, recovering := standin.NewSite(nil, nil, nil, 0, 0, 0).State(), false
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !recovering || r.URL.Path != "/kv" || !strings.HasPrefix(r.URL.Query().Get("starts"), store.JobPrefix) {
			state.ServeHTTP(w, r)
			return
		}
		answer := httptest.NewRecorder()
		state.ServeHTTP(answer, r)
		if a := n.Cancel(t.Context(), id, false); a.Status != http.StatusOK || a.State.State != wire.JobCancelled {
			t.Errorf("cancellation: %+v", a)
		}
		for k, v := range answer.Header() {
			w.Header()[k] = v
		}
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes())
	}))
	defer srv.Close()
	n.state = store.New(srv.Listener.Addr().String(), 1000)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	job := wire.Job{ID: id, Tasks: 1, CPUs: 1, Team: "red", Shape: wire.ShapeService, Rank: wire.RankProduction}
	if _, _, err := n.state.Commit(ctx, store.First, wire.Txn{Apply: []wire.Change{{Set: store.JobKey(id), Value: store.JobRecord{Job: job}}}}); err != nil {
		t.Fatal(err)
	}
	if err := n.reload(ctx); err != nil {
		t.Fatal(err)
	}
	recovering = true
	leader := n.recover(ctx, 9, make(chan struct{}))
	if leader == nil {
		t.Fatal("not recovered")
	}
	if s := leader.Job(n.now(), id); s == nil || s.State != wire.JobCancelled {
		t.Errorf("led with %+v, after its user was told that it is cancelled", s)
	}
}

// While a node that was elected reads the records, the state service loses answers,
// refuses and is slow. It reads again until it has all of them, shows that it is loading
// meanwhile, and leads with every job.
func TestLoadingThroughLostAnswers(t *testing.T) {
	const jobs = 3
	n := quietNode(t)
	n.peers = map[string]*peer{}
	state, calls, phases := standin.NewSite(nil, nil, nil, 0, 0, 0).State(), 0, map[string]int{}
	var mu sync.Mutex
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/kv" {
			state.ServeHTTP(w, r)
			return
		}
		if status, ok, err := n.RecoveryView(); ok && err == nil {
			mu.Lock()
			phases[status.Phase]++
			mu.Unlock()
		}
		mu.Lock()
		calls++
		turn := calls
		mu.Unlock()
		switch {
		case turn <= 2:
			panic(http.ErrAbortHandler) // the answer is lost
		case turn <= 5:
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			state.ServeHTTP(w, r)
		}
	}))
	defer srv.Close()
	n.state = store.New(srv.Listener.Addr().String(), 1000)
	for i := range jobs {
		job := wire.Job{ID: fmt.Sprintf("run-%06d", i), Tasks: 1, CPUs: 1, Team: "crew", Shape: wire.ShapeArray, Rank: wire.RankNormal}
		if _, _, err := n.state.Commit(t.Context(), store.First, wire.Txn{Apply: []wire.Change{{Set: store.JobKey(job.ID), Value: store.JobRecord{Job: job}}}}); err != nil {
			t.Fatal(err)
		}
	}
	leader := n.recover(t.Context(), 9, make(chan struct{}))
	if leader == nil {
		t.Fatal("not recovered")
	}
	for i := range jobs {
		if leader.Job(n.now(), fmt.Sprintf("run-%06d", i)) == nil {
			t.Errorf("job %d is not known", i)
		}
	}
	if phases["loading"] == 0 || len(phases) != 1 {
		t.Errorf("phases shown while the records were read: %v", phases)
	}
	if status, ok, err := n.RecoveryView(); !ok || err != nil || status.Phase == "loading" {
		t.Errorf("after it: %+v, %v, %v", status, ok, err)
	}
}
