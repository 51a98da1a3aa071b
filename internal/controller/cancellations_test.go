package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/peer"
	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// A controller knows every cancellation that any controller confirmed to a user before the
// cancellation watermark, even if peers restart or drop the oldest entries of their logs. A leader
// that cannot reach the key-value store relies on this when it renews workers' leases.
func TestCancellationWatermarkIsNeverAheadOfConfirmations(t *testing.T) {
	controller := newTestController(t)
	rapid.Check(t, func(t *rapid.T) {
		m := newWatermarkModel(t, controller)
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			m.advance()
			i := rapid.IntRange(0, len(m.remotes)-1).Draw(t, "peer")
			remote, state := m.remotes[i], m.controller.membership.peers[fmt.Sprint(i)]
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				m.confirm(remote, 1)
			case 2:
				m.restart(remote)
			case 3:
				m.confirm(remote, tuning.MaxListedConfirmations+1)
			case 4:
				m.readStore()
			default:
				m.ping(remote, state)
			}
			m.check()
		}
	})
}

// remoteController is a peer that confirms cancellations to users.
type remoteController struct {
	confirmed confirmationLog
	bootID    uint64
	startedAt time.Time
}

// watermarkModel is a controller with peers that confirm cancellations, in simulated time. It
// tracks which cancellations were confirmed and which of them the controller knows.
type watermarkModel struct {
	t          *rapid.T
	controller *Controller
	remotes    []*remoteController

	now         time.Time
	lastBootID  uint64
	confirmedAt map[string]time.Time // time of each confirmed cancellation, by job id
	knownIDs    map[string]bool      // job ids of the cancellations that the controller knows
}

func newWatermarkModel(t *rapid.T, c *Controller) *watermarkModel {
	m := &watermarkModel{
		t: t, controller: c, now: time.Now().Add(-time.Hour),
		confirmedAt: map[string]time.Time{}, knownIDs: map[string]bool{},
	}
	c.replication.caughtUpAt, c.membership.peers = time.Time{}, map[string]*peerState{}
	for i := range 3 {
		remote := &remoteController{}
		m.restart(remote)
		m.remotes = append(m.remotes, remote)
		c.membership.peers[fmt.Sprint(i)] = &peerState{Peer: config.Peer{Name: fmt.Sprint(i)}}
	}
	return m
}

func (m *watermarkModel) advance() {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(m.t, "ms")) * time.Millisecond)
}

func (m *watermarkModel) restart(remote *remoteController) {
	m.lastBootID++
	*remote = remoteController{bootID: m.lastBootID, startedAt: m.now}
}

func (m *watermarkModel) confirm(remote *remoteController, count int) {
	for range count {
		id := fmt.Sprintf("run-%06d", len(m.confirmedAt)+1)
		remote.confirmed.add(id)
		m.confirmedAt[id] = m.now
	}
}

// readStore simulates that the controller reads all cancellations from the key-value store.
func (m *watermarkModel) readStore() {
	m.controller.replication.caughtUpAt = m.now
	for id := range m.confirmedAt {
		m.knownIDs[id] = true
	}
}

// ping simulates a ping by the controller. The remote controller may confirm another cancellation
// after it has built its answer.
func (m *watermarkModel) ping(remote *remoteController, state *peerState) {
	sentAt, receivedCount := m.now, state.confirmations.receivedCount
	m.advance()
	if remote.bootID != state.confirmations.bootID {
		receivedCount = 0
	}
	pong := peer.Pong{BootID: remote.bootID, UptimeMilli: 1 + m.now.Sub(remote.startedAt).Milliseconds()}
	pong.ConfirmedFrom, pong.Confirmed = remote.confirmed.entriesAfter(receivedCount)
	pong.Confirmed = slices.Clone(pong.Confirmed)
	if rapid.Bool().Draw(m.t, "confirms meanwhile") {
		m.confirm(remote, 1)
	}
	m.advance()
	state.confirmations.applyPong(pong, sentAt, m.now)
	for _, id := range pong.Confirmed {
		m.knownIDs[id] = true
	}
}

func (m *watermarkModel) check() {
	for id, confirmedAt := range m.confirmedAt {
		if watermark := m.controller.cancellationWatermark(); confirmedAt.Before(watermark) && !m.knownIDs[id] {
			m.t.Fatalf("%s was confirmed %v before the cancellation watermark", id, watermark.Sub(confirmedAt))
		}
	}
}

