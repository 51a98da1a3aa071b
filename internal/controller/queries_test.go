package controller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/kvstore"
	"github.com/yarrowgap/yarrowgap/internal/peer"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// newControllerWithStore makes a controller on a simulated key-value store, and a client of that
// store. Requests for which holdBack returns true are executed at once, but their replies are sent
// only after a receive from proceed, which may be closed. received gets an element for each such
// request when it has been executed.
func newControllerWithStore(t *testing.T, holdBack func(*http.Request) bool) (c *Controller, client *kvstore.Client, received, proceed chan struct{}) {
	t.Helper()
	deployment := simulator.NewDeployment(simulator.DeploymentConfig{HeartbeatInterval: time.Second, LeaseDuration: time.Second})
	storeHandler := deployment.KVStoreHandler()
	received, proceed = make(chan struct{}, 16), make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !holdBack(r) {
			storeHandler.ServeHTTP(w, r)
			return
		}
		recordedReply := httptest.NewRecorder()
		storeHandler.ServeHTTP(recordedReply, r)
		received <- struct{}{}
		<-proceed
		w.WriteHeader(recordedReply.Code)
		_, _ = w.Write(recordedReply.Body.Bytes())
	}))
	t.Cleanup(srv.Close)
	c = newTestController(t)
	c.store = kvstore.New(srv.Listener.Addr().String(), 1000)
	return c, kvstore.New(srv.Listener.Addr().String(), 1000), received, proceed
}

func commitOps(t *testing.T, client *kvstore.Client, ops ...wire.Op) {
	t.Helper()
	if _, _, err := client.Commit(context.Background(), kvstore.PriorityLeader, wire.Txn{Then: ops}); err != nil {
		t.Fatal(err)
	}
}

// A job is accepted and ends while a read that finds it absent is in flight. The controller misses
// both changes, since it reloads all live jobs in the meantime as a new leader does. It must not
// cache the job as absent.
func TestAbsentJobNotCachedAcrossReplicaReset(t *testing.T) {
	const id = "run-000001"
	c, client, received, proceed := newControllerWithStore(t, func(r *http.Request) bool { return strings.HasSuffix(r.URL.Path, records.EndedJobKey(id)) })
	ctx := context.Background()
	if _, err := c.jobSync.refresher.refresh(ctx); err != nil {
		t.Fatal(err)
	}
	earlyAnswer := make(chan Answer)
	go func() { earlyAnswer <- c.Query(ctx, id, FromPeer) }()
	<-received
	commitOps(t, client, wire.Op{Set: records.JobKey(id), Value: records.Job{Job: wire.Job{ID: id, Tasks: 1}}})
	commitOps(t, client, wire.Op{Delete: records.JobKey(id)}, wire.Op{Set: records.EndedJobKey(id), Value: records.EndedJob{State: wire.JobDone, Done: 1, Tasks: 1}})
	if err := c.jobSync.reload(ctx); err != nil {
		t.Fatal(err)
	}
	close(proceed)
	<-earlyAnswer // both answers are correct: the query began before the job was accepted
	if a := c.Query(ctx, id, FromPeer); a.Status != http.StatusOK || a.View.State != wire.JobDone {
		t.Errorf("query of a done job answered %+v", a)
	}
}

// A full read of the live jobs whose reply arrives after newer changes does not revert the replica
// to the older state.
func TestReloadOvertakenByWatchKeepsNewerState(t *testing.T) {
	const id = "run-000001"
	var holdReads atomic.Bool
	c, client, received, proceed := newControllerWithStore(t, func(r *http.Request) bool { return holdReads.Load() && r.URL.Path == "/kv" })
	ctx := context.Background()
	commitOps(t, client, wire.Op{Set: records.JobKey(id), Value: records.Job{Job: wire.Job{ID: id, Tasks: 1}}})
	if _, err := c.jobSync.refresher.refresh(ctx); err != nil {
		t.Fatal(err)
	}
	holdReads.Store(true)
	done := make(chan error)
	go func() { done <- c.jobSync.reload(ctx) }()
	<-received
	commitOps(t, client, wire.Op{Set: records.JobKey(id), Value: records.Job{Job: wire.Job{ID: id, Tasks: 1}, Cancelled: true}})
	if a := c.Query(ctx, id, FromPeer); a.Status != http.StatusOK || a.View.State != wire.JobCancelled {
		t.Errorf("query of a cancelled job answered %+v", a)
	}
	close(proceed)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if live := c.replication.replica.Live[id]; live == nil || !live.Record.Cancelled {
		t.Errorf("the replica was reverted to %+v", live)
	}
}

