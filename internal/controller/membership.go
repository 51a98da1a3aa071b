package controller

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/peer"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// membership is what a controller knows about its peers and the leader. Guarded by
// Controller.mu, except for the set of peers, which does not change after New.
type membership struct {
	peers  map[string]*peerState
	leader leaderInfo
	// storeUnavailableFor returns how long the key-value store has not served this controller; 0
	// if it served the last request. It needs no lock.
	storeUnavailableFor func() time.Duration
	// fleetSize is the number of machines that the latest known leader served; 0 if unknown.
	fleetSize int
}

// peerState is what a controller knows about one peer. Guarded by Controller.mu, except for the
// embedded settings, which do not change.
type peerState struct {
	config.Peer
	// lastContactAt is when the peer last sent a ping, or was last sent a ping that it answered.
	lastContactAt  time.Time
	storeAvailable bool // the store served the peer at the last contact
	// processStartedAt is when the peer's process started; zero if unknown.
	processStartedAt time.Time
	// notLeading is set when the peer names itself as the leader and reports that it does not
	// lead: its process has been restarted, or it has not loaded the records yet.
	notLeading          bool
	connectionRefusedAt time.Time          // when the peer last refused a connection
	declinedAt          time.Time          // when the peer last failed to serve a forwarded request
	runningTasks        map[string]int     // number of running tasks by job ID; only the leader sends it
	confirmations       confirmationCursor // which of the peer's confirmations were received
}

// leaderInfo is what a controller knows about the leader.
type leaderInfo struct {
	name string // empty: no leader is known
	term uint64 // the highest known term; if name is empty, the term of an earlier leader
	// leaseID is the ID of the leader's lease; 0 if it is unknown or has been claimed for
	// revocation.
	leaseID uint64
}

func newMembership(peers []config.Peer, storeUnavailableFor func() time.Duration) membership {
	m := membership{peers: make(map[string]*peerState, len(peers)), storeUnavailableFor: storeUnavailableFor}
	for _, p := range peers {
		m.peers[p.Name] = &peerState{Peer: p}
	}
	return m
}

// storeAvailable reports whether the key-value store has served this controller within the last
// IsolatedAfter. It needs no lock.
func (m *membership) storeAvailable() bool { return m.storeUnavailableFor() < tuning.IsolatedAfter }

// isolated reports whether this controller and the peers that it can reach may be on the
// minority side of a partition: the key-value store has served none of them for IsolatedAfter,
// and they are at most half of all controllers. If they are more than half, an outage of the
// store is more likely. During an outage, the leader continues for as long as its lease and its
// cancellation watermark allow.
func (m *membership) isolated() bool {
	if len(m.peers) == 0 || m.storeAvailable() {
		return false
	}
	reachable := 1
	for _, p := range m.peers {
		if time.Since(p.lastContactAt) >= tuning.IsolatedAfter {
			continue
		}
		if p.storeAvailable {
			return false
		}
		reachable++
	}
	return 2*reachable <= 1+len(m.peers)
}

// leaderPeer returns the state of the leader, or nil if this controller leads or no leader is
// known.
func (m *membership) leaderPeer() *peerState { return m.peers[m.leader.name] }

// leaderReachable reports whether workers can be redirected to the leader.
func (m *membership) leaderReachable() bool {
	leader := m.leaderPeer()
	if leader == nil || leader.notLeading {
		return false
	}
	if time.Since(leader.lastContactAt) < tuning.PeerUnreachableAfter {
		return true
	}
	// A refused connection shows that the zones are not partitioned: a filter between the
	// controllers refuses the connection, or the leader has no free socket. While the
	// key-value store serves this controller, it would report a change of leader, so workers are
	// expected to reach this leader.
	return time.Since(leader.connectionRefusedAt) < tuning.PeerUnreachableAfter && m.storeUnavailableFor() == 0
}

// forwardTargets returns the peers that may be able to serve a forwarded request, the leader
// first: those with recent contact that have not failed to serve one within DeclinedPeerBackoff.
func (m *membership) forwardTargets() []*peerState {
	var targets []*peerState
	for _, p := range m.peers {
		if time.Since(p.lastContactAt) > tuning.PeerUnreachableAfter || time.Since(p.declinedAt) < tuning.DeclinedPeerBackoff {
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

// recordFleetSize records the number of machines that a leader serves. Controllers that do not lead
// report 0, which is ignored.
func (m *membership) recordFleetSize(machines int) {
	if machines > 0 {
		m.fleetSize = machines
	}
}

// recordPing records that a peer sent a ping.
func (m *membership) recordPing(ping peer.Ping) {
	m.recordFleetSize(ping.Machines)
	if sender := m.peers[ping.Node]; sender != nil {
		sender.lastContactAt, sender.storeAvailable = time.Now(), ping.StoreAvailable
	}
}

// recordPong records the answer to a ping that was sent at sentAt.
func (p *peerState) recordPong(pong peer.Pong, sentAt time.Time) {
	// The contact dates from when the ping was sent: otherwise an old answer that is read after
	// a process pause would count as recent.
	if sentAt.After(p.lastContactAt) {
		p.lastContactAt, p.storeAvailable = sentAt, pong.StoreAvailable
	}
	p.notLeading = pong.Leader == p.Name && !pong.IsLeader
	p.processStartedAt = sentAt.Add(-milliseconds(pong.UptimeMilli))
	p.runningTasks = pong.Running
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// learnLeader records the leader that a peer reports, if its term is later than the known one. If
// this controller leads, it steps down first. Called with the lock held.
func (c *Controller) learnLeader(name string, term uint64) {
	if term <= c.membership.leader.term || name == "" {
		return
	}
	if c.leadership.leading() {
		c.stepDown(c.leadership.scheduler, stepDownLaterTerm)
	}
	c.setLeader(name, term)
}

// setLeader records the leader of a term. Called with the lock held.
func (c *Controller) setLeader(name string, term uint64) {
	known := c.membership.leader
	if known.name != name || known.term != term {
		c.log.Info("leader changed", "leader", name, "term", term)
	}
	leader := leaderInfo{name: name, term: term}
	if known.term == term {
		leader.leaseID = known.leaseID
	} else {
		// A leader enforces cancellations only for tasks that it can have started. A leader that
		// resumes after a process pause, and does not know of the next term yet, reads all
		// cancellations but knows nothing about the tasks of that term. So the enforcement time
		// of one term must not keep workers alive whose fencing token is of another term.
		//mutation:lost-leadership-ends-keepalive
		c.cancellations.enforcedUntil = time.Time{}
	}
	c.membership.leader = leader
	if p := c.membership.leaderPeer(); p != nil {
		p.notLeading = false
	}
}
