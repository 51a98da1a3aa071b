package node

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/mesh"
	"github.com/yarrowgap/yarrowgap/internal/standin"
	"github.com/yarrowgap/yarrowgap/internal/store"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// onState makes a node over the stand-in state service. Answers to requests that hold
// picks are read at once and come when let is closed; came tells that one was read.
func onState(t *testing.T, hold func(*http.Request) bool) (n *Node, other *store.Client, came, let chan struct{}) {
	site := standin.NewSite(nil, nil, nil, 0, time.Second, time.Second)
	state := site.State()
	came, let = make(chan struct{}, 16), make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !hold(r) {
			state.ServeHTTP(w, r)
			return
		}
		rec := httptest.NewRecorder()
		state.ServeHTTP(rec, r)
		came <- struct{}{}
		<-let
		w.WriteHeader(rec.Code)
		_, _ = w.Write(rec.Body.Bytes())
	}))
	t.Cleanup(srv.Close)
	n = quietNode(t)
	n.state = store.New(srv.Listener.Addr().String(), 1000)
	return n, store.New(srv.Listener.Addr().String(), 1000), came, let
}

func write(t *testing.T, c *store.Client, changes ...wire.Change) {
	t.Helper()
	if _, _, err := c.Commit(context.Background(), store.First, wire.Txn{Apply: changes}); err != nil {
		t.Fatal(err)
	}
}

// A job is accepted and ends while the read that it is absent by is under way, and the
// node passes over both changes by reading all live jobs anew, as one that becomes leader
// does: that it was absent holds no longer.
func TestAbsenceIsNotNotedAcrossAReset(t *testing.T) {
	const id = "run-000001"
	n, other, came, let := onState(t, func(r *http.Request) bool { return strings.HasSuffix(r.URL.Path, store.EndedKey(id)) })
	ctx := context.Background()
	if _, err := n.fresh(ctx); err != nil {
		t.Fatal(err)
	}
	early := make(chan Answer)
	go func() { early <- n.Query(ctx, id, true) }()
	<-came
	write(t, other, wire.Change{Set: store.JobKey(id), Value: store.JobRecord{Job: wire.Job{ID: id, Tasks: 1}}})
	write(t, other, wire.Change{Delete: store.JobKey(id)}, wire.Change{Set: store.EndedKey(id), Value: store.EndedRecord{State: wire.JobDone, Done: 1, Tasks: 1}})
	if err := n.reload(ctx); err != nil {
		t.Fatal(err)
	}
	close(let)
	<-early // may say either: it was asked before
	if a := n.Query(ctx, id, true); a.Status != http.StatusOK || a.View.State != wire.JobDone {
		t.Errorf("a done job: %+v", a)
	}
}

// A full read that changes overtake does not take the copy back.
func TestFullReadThatIsOvertaken(t *testing.T) {
	const id = "run-000001"
	var held atomic.Bool
	n, other, came, let := onState(t, func(r *http.Request) bool { return held.Load() && r.URL.Path == "/kv" })
	ctx := context.Background()
	write(t, other, wire.Change{Set: store.JobKey(id), Value: store.JobRecord{Job: wire.Job{ID: id, Tasks: 1}}})
	if _, err := n.fresh(ctx); err != nil {
		t.Fatal(err)
	}
	held.Store(true)
	done := make(chan error)
	go func() { done <- n.reload(ctx) }()
	<-came
	write(t, other, wire.Change{Set: store.JobKey(id), Value: store.JobRecord{Job: wire.Job{ID: id, Tasks: 1}, Cancelled: true}})
	if a := n.Query(ctx, id, true); a.Status != http.StatusOK || a.View.State != wire.JobCancelled {
		t.Errorf("a cancelled job: %+v", a)
	}
	close(let)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if live := n.replica.Live[id]; live == nil || !live.Record.Cancelled {
		t.Errorf("the copy was taken back: %+v", live)
	}
}

// What was read before the process stood still is read again before it is told.
func TestKnownReadsAgainAfterAStandstill(t *testing.T) {
	const id = "run-000001"
	n, other, _, _ := onState(t, func(*http.Request) bool { return false })
	ctx := context.Background()
	write(t, other, wire.Change{Set: store.JobKey(id), Value: store.JobRecord{Job: wire.Job{ID: id, Tasks: 1}}})
	if _, err := n.fresh(ctx); err != nil {
		t.Fatal(err)
	}
	// A read of long ago, which this question shares, since the process stood still
	// between its answer and now.
	old := &syncCall{done: make(chan struct{}), at: time.Now().Add(-2 * tuning.AnswerWithin)}
	close(old.done)
	n.next, n.active = old, true
	write(t, other, wire.Change{Set: store.JobKey(id), Value: store.JobRecord{Job: wire.Job{ID: id, Tasks: 1}, Cancelled: true}})
	time.AfterFunc(20*time.Millisecond, func() {
		n.syncMu.Lock()
		defer n.syncMu.Unlock()
		n.next, n.active = nil, false
	})
	if v, found, err := n.known(ctx, id); err != nil || !found || v.State != wire.JobCancelled {
		t.Errorf("%+v %v %v", v, found, err)
	}
}

// A submission that takes long is put to a peer, which takes the job for one that can never
// run, since it knows other machine types; the job was accepted meanwhile. Its user is not
// told to give it up.
func TestPeersRefusalDoesNotUndoAcceptance(t *testing.T) {
	const id = "run-000001"
	n, _, came, let := onState(t, func(r *http.Request) bool { return r.URL.Path == "/commit" })
	defer close(let)
	n.types = []wire.MachineType{{Name: "box", CPUs: 8, MemoryGB: 64, Zones: []string{"a"}}}
	var status atomic.Int64
	asked := make(chan struct{}, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		b, err := wire.Marshal(mesh.Forwarded{Status: int(status.Load()), Error: "no"})
		if err != nil {
			t.Error(err)
		}
		_, _ = w.Write(b)
		asked <- struct{}{}
	}))
	defer srv.Close()
	n.peers["drover-1"] = &peer{Peer: config.Peer{Name: "drover-1", Addr: srv.Listener.Addr().String()}, heard: time.Now()}
	for _, refusal := range []int{http.StatusUnprocessableEntity, http.StatusBadRequest, http.StatusNotFound} {
		status.Store(int64(refusal))
		b, err := standin.Submission(&wire.Job{ID: id, Class: "c", Team: "crew", Shape: wire.ShapeArray, Rank: wire.RankNormal, Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "i"})
		if err != nil {
			t.Fatal(err)
		}
		told := make(chan Answer)
		go func() { told <- n.Submit(context.Background(), b, false) }()
		<-came // carried out: accepted, or known already
		<-asked
		var a Answer
		select {
		case a = <-told:
		case <-time.After(50 * time.Millisecond):
			let <- struct{}{} // the service's answer comes
			a = <-told
		}
		if a.State == nil || a.State.State != wire.JobPending {
			t.Errorf("an accepted job, after a peer's %d: %+v", refusal, a)
		}
	}
}
