package controller

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/peer"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

type peerState struct {
	config.Peer
	lastHeardAt               time.Time // when it was last asked and answered, or asked us
	bootID                    uint64    // its process
	confirmationsSeen         uint64    // up to where we have that process's list of cancellations
	confirmationsCompleteFrom time.Time // the list has all that it told since then
	confirmationsAsOf         time.Time // as of when we have the list, see cancellationWatermark
	storeAvailable            bool      // by the state service, when it was last heard
	processStartedAt          time.Time // its process's start; zero: not known
	notLeading                bool      // it does not lead although it should: its process has started anew
	connectionRefusedAt       time.Time // last time that it refused a connection
	declinedAt                time.Time // last time that it could not decide a request passed on
	runningTasks              map[string]int
}

// leaderInfo is what this node knows of the lead.
type leaderInfo struct {
	name string // empty: nobody leads, as far as is known
	addr string
	term uint64 // highest term known, of name or of an earlier leader
	// storeLease is the leader's lease, 0 if not known or no longer to be ended.
	storeLease uint64
}

// pingPeers keeps up with the other nodes.
func (c *Controller) pingPeers(ctx context.Context) {
	var wg sync.WaitGroup
	for _, p := range c.membership.peers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for sleep(ctx, jitter(tuning.PeerPingInterval)) {
				c.mu.Lock()
				sentAt := time.Now()
				ping := peer.Ping{Node: c.cfg.Node, BootID: c.bootID, Leader: c.membership.leader.name, Term: c.membership.leader.term, StoreAvailable: c.storeAvailable(),
					ConfirmationsSeen: p.confirmationsSeen, ConfirmationsBootID: p.bootID}
				c.mu.Unlock()
				pong, err := c.peerClient.Ping(ctx, p.Addr, ping)
				if errors.Is(err, syscall.ECONNREFUSED) {
					c.update(func() { p.connectionRefusedAt = time.Now() })
				}
				if err != nil {
					continue
				}
				c.update(func() {
					// As of when we asked: a process that stood still since then
					// would take an old answer for a new one.
					if sentAt.After(p.lastHeardAt) {
						p.lastHeardAt, p.storeAvailable = sentAt, pong.StoreAvailable
					}
					p.notLeading = pong.Leader == p.Name && !pong.IsLeader
					p.processStartedAt = sentAt.Add(-time.Duration(pong.UptimeMilli) * time.Millisecond)
					if c.leadership.scheduler != nil && c.survivedFailover(p.processStartedAt) {
						c.leadership.scheduler.ControllerSurvived()
					}
					c.updateWatermark()
					p.recordConfirmations(pong, sentAt, time.Now())
					if c.leadership.scheduler != nil && len(pong.Confirmed) > 0 {
						c.leadership.scheduler.Cancelled(c.now(), pong.Confirmed)
					}
					p.runningTasks = pong.Running
					c.learnLeader(pong.Leader, pong.Term)
					if pong.Term == c.membership.leader.term && pong.EnforcedAgoMilli > 0 {
						c.cancellations.enforcedUntil = later(c.cancellations.enforcedUntil, sentAt.Add(-time.Duration(pong.EnforcedAgoMilli)*time.Millisecond))
					}
				})
			}
		}()
	}
	wg.Wait()
}

// learnLeader takes a peer's word on who leads, if it is newer than ours.
func (c *Controller) learnLeader(name string, term uint64) {
	if term <= c.membership.leader.term || name == "" {
		return
	}
	if c.leadership.scheduler != nil {
		c.stepDown(c.leadership.scheduler, "a peer knows a later leader")
	}
	c.setLeader(name, term)
}

func (c *Controller) setLeader(name string, term uint64) {
	if c.membership.leader.name != name || c.membership.leader.term != term {
		c.log.Info("leader known", "leader", name, "term", term)
	}
	storeLease := uint64(0)
	if c.membership.leader.term == term {
		storeLease = c.membership.leader.storeLease
	} else {
		// What a leader says to be seen through is so for what it can have started. One
		// that stood still, and does not know yet of the next, reads all cancellations
		// when it goes on, and nothing of that one's tasks: workers that have a later
		// token are kept alive by its leader's word alone.
		//mutation:lost-leadership-ends-keepalive
		c.cancellations.enforcedUntil = time.Time{}
	}
	c.membership.leader = leaderInfo{name: name, term: term, storeLease: storeLease}
	if p := c.membership.peers[name]; p != nil {
		c.membership.leader.addr, p.notLeading = p.Addr, false
	}
}

