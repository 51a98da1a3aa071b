package node

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/core"
	"github.com/yarrowgap/yarrowgap/internal/mesh"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Whatever users are told where, and whichever peers end, start anew or forget the
// oldest they told: of every cancellation that was told before the moment as of which
// a node counts itself as knowing, it does know. On that rests for how long a leader
// that the state service does not serve keeps workers alive.
func TestKnowledge(t *testing.T) {
	quiet := quietNode(t)
	rapid.Check(t, func(t *rapid.T) {
		n := quiet
		n.knownAt, n.peers = time.Time{}, map[string]*peer{}
		type remote struct {
			told confirmations
			boot uint64
			born time.Time
		}
		now := time.Now().Add(-time.Hour)
		boots, jobs := uint64(0), 0
		at, knows := map[string]time.Time{}, map[string]bool{}
		pass := func() {
			now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
		}
		remotes := make([]*remote, 3)
		for i := range remotes {
			boots++
			remotes[i] = &remote{boot: boots, born: now}
			n.peers[fmt.Sprint(i)] = &peer{Peer: config.Peer{Name: fmt.Sprint(i)}}
		}
		pick := func() (*remote, *peer) {
			i := rapid.IntRange(0, len(remotes)-1).Draw(t, "peer")
			return remotes[i], n.peers[fmt.Sprint(i)]
		}
		tell := func(r *remote, count int) {
			for range count {
				jobs++
				id := fmt.Sprintf("run-%06d", jobs)
				r.told.add(id)
				at[id] = now
			}
		}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			pass()
			r, p := pick()
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				tell(r, 1)
			case 2:
				boots++
				*r = remote{boot: boots, born: now}
			case 3:
				tell(r, tuning.ConfirmationsKept+1)
			case 4:
				n.knownAt = now
				for id := range at {
					knows[id] = true
				}
			default:
				asked, have := now, p.have
				pass() // the question is on its way
				if r.boot != p.boot {
					have = 0
				}
				pong := mesh.Pong{Boot: r.boot, UpMilli: 1 + now.Sub(r.born).Milliseconds()}
				pong.From, pong.Confirmed = r.told.after(have)
				pong.Confirmed = append([]string(nil), pong.Confirmed...)
				if rapid.Bool().Draw(t, "tells meanwhile") {
					tell(r, 1)
				}
				pass() // and its answer
				p.takeConfirmations(pong, asked, now)
				for _, id := range pong.Confirmed {
					knows[id] = true
				}
			}
			for id, when := range at {
				if when.Before(n.asOf()) && !knows[id] {
					t.Fatalf("%s was told %v before the moment as of which all is known", id, n.asOf().Sub(when))
				}
			}
		}
	})
}

// A leader that may have missed cancellations for longer than leaves time for one
// answers no worker, whatever it thinks of its lease: it may have stood still, or
// everybody may be refused by the state service. With all peers' lists it goes on.
func TestLeaderAnswersAsLongAsItKnows(t *testing.T) {
	n := quietNode(t)
	n.peers = map[string]*peer{"drover-1": {}, "drover-2": {}}
	n.leader, n.lost = core.NewLeader(n.now(), n.coreSettings(), 9, core.NewReplica(), nil, nil, nil), make(chan struct{})
	r := &wire.Report{Machine: "n-1", Address: "127.0.0.1:1", Type: "box", Zone: "a", Session: 1, Tick: 1}
	answered := func() bool {
		r.Tick++
		return n.Checkin(r).Status == 200
	}
	n.knownAt = time.Now()
	if !answered() {
		t.Error("not answered by a leader that knows all")
	}
	n.knownAt = time.Now().Add(-n.KeepaliveBound())
	if answered() {
		t.Error("answered by a leader that may have missed a cancellation")
	}
	for _, p := range n.peers {
		p.begun, p.confirmedAsOf = n.knownAt.Add(-time.Minute), time.Now()
	}
	if !answered() {
		t.Error("not answered though every peer has listed what it told")
	}
	for _, p := range n.peers {
		p.begun = n.knownAt.Add(time.Second) // it has started anew: who knows what it told before
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
func TestKeptAliveByTheWordOfTheirLeader(t *testing.T) {
	token := func(term uint64) uint64 { return term << tuning.FenceBits }
	for _, led := range []bool{true, false} {
		n := quietNode(t)
		n.peers = map[string]*peer{"drover-1": {Peer: config.Peer{Name: "drover-1"}}, "drover-2": {Peer: config.Peer{Name: "drover-2"}}}
		report := func(term uint64) int {
			return n.Checkin(&wire.Report{Machine: "n-1", Address: "127.0.0.1:1", Type: "box", Zone: "a", Session: 1, Tick: 1, Token: token(term)}).Status
		}
		if led {
			n.setLead(n.cfg.Node, 9)
			n.leader, n.lost = core.NewLeader(n.now(), n.coreSettings(), 9, core.NewReplica(), nil, nil, nil), make(chan struct{})
			n.knownAt = time.Now()
		} else {
			n.setLead("drover-1", 9)
			n.led = time.Now()
			if s := report(9); s != 200 {
				t.Errorf("%d to a worker of the leader that has seen all through", s)
			}
		}
		n.do(func() { n.hearLead("drover-2", 10) })
		if s := report(10); s == 200 {
			t.Errorf("led %v: a worker of the next leader is kept alive by the word of the last", led)
		}
		n.led = time.Now() // by the word of the next
		if s := report(10); s != 200 {
			t.Errorf("led %v: %d to a worker of the leader that has seen all through", led, s)
		}
	}
}

// A worker that is answered at the last moment allowed, right after it sent its report,
// ends its tasks a lease later. That is within the time for a cancellation confirmed
// right after the moment that all counts from, with each clock as far off as the
// protocol allows.
func TestKeepaliveBoundLeavesTimeForDrift(t *testing.T) {
	const drift = 0.0005 // of each clock
	n := quietNode(t)
	w := &n.cfg.Deployment.Workers
	for _, s := range []struct{ cancel, lease float64 }{{32, 12}, {70, 45}, {40, 12}, {600, 45}, {13.5, 12}, {12, 32}} {
		w.CancelS, w.LeaseS = s.cancel, s.lease
		bound := n.KeepaliveBound().Seconds()
		if bound < 0 {
			t.Errorf("%+v: kept alive for %v s", s, bound)
		}
		if gone := (bound + s.lease) * (1 + drift); bound > 0 && gone >= s.cancel*(1-drift) {
			t.Errorf("%+v: tasks may be there for %v s", s, gone)
		}
	}
}