// A state that was read before a process pause is read again before it is returned.
func TestLookUpJobReadsAgainAfterProcessPause(t *testing.T) {
	const id = "run-000001"
	c, client, _, _ := newControllerWithStore(t, func(*http.Request) bool { return false })
	ctx := context.Background()
	commitOps(t, client, wire.Op{Set: records.JobKey(id), Value: records.Job{Job: wire.Job{ID: id, Tasks: 1}}})
	if _, err := c.jobSync.refresher.refresh(ctx); err != nil {
		t.Fatal(err)
	}
	// An old read that this query shares, as if the process had paused after the read's reply.
	stale := &refreshCall{done: make(chan struct{}), sentAt: time.Now().Add(-2 * tuning.MaxAnswerAge)}
	close(stale.done)
	c.jobSync.refresher.next, c.jobSync.refresher.serving = stale, true
	commitOps(t, client, wire.Op{Set: records.JobKey(id), Value: records.Job{Job: wire.Job{ID: id, Tasks: 1}, Cancelled: true}})
	time.AfterFunc(20*time.Millisecond, func() {
		c.jobSync.refresher.mu.Lock()
		defer c.jobSync.refresher.mu.Unlock()
		c.jobSync.refresher.next, c.jobSync.refresher.serving = nil, false
	})
	if snapshot, err := c.lookUpJob(ctx, id); err != nil || !snapshot.found || snapshot.view.State != wire.JobCancelled {
		t.Errorf("%+v %v", snapshot, err)
	}
}

// A submission whose commit takes long is forwarded to a peer, which refuses it permanently, for
// example because the peer knows other machine types. The commit has been executed in the meantime,
// so the user must not receive the refusal.
func TestPeerRefusalDoesNotUndoAcceptance(t *testing.T) {
	const id = "run-000001"
	c, _, received, proceed := newControllerWithStore(t, func(r *http.Request) bool { return r.URL.Path == "/commit" })
	defer close(proceed)
	c.machineTypes = []wire.MachineType{{Name: "box", CPUs: 8, MemoryGB: 64, Zones: []string{"a"}}}
	var status atomic.Int64
	forwardReceived := make(chan struct{}, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		b, err := wire.Marshal(peer.ForwardReply{Status: int(status.Load()), Error: "no"})
		if err != nil {
			t.Error(err)
		}
		_, _ = w.Write(b)
		forwardReceived <- struct{}{}
	}))
	defer srv.Close()
	c.membership.peers["drover-1"] = &peerState{Peer: config.Peer{Name: "drover-1", Addr: srv.Listener.Addr().String()}, lastContactAt: time.Now()}
	for _, refusal := range []int{http.StatusUnprocessableEntity, http.StatusBadRequest, http.StatusNotFound} {
		status.Store(int64(refusal))
		b, err := simulator.EncodeSubmission(&wire.Job{ID: id, Class: "c", Team: "crew", Shape: wire.ShapeArray, Priority: wire.PriorityNormal, Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "i"})
		if err != nil {
			t.Fatal(err)
		}
		answered := make(chan Answer)
		go func() { answered <- c.Submit(context.Background(), b, FromUser) }()
		<-received // the commit was executed: the job is accepted, or existed already
		<-forwardReceived
		var a Answer
		select {
		case a = <-answered:
		case <-time.After(50 * time.Millisecond):
			proceed <- struct{}{} // release the reply to the commit
			a = <-answered
		}
		if a.State == nil || a.State.State != wire.JobPending {
			t.Errorf("after a peer's %d, the accepted job was answered with %+v", refusal, a)
		}
	}
}

// A read whose result is old, because of a process pause, is repeated. A failed read is not.
func TestReadBeforeProcessPauseIsRepeated(t *testing.T) {
	reads := 0
	err := readUntilValid(func() (validity, error) {
		if reads++; reads < 3 {
			return stateReadAt(time.Now().Add(-time.Minute)), nil
		}
		return stateReadAt(time.Now()), nil
	})
	if err != nil || reads != 3 {
		t.Errorf("read %d times, error %v", reads, err)
	}
	if err := readUntilValid(func() (validity, error) { return stateReadAt(time.Time{}), context.DeadlineExceeded }); err == nil {
		t.Error("the error of a failed read was not returned")
	}
	// A final state stays valid, however long its read took.
	if err := readUntilValid(func() (validity, error) {
		reads++
		return finalStateSeenAt(time.Now().Add(-time.Minute)), nil
	}); err != nil || reads != 4 {
		t.Errorf("a final state was read %d times, error %v", reads-3, err)
	}
}
