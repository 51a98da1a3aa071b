package controller

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/peer"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// membership is what a controller knows of its peers and of who leads. Guarded by
// Controller.mu, but for the map itself, which does not change after New.
type membership struct {
	peers  map[string]*peerState
	leader leaderInfo
	// storeUnservedFor returns for how long the key-value store has not served this
	// controller. It needs no lock.
	storeUnservedFor func() time.Duration
}

// peerState is what a controller knows of one peer. Guarded by Controller.mu, but for the
// settings, which do not change.
type peerState struct {
	config.Peer
	lastHeardAt    time.Time // when it was last asked and answered, or asked us
	storeAvailable bool      // to the peer, when it was last heard
	// processStartedAt is when its process started; zero: not known.
	processStartedAt time.Time
	// notLeading is set when the peer is the known leader and says that it does not lead:
	// its process has been restarted.
	notLeading          bool
	connectionRefusedAt time.Time // when it last refused a connection
	declinedAt          time.Time // when it last could not decide a forwarded request
	runningTasks        map[string]int
	confirmations       confirmationCursor
}

// leaderInfo is what a controller knows of the leader.
type leaderInfo struct {
	name string // empty: nobody leads, as far as is known
	term uint64 // the highest term known, of name or of an earlier leader
	// storeLease is the leader's lease; 0: not known, or not to be revoked any more.
	storeLease uint64
}

func newMembership(peers []config.Peer, storeUnservedFor func() time.Duration) membership {
	m := membership{peers: make(map[string]*peerState, len(peers)), storeUnservedFor: storeUnservedFor}
	for _, p := range peers {
		m.peers[p.Name] = &peerState{Peer: p}
	}
	return m
}

// storeAvailable reports whether the key-value store has served this controller lately. It
// needs no lock.
func (m *membership) storeAvailable() bool { return m.storeUnservedFor() < tuning.IsolatedAfter }

// isolated reports whether this controller, with the peers that it still hears, may be on
// the wrong side of a partition: the key-value store has served none of them for a while,
// and they are no more than half of all. If they are more, it is rather an outage of the
// store, in which the leader goes on for as long as its lease and watermark let it.
func (m *membership) isolated() bool {
	if len(m.peers) == 0 || m.storeAvailable() {
		return false
	}
	reachable := 1
	for _, p := range m.peers {
		if time.Since(p.lastHeardAt) >= tuning.IsolatedAfter {
			continue
		}
		if p.storeAvailable {
			return false
		}
		reachable++
	}
	return 2*reachable <= 1+len(m.peers)
}

// leaderPeer returns the leader's state, or nil if this controller leads or nobody does.
func (m *membership) leaderPeer() *peerState { return m.peers[m.leader.name] }

// leaderReachable reports whether workers can be sent to the leader.
func (m *membership) leaderReachable() bool {
	leader := m.leaderPeer()
	if leader == nil || leader.notLeading {
		return false
	}
	if time.Since(leader.lastHeardAt) < tuning.PeerUnreachableAfter {
		return true
	}
	// A refused connection came all the way: something between the controllers is in the
	// way, or the leader has no free socket, but there is no partition between zones. By the
	// key-value store it leads, so workers can reach it.
	return time.Since(leader.connectionRefusedAt) < tuning.PeerUnreachableAfter && m.storeUnservedFor() == 0
}

// forwardTargets returns the peers that may decide a request: those heard of lately that
// have not declined one a moment ago, the leader first.
func (m *membership) forwardTargets() []*peerState {
	var targets []*peerState
	for _, p := range m.peers {
		if time.Since(p.lastHeardAt) > tuning.PeerUnreachableAfter || time.Since(p.declinedAt) < tuning.UnablePeerBackoff {
			continue
		}
		if p.Name == m.leader.name {
			targets = append([]*peerState{p}, targets...)
		} else {
			targets = append(targets, p)
		}
	}
	return targets
}

// heardPing takes note of a ping that a peer sent.
func (m *membership) heardPing(ping peer.Ping) {
	if sender := m.peers[ping.Node]; sender != nil {
		sender.lastHeardAt, sender.storeAvailable = time.Now(), ping.StoreAvailable
	}
}

// heardPong takes the answer to a ping that was sent at sentAt.
func (p *peerState) heardPong(pong peer.Pong, sentAt time.Time) {
	// As of when it was sent: after a process pause, an old answer would count as new.
	if sentAt.After(p.lastHeardAt) {
		p.lastHeardAt, p.storeAvailable = sentAt, pong.StoreAvailable
	}
	p.notLeading = pong.Leader == p.Name && !pong.IsLeader
	p.processStartedAt = sentAt.Add(-milliseconds(pong.UptimeMilli))
	p.runningTasks = pong.Running
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// learnLeader takes a peer's word on who leads, if it is of a later term than ours. Called
// with the lock held.
func (c *Controller) learnLeader(name string, term uint64) {
	if term <= c.membership.leader.term || name == "" {
		return
	}
	if c.leadership.leading() {
		c.stepDown(c.leadership.scheduler, stepDownLaterTerm)
	}
	c.setLeader(name, term)
}

// setLeader takes note of who leads. Called with the lock held.
func (c *Controller) setLeader(name string, term uint64) {
	known := c.membership.leader
	if known.name != name || known.term != term {
		c.log.Info("leader changed", "leader", name, "term", term)
	}
	leader := leaderInfo{name: name, term: term}
	if known.term == term {
		leader.storeLease = known.storeLease
	} else {
		// A leader's enforcement of cancellations covers what it can have started. One that
		// comes back from a process pause, and does not know yet of the next term, reads all
		// cancellations but knows nothing of that term's tasks: workers with a later fencing
		// token are kept alive by the enforcement of their own leader alone.
		//mutation:lost-leadership-ends-keepalive
		c.cancellations.enforcedUntil = time.Time{}
	}
	c.membership.leader = leader
	if p := c.membership.leaderPeer(); p != nil {
		p.notLeading = false
	}
}