// HandlePing answers a peer.
func (c *Controller) HandlePing(ping peer.Ping) peer.Pong {
	var pong peer.Pong
	c.update(func() {
		if sender := c.membership.peers[ping.Node]; sender != nil {
			sender.lastHeardAt, sender.storeAvailable = time.Now(), ping.StoreAvailable
		}
		c.learnLeader(ping.Leader, ping.Term)
		pong = peer.Pong{Node: c.cfg.Node, BootID: c.bootID, Leader: c.membership.leader.name, Term: c.membership.leader.term, StoreAvailable: c.storeAvailable(),
			IsLeader: c.leadership.scheduler != nil, UptimeMilli: 1 + time.Since(c.startedAt).Milliseconds()}
		if c.leadership.scheduler != nil {
			c.cancellations.enforcedUntil = later(c.cancellations.enforcedUntil, c.enforcedWatermark())
		}
		if age := time.Since(c.cancellations.enforcedUntil); age < time.Hour {
			pong.EnforcedAgoMilli = age.Milliseconds() + 1
		}
		if ping.ConfirmationsBootID != c.bootID {
			ping.ConfirmationsSeen = 0
		}
		pong.ConfirmedFrom, pong.Confirmed = c.cancellations.confirmed.after(ping.ConfirmationsSeen)
		if c.leadership.scheduler != nil {
			pong.Running = c.leadership.scheduler.RunningTasks()
		}
	})
	return pong
}

// watchLeaderProcess notices at once when the leader's process ends, and then ends its
// lease, so that nobody has to wait for it to run out. The signs are three: a held
// answer breaks off, new connections are refused, twice, and another peer answers.
// Without the last, it may be a filter between the nodes that refuses; then, and
// when the others are silent too, the lease's own end has to do. The signs may
// mislead all the same; that costs an election, once a while, and no rule, since
// those rest on tokens and conditions and not on the lease's time.
func (c *Controller) watchLeaderProcess(ctx context.Context) {
	var lastRevokedAt time.Time
	for sleep(ctx, tuning.PeerWatchRetryDelay) {
		c.mu.Lock()
		leader, p := c.membership.leader, c.membership.peers[c.membership.leader.name]
		c.mu.Unlock()
		if p == nil || leader.storeLease == 0 {
			continue
		}
		sentAt := time.Now()
		if c.peerClient.WatchProcess(ctx, p.Addr) == nil || time.Since(sentAt) >= tuning.PeerWatchTimeout {
			continue
		}
		if time.Since(lastRevokedAt) < tuning.MinLeaderVoteInterval || !c.refusesConnections(ctx, p) || !c.anotherPeerAnswers(ctx, p) {
			continue
		}
		c.mu.Lock()
		unchanged := c.membership.leader.term == leader.term && c.leadership.scheduler == nil
		if unchanged {
			c.membership.leader.storeLease = 0 // once a term
		}
		c.mu.Unlock()
		if unchanged {
			lastRevokedAt = time.Now()
			c.log.Info("the leader's process has ended, ending its lease", "leader", leader.name, "term", leader.term)
			if err := c.store.RevokeLease(ctx, leader.storeLease); err != nil {
				c.log.Debug("revoke", "err", err)
			}
		}
	}
}

func (c *Controller) pingOnce(ctx context.Context, p *peerState) error {
	_, err := c.peerClient.Ping(ctx, p.Addr, peer.Ping{Node: c.cfg.Node, BootID: c.bootID, StoreAvailable: c.storeAvailable()})
	return err
}

// refusesConnections reports whether the peer refuses two connections in a row.
func (c *Controller) refusesConnections(ctx context.Context, p *peerState) bool {
	for range 2 {
		if !sleep(ctx, tuning.PeerWatchRetryDelay) || !errors.Is(c.pingOnce(ctx, p), syscall.ECONNREFUSED) {
			return false
		}
	}
	return true
}

// anotherPeerAnswers reports whether any peer but the given one answers now. Where there
// is no other, there is nobody to ask.
func (c *Controller) anotherPeerAnswers(ctx context.Context, except *peerState) bool {
	if len(c.membership.peers) < 2 {
		return true
	}
	answers := make(chan bool, len(c.membership.peers))
	asked := 0
	for _, p := range c.membership.peers {
		if p != except {
			asked++
			go func() { answers <- c.pingOnce(ctx, p) == nil }()
		}
	}
	for range asked {
		if <-answers {
			return true
		}
	}
	return false
}
