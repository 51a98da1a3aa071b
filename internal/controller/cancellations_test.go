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

// A controller knows every cancellation that was confirmed to a user, anywhere, before its
// cancellation watermark, whichever peers are restarted or drop the oldest entries of their
// logs. On that rests for how long a leader that the key-value store does not serve keeps
// workers alive.
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

// watermarkModel is a controller with peers that confirm cancellations, in simulated time.
type watermarkModel struct {
	t          *rapid.T
	controller *Controller
	remotes    []*remoteController

	now         time.Time
	boots       uint64
	confirmedAt map[string]time.Time // of all cancellations
	known       map[string]bool      // to the controller
}

func newWatermarkModel(t *rapid.T, c *Controller) *watermarkModel {
	m := &watermarkModel{
		t: t, controller: c, now: time.Now().Add(-time.Hour),
		confirmedAt: map[string]time.Time{}, known: map[string]bool{},
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
	m.boots++
	*remote = remoteController{bootID: m.boots, startedAt: m.now}
}

func (m *watermarkModel) confirm(remote *remoteController, count int) {
	for range count {
		id := fmt.Sprintf("run-%06d", len(m.confirmedAt)+1)
		remote.confirmed.add(id)
		m.confirmedAt[id] = m.now
	}
}

// readStore has the controller learn all cancellations from the key-value store.
func (m *watermarkModel) readStore() {
	m.controller.replication.caughtUpAt = m.now
	for id := range m.confirmedAt {
		m.known[id] = true
	}
}

// ping has the controller ping the remote one, which may confirm another cancellation after
// it has made its answer.
func (m *watermarkModel) ping(remote *remoteController, state *peerState) {
	sentAt, seen := m.now, state.confirmations.seen
	m.advance()
	if remote.bootID != state.confirmations.bootID {
		seen = 0
	}
	pong := peer.Pong{BootID: remote.bootID, UptimeMilli: 1 + m.now.Sub(remote.startedAt).Milliseconds()}
	pong.ConfirmedFrom, pong.Confirmed = remote.confirmed.after(seen)
	pong.Confirmed = slices.Clone(pong.Confirmed)
	if rapid.Bool().Draw(m.t, "confirms meanwhile") {
		m.confirm(remote, 1)
	}
	m.advance()
	state.confirmations.receive(pong, sentAt, m.now)
	for _, id := range pong.Confirmed {
		m.known[id] = true
	}
}

func (m *watermarkModel) check() {
	for id, confirmedAt := range m.confirmedAt {
		if watermark := m.controller.cancellationWatermark(); confirmedAt.Before(watermark) && !m.known[id] {
			m.t.Fatalf("%s was confirmed %v before the cancellation watermark", id, watermark.Sub(confirmedAt))
		}
	}
}

// A leader whose cancellation watermark is too old to leave time for one that it does not
// know of answers no heartbeat, whatever its lease: after a process pause, or while the
// key-value store refuses everybody. With the confirmations of all peers it goes on.
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
		t.Error("no answer by a leader with a recent watermark")
	}
	c.replication.caughtUpAt = time.Now().Add(-c.KeepaliveBound())
	if answered() {
		t.Error("answered by a leader that may have missed a cancellation")
	}
	for _, p := range c.membership.peers {
		p.confirmations.completeFrom, p.confirmations.asOf = c.replication.caughtUpAt.Add(-time.Minute), time.Now()
	}
	if !answered() {
		t.Error("no answer though every peer has listed its confirmations")
	}
	for _, p := range c.membership.peers {
		p.confirmations.completeFrom = c.replication.caughtUpAt.Add(time.Second) // restarted: what it confirmed before is not known
		break
	}
	if answered() {
		t.Error("answered though a peer was restarted")
	}
}

// A leader's process pauses, and another one leads meanwhile. When the first resumes it reads
// all cancellations, but knows none of the other's tasks: it has not enforced cancellations
// for those. Workers with the other's fencing token are not kept alive by its enforcement,
// neither here nor where it was heard of.
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
				t.Errorf("%d to a worker of the leader that has enforced all", s)
			}
		}
		c.update(func() { c.learnLeader("drover-2", 10) })
		if s := heartbeat(10); s == 200 {
			t.Errorf("leading %v: a worker of the next leader is kept alive by the enforcement of the last", leading)
		}
		c.cancellations.enforcedUntil = time.Now() // by the next leader
		if s := heartbeat(10); s != 200 {
			t.Errorf("leading %v: %d to a worker of the leader that has enforced all", leading, s)
		}
	}
}

// A worker that is answered at the last moment of the keepalive bound, right after it sent its
// heartbeat, ends its tasks a lease later. That is within the bound on a cancellation that was
// confirmed right after the watermark, with each clock as far off as the protocol allows.
func TestKeepaliveBoundAllowsForClockDrift(t *testing.T) {
	const drift = 0.0005 // of each clock
	c := newTestController(t)
	w := &c.cfg.Deployment.Workers
	for _, s := range []struct{ cancel, lease float64 }{{32, 12}, {70, 45}, {40, 12}, {600, 45}, {13.5, 12}, {12, 32}} {
		w.CancellationS, w.LeaseS = s.cancel, s.lease
		bound := c.KeepaliveBound().Seconds()
		if bound < 0 {
			t.Errorf("%+v: kept alive for %v s", s, bound)
		}
		if gone := (bound + s.lease) * (1 + drift); bound > 0 && gone >= s.cancel*(1-drift) {
			t.Errorf("%+v: tasks may be there for %v s", s, gone)
		}
	}
}
