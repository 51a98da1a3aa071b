package controller

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/peer"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// leaderWatch detects when the leader's process ends and then revokes the leader's lease, so that
// an election need not wait for the lease to expire. It acts only on three signs together: the
// connection of a request that the leader leaves unanswered breaks, the leader refuses two new
// connections in a row, and another peer, if there is one, answers. If no other peer answers, a
// filter between the controllers may be refusing the connections, and the lease is left to expire.
// The three signs can still be misleading. Each controller then causes a needless election at most
// once per MinLeaderRevocationInterval. Safety is not affected, since it depends on fencing tokens
// and compare-and-swap and not on the duration of the lease.
//
// leaderWatch runs in one goroutine, without the lock.
type leaderWatch struct {
	controller    *Controller
	prober        peerProber
	lastRevokedAt time.Time
	// brokenTerm is the term of the leader whose connection broke last; 0 if it has been open since.
	brokenTerm uint64
}

func newLeaderWatch(c *Controller) *leaderWatch {
	newPing := func() peer.Ping {
		return peer.Ping{Node: c.cfg.Node, BootID: c.bootID, StoreAvailable: c.membership.storeAvailable()}
	}
	return &leaderWatch{controller: c, prober: peerProber{client: c.peerClient, newPing: newPing}}
}

// run watches the known leader until ctx ends.
func (w *leaderWatch) run(ctx context.Context) {
	for sleep(ctx, tuning.PeerWatchRetryDelay) {
		leader, leaderPeer := w.knownLeader()
		if leaderPeer == nil || leader.leaseID == 0 || !w.connectionBroke(ctx, leader, leaderPeer) {
			continue
		}
		if time.Since(w.lastRevokedAt) >= tuning.MinLeaderRevocationInterval && w.processEnded(ctx, leaderPeer) && w.claimRevocation(leader) {
			w.lastRevokedAt = time.Now()
			w.revokeLease(ctx, leader)
		}
	}
}

func (w *leaderWatch) knownLeader() (leaderInfo, *peerState) {
	c := w.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.membership.leader, c.membership.leaderPeer()
}

// connectionBroke sends the leader a request that it leaves unanswered for PeerWatchTimeout, and
// reports whether a connection to the leader of that term broke, now or when it was last open. A
// connection that could not be opened shows nothing by itself: the leader or this process may have
// no free socket.
func (w *leaderWatch) connectionBroke(ctx context.Context, leader leaderInfo, leaderPeer *peerState) bool {
	startedAt := time.Now()
	err := w.controller.peerClient.WatchProcess(ctx, leaderPeer.Addr)
	//mutation:watch-needs-connection
	if errors.Is(err, peer.ErrNotConnected) {
		return w.brokenTerm == leader.term
	}
	w.brokenTerm = 0
	if err != nil && time.Since(startedAt) < tuning.PeerWatchTimeout {
		w.brokenTerm = leader.term
	}
	return w.brokenTerm == leader.term
}

// processEnded reports whether the leader refuses connections while another peer answers.
func (w *leaderWatch) processEnded(ctx context.Context, leader *peerState) bool {
	return w.prober.refusesConnections(ctx, leader) && w.prober.anotherPeerAnswers(ctx, w.controller.membership.peers, leader)
}

// claimRevocation reports whether the lease of the given leader should still be revoked: no later
// term is known and this controller does not lead. In that case it clears the known lease ID, so
// that the lease is not revoked again unless followLeader restores the ID.
func (w *leaderWatch) claimRevocation(leader leaderInfo) bool {
	c := w.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.membership.leader.term != leader.term || c.leadership.leading() {
		return false
	}
	c.membership.leader.leaseID = 0
	return true
}

func (w *leaderWatch) revokeLease(ctx context.Context, leader leaderInfo) {
	log := w.controller.log
	log.Info("revoking the lease of a leader whose process has ended", "leader", leader.name, "term", leader.term)
	if err := w.controller.store.RevokeLease(ctx, leader.leaseID); err != nil {
		log.Debug("leader lease not revoked", "err", err)
	}
}

// peerProber checks whether peers answer pings. It uses no state that Controller.mu guards.
type peerProber struct {
	client  *peer.Client
	newPing func() peer.Ping // makes the ping to send
}

func (p peerProber) probe(ctx context.Context, target *peerState) error {
	_, err := p.client.Ping(ctx, target.Addr, p.newPing())
	return err
}

// refusesConnections reports whether the peer refuses two connections in a row.
func (p peerProber) refusesConnections(ctx context.Context, target *peerState) bool {
	for range 2 {
		if !sleep(ctx, tuning.PeerWatchRetryDelay) || !errors.Is(p.probe(ctx, target), syscall.ECONNREFUSED) {
			return false
		}
	}
	return true
}

// anotherPeerAnswers reports whether any peer other than excluded answers a ping. It returns true
// if there is no other peer to ask.
func (p peerProber) anotherPeerAnswers(ctx context.Context, peers map[string]*peerState, excluded *peerState) bool {
	if len(peers) < 2 {
		return true
	}
	answers := make(chan bool, len(peers))
	probed := 0
	for _, target := range peers {
		if target != excluded {
			probed++
			go func() { answers <- p.probe(ctx, target) == nil }()
		}
	}
	for range probed {
		if <-answers {
			return true
		}
	}
	return false
}