// A leader answers no heartbeats once its cancellation watermark is so old that a cancellation it
// does not know might be enforced too late, even while it holds its own lease: after a process
// pause, or while the key-value store serves no controller. If all peers list their confirmations,
// the watermark advances without the store, and the leader goes on answering.
func TestLeaderAnswersHeartbeatsUntilWatermarkIsTooOld(t *testing.T) {
	c := newTestController(t)
	c.membership.peers = map[string]*peerState{"drover-1": {}, "drover-2": {}}
	c.leadership.scheduler, c.leadership.lost = scheduler.New(c.now(), c.schedulerSettings(), 9, scheduler.NewReplica(), nil, nil, nil), make(chan struct{})
	heartbeat := &wire.Heartbeat{Machine: "n-1", Address: "127.0.0.1:1", Type: "box", Zone: "a", Incarnation: 1, Sequence: 1}
	answered := func() bool {
		heartbeat.Sequence++
		return c.Heartbeat(heartbeat).Status == 200
	}
	c.replication.caughtUpAt = time.Now()
	if !answered() {
		t.Error("heartbeat refused by a leader with a recent watermark")
	}
	c.replication.caughtUpAt = time.Now().Add(-c.KeepaliveBound())
	if answered() {
		t.Error("heartbeat answered by a leader that may have missed a cancellation")
	}
	for _, p := range c.membership.peers {
		p.confirmations.completeSince, p.confirmations.completeUntil = c.replication.caughtUpAt.Add(-time.Minute), time.Now()
	}
	if !answered() {
		t.Error("heartbeat refused although every peer has listed its confirmations")
	}
	for _, p := range c.membership.peers {
		// The peer was restarted, so what it confirmed before is unknown.
		p.confirmations.completeSince = c.replication.caughtUpAt.Add(time.Second)
		break
	}
	if answered() {
		t.Error("heartbeat answered although a peer was restarted")
	}
}

// A leader's process pauses, and another controller leads in the meantime. When the first leader
// resumes, it reads all cancellations but does not know the tasks of the next leader, so it has not
// enforced cancellations for those tasks. Its enforcement time must not renew the leases of workers
// that hold the next leader's fencing token, neither at that controller nor at its followers.
func TestKeepaliveRequiresWatermarkOfCurrentLeader(t *testing.T) {
	token := func(term uint64) uint64 { return term << tuning.FencingBits }
	for _, leading := range []bool{true, false} {
		c := newTestController(t)
		c.membership.peers = map[string]*peerState{"drover-1": {Peer: config.Peer{Name: "drover-1"}}, "drover-2": {Peer: config.Peer{Name: "drover-2"}}}
		heartbeat := func(term uint64) int {
			return c.Heartbeat(&wire.Heartbeat{Machine: "n-1", Address: "127.0.0.1:1", Type: "box", Zone: "a", Incarnation: 1, Sequence: 1, FencingToken: token(term)}).Status
		}
		if leading {
			c.setLeader(c.cfg.Node, 9)
			c.leadership.scheduler, c.leadership.lost = scheduler.New(c.now(), c.schedulerSettings(), 9, scheduler.NewReplica(), nil, nil, nil), make(chan struct{})
			c.replication.caughtUpAt = time.Now()
		} else {
			c.setLeader("drover-1", 9)
			c.cancellations.enforcedUntil = time.Now()
			if s := heartbeat(9); s != 200 {
				t.Errorf("heartbeat answered %d, although the worker's leader has enforced all cancellations", s)
			}
		}
		c.update(func() { c.learnLeader("drover-2", 10) })
		if s := heartbeat(10); s == 200 {
			t.Errorf("leading %v: lease of a worker of the next leader renewed with the previous leader's enforcement time", leading)
		}
		c.cancellations.enforcedUntil = time.Now() // the next leader has enforced all cancellations
		if s := heartbeat(10); s != 200 {
			t.Errorf("leading %v: heartbeat answered %d, although the worker's leader has enforced all cancellations", leading, s)
		}
	}
}

// A worker whose heartbeat is answered right at the end of the keepalive bound ends its tasks one
// lease duration later. That must be within the time allowed for a cancellation that was confirmed
// right after the watermark, with each clock drifting as much as the protocol allows.
func TestKeepaliveBoundAllowsForClockDrift(t *testing.T) {
	const drift = 0.0005 // maximum drift of each clock, as a fraction of the elapsed time
	c := newTestController(t)
	w := &c.cfg.Deployment.Workers
	for _, s := range []struct{ cancel, lease float64 }{{32, 12}, {70, 45}, {40, 12}, {600, 45}, {13.5, 12}, {12, 32}} {
		w.CancellationS, w.LeaseS = s.cancel, s.lease
		bound := c.KeepaliveBound().Seconds()
		if bound < 0 {
			t.Errorf("%+v: keepalive bound %v s is negative", s, bound)
		}
		if tasksEndAfterS := (bound + s.lease) * (1 + drift); bound > 0 && tasksEndAfterS >= s.cancel*(1-drift) {
			t.Errorf("%+v: tasks of a cancelled job may run for %v s", s, tasksEndAfterS)
		}
	}
}
