package controller

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/peer"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// leaderWatch notices at once when the leader's process ends, and then revokes its lease, so
// that nobody has to wait for it to expire. There are three signs: a connection on which the
// leader holds back its answer breaks, the leader refuses new connections, twice, and
// another peer answers. Without the last, a filter between the controllers may refuse the
// connections; then, and when the others do not answer either, the lease has to expire. The
// signs may mislead all the same. That costs an election, at most once in a while, and no
// safety, which rests on fencing tokens and compare-and-swap and not on the lease's time.
//
// It runs in one goroutine, without the lock.
type leaderWatch struct {
	controller    *Controller
	prober        peerProber
	lastRevokedAt time.Time
}

func newLeaderWatch(c *Controller) *leaderWatch {
	ping := func() peer.Ping {
		return peer.Ping{Node: c.cfg.Node, BootID: c.bootID, StoreAvailable: c.membership.storeAvailable()}
	}
	return &leaderWatch{controller: c, prober: peerProber{client: c.peerClient, ping: ping}}
}

func (w *leaderWatch) run(ctx context.Context) {
	for sleep(ctx, tuning.PeerWatchRetryDelay) {
		leader, leaderPeer := w.knownLeader()
		if leaderPeer == nil || leader.storeLease == 0 || !w.connectionBroke(ctx, leaderPeer) {
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

// connectionBroke waits on a connection to the leader, and reports whether it broke before
// the time that the leader holds back its answer.
func (w *leaderWatch) connectionBroke(ctx context.Context, leader *peerState) bool {
	startedAt := time.Now()
	err := w.controller.peerClient.WatchProcess(ctx, leader.Addr)
	return err != nil && time.Since(startedAt) < tuning.PeerWatchTimeout
}

// processEnded reports whether the leader refuses connections while another peer answers.
func (w *leaderWatch) processEnded(ctx context.Context, leader *peerState) bool {
	return w.prober.refusesConnections(ctx, leader) && w.prober.anotherAnswers(ctx, w.controller.membership.peers, leader)
}

// claimRevocation reports whether the leader is still the one to depose, and lets that be
// done once a term.
func (w *leaderWatch) claimRevocation(leader leaderInfo) bool {
	c := w.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.membership.leader.term != leader.term || c.leadership.leading() {
		return false
	}
	c.membership.leader.storeLease = 0
	return true
}

func (w *leaderWatch) revokeLease(ctx context.Context, leader leaderInfo) {
	log := w.controller.log
	log.Info("revoking the lease of a leader whose process has ended", "leader", leader.name, "term", leader.term)
	if err := w.controller.store.RevokeLease(ctx, leader.storeLease); err != nil {
		log.Debug("leader lease not revoked", "err", err)
	}
}

// peerProber asks peers whether they answer at all. It uses no state of the controller.
type peerProber struct {
	client *peer.Client
	ping   func() peer.Ping
}

func (p peerProber) probe(ctx context.Context, target *peerState) error {
	_, err := p.client.Ping(ctx, target.Addr, p.ping())
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

// anotherAnswers reports whether any peer but the given one answers now. Where there is no
// other, there is nobody to ask.
func (p peerProber) anotherAnswers(ctx context.Context, peers map[string]*peerState, except *peerState) bool {
	if len(peers) < 2 {
		return true
	}
	answers := make(chan bool, len(peers))
	asked := 0
	for _, target := range peers {
		if target != except {
			asked++
			go func() { answers <- p.probe(ctx, target) == nil }()
		}
	}
	for range asked {
		if <-answers {
			return true
		}
	}
	return false
}
