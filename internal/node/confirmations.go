package node

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/mesh"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// confirmations lists of which cancellations users were told here, each once. A leader that
// the state service does not serve learns of them by its pings, and may keep workers
// alive through an outage that is longer than the time for a cancellation.
type confirmations struct {
	cut  uint64 // entries that are no longer kept
	list []string
	has  map[string]struct{} // those in the list
}

func (t *confirmations) add(id string) {
	if _, ok := t.has[id]; ok {
		return
	}
	if t.has == nil {
		t.has = map[string]struct{}{}
	}
	t.has[id] = struct{}{}
	t.list = append(t.list, id)
	if len(t.list) > tuning.ConfirmationsKept {
		delete(t.has, t.list[0])
		t.list = t.list[1:] // append moves the rest when the room behind it is used up
		t.cut++
	}
}

// after gives the entries after the first have, or those still kept.
func (t *confirmations) after(have uint64) (from uint64, ids []string) {
	from = min(max(have, t.cut), t.cut+uint64(len(t.list)))
	return from, t.list[from-t.cut:]
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// cancelled takes note of a job that is durably cancelled and whose user is told
// right after this. Called with the lock held.
func (n *Node) cancelled(id string) {
	n.confirmed.add(id)
	n.leaderKnows()
	if n.leader != nil {
		n.leader.Cancelled(n.now(), []string{id})
	}
}

// takeConfirmations takes a peer's list of cancellations, asked for at asked. What an earlier
// process of the peer told, or entries that are no longer kept, the list has not: it
// counts only for whoever knows by the state service what was before.
func (p *peer) takeConfirmations(pong mesh.Pong, asked, now time.Time) {
	if pong.UpMilli == 0 {
		return // of a version that keeps no list
	}
	if pong.Boot != p.boot {
		p.boot, p.have = pong.Boot, 0
		p.begun = now.Add(-time.Duration(pong.UpMilli-1) * time.Millisecond)
	}
	if pong.From > p.have {
		p.begun = now
	}
	p.have = pong.From + uint64(len(pong.Confirmed))
	p.confirmedAsOf = later(p.confirmedAsOf, asked)
}

// asOf is the moment as of which this node knows of every cancellation that users
// were told of: by the state service, or because every peer has listed its own
// since then. Called with the lock held.
func (n *Node) asOf() time.Time {
	confirmedAsOf := time.Now()
	for _, p := range n.peers {
		//mutation:peer-restart-bounds-watermark
		if !p.begun.Before(n.knownAt) {
			return n.knownAt
		}
		if p.confirmedAsOf.Before(confirmedAsOf) {
			confirmedAsOf = p.confirmedAsOf
		}
	}
	return later(n.knownAt, confirmedAsOf)
}

// leaderKnows tells the leader as of when it has been told of all cancellations: what
// comes to it next may be later ones. Called with the lock held.
func (n *Node) leaderKnows() {
	if n.leader != nil {
		n.leader.KnowsAsOf(n.asOf().Sub(n.start))
	}
}

// settledAsOf is the moment as of which this leader has seen all cancellations through.
// Called with the lock held, by the leader.
func (n *Node) settledAsOf() time.Time {
	return n.start.Add(n.leader.SettledAsOf(n.asOf().Sub(n.start)))
}

// mayRenewLeases reports whether the leader may renew its workers' leases: for no longer
// after that moment than leaves time for a cancellation it does not know of. It
// holds whatever became of the process meanwhile, and whoever else leads.
// Called with the lock held.
func (n *Node) mayRenewLeases() bool { return time.Since(n.asOf()) < n.KeepaliveBound() }
