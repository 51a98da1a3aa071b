package controller

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/peer"
	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Whatever users are told where, and whichever peers end, start anew or forget the
// oldest they told: of every cancellation that was told before the moment as of which
// a node counts itself as knowing, it does know. On that rests for how long a leader
// that the state service does not serve keeps workers alive.
func TestCancellationWatermarkIsNeverAheadOfConfirmations(t *testing.T) {
	controller := newTestController(t)
	rapid.Check(t, func(t *rapid.T) {
		c := controller
		c.replication.caughtUpAt, c.membership.peers = time.Time{}, map[string]*peerState{}
		type remote struct {
			told confirmationLog
			boot uint64
			born time.Time
		}
		now := time.Now().Add(-time.Hour)
		boots, jobs := uint64(0), 0
		confirmedAt, known := map[string]time.Time{}, map[string]bool{}
		advance := func() {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
		}
		remotes := make([]*remote, 3)
		for i := range remotes {
			boots++
			remotes[i] = &remote{boot: boots, born: now}
			c.membership.peers[fmt.Sprint(i)] = &peerState{Peer: config.Peer{Name: fmt.Sprint(i)}}
		}
		pick := func() (*remote, *peerState) {
			i := rapid.IntRange(0, len(remotes)-1).Draw(t, "peer")
			return remotes[i], c.membership.peers[fmt.Sprint(i)]
		}
		confirm := func(r *remote, count int) {
			for range count {
				jobs++
				id := fmt.Sprintf("run-%06d", jobs)
				r.told.add(id)
				confirmedAt[id] = now
			}
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			advance()
			r, p := pick()
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				confirm(r, 1)
			case 2:
				boots++
				*r = remote{boot: boots, born: now}
			case 3:
				confirm(r, tuning.MaxListedConfirmations+1)
			case 4:
				c.replication.caughtUpAt = now
				for id := range confirmedAt {
					known[id] = true
				}
			default:
				asked, have := now, p.confirmations.seen
				advance() // the question is on its way
				if r.boot != p.confirmations.bootID {
					have = 0
				}
				pong := peer.Pong{BootID: r.boot, UptimeMilli: 1 + now.Sub(r.born).Milliseconds()}
				pong.ConfirmedFrom, pong.Confirmed = r.told.after(have)
				pong.Confirmed = append([]string(nil), pong.Confirmed...)
				if rapid.Bool().Draw(t, "tells meanwhile") {
					confirm(r, 1)
				}
				advance() // and its answer
				p.confirmations.receive(pong, asked, now)
				for _, id := range pong.Confirmed {
					known[id] = true
				}
			}
			for id, when := range confirmedAt {
				if when.Before(c.cancellationWatermark()) && !known[id] {
					t.Fatalf("%s was told %v before the moment as of which all is known", id, c.cancellationWatermark().Sub(when))
				}
			}
		}
	})
}

// A leader that may have missed cancellations for longer than leaves time for one
// answers no worker, whatever it thinks of its lease: it may have stood still, or
// everybody may be refused by the state service. With all peers' lists it goes on.
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
		t.Error("not answered by a leader that knows all")
	}
	c.replication.caughtUpAt = time.Now().Add(-c.KeepaliveBound())
	if answered() {
		t.Error("answered by a leader that may have missed a cancellation")
	}
	for _, p := range c.membership.peers {
		p.confirmations.completeFrom, p.confirmations.asOf = c.replication.caughtUpAt.Add(-time.Minute), time.Now()
	}
	if !answered() {
		t.Error("not answered though every peer has listed what it told")
	}
	for _, p := range c.membership.peers {
		p.confirmations.completeFrom = c.replication.caughtUpAt.Add(time.Second) // it has started anew: who knows what it told before
		break
	}
	if answered() {
		t.Error("answered though a peer has started anew")
	}
}

// A leader stands still, and another one leads meanwhile. When the first goes on it
// reads all cancellations and none of the other's tasks are in its books: as of then it
// has seen nothing through for those, and neither has who heard it say so. Workers
// that have the other's token are not kept alive by that.
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
				t.Errorf("%d to a worker of the leader that has seen all through", s)
			}
		}
		c.update(func() { c.learnLeader("drover-2", 10) })
		if s := heartbeat(10); s == 200 {
			t.Errorf("led %v: a worker of the next leader is kept alive by the word of the last", leading)
		}
		c.cancellations.enforcedUntil = time.Now() // by the word of the next
		if s := heartbeat(10); s != 200 {
			t.Errorf("led %v: %d to a worker of the leader that has seen all through", leading, s)
		}
	}
}

// A worker that is answered at the last moment allowed, right after it sent its report,
// ends its tasks a lease later. That is within the time for a cancellation confirmed
// right after the moment that all counts from, with each clock as far off as the
// protocol allows.
func TestKeepaliveBoundAllowsForClockDrift(t *testing.T) {
	const drift = 0.0005 // of each clock
	c := newTestController(t)
	w := &c.cfg.Deployment.Workers
	for _, s := range []struct{ cancel, lease float64 }{{32, 12}, {70, 45}, {40, 12}, {600, 45}, {13.5, 12}, {12, 32}} {
		w.CancelS, w.LeaseS = s.cancel, s.lease
		bound := c.KeepaliveBound().Seconds()
		if bound < 0 {
			t.Errorf("%+v: kept alive for %v s", s, bound)
		}
		if gone := (bound + s.lease) * (1 + drift); bound > 0 && gone >= s.cancel*(1-drift) {
			t.Errorf("%+v: tasks may be there for %v s", s, gone)
		}
	}
}
