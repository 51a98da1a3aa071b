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

// maxReportedEnforcementAge is the greatest age of cancellations.enforcedUntil that is reported to
// peers.
const maxReportedEnforcementAge = time.Hour

// pingPeers pings each peer in a loop of its own, and returns when ctx ends.
func (c *Controller) pingPeers(ctx context.Context) {
	var loops sync.WaitGroup
	for _, p := range c.membership.peers {
		loops.Go(func() { (&pinger{controller: c, peer: p}).run(ctx) })
	}
	loops.Wait()
}

// pinger pings one peer, in a goroutine of its own.
type pinger struct {
	controller *Controller
	peer       *peerState
	failing    bool // whether the peer did not answer the last ping
}

func (p *pinger) run(ctx context.Context) {
	for sleep(ctx, jitter(tuning.PeerPingInterval)) {
		p.pingOnce(ctx)
	}
}

func (p *pinger) pingOnce(ctx context.Context) {
	c := p.controller
	ping, sentAt := p.newPing()
	pong, err := c.peerClient.Ping(ctx, p.peer.Addr, ping)
	p.logPingResult(err)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		c.update(func() { p.peer.connectionRefusedAt = time.Now() })
	case err == nil:
		c.update(func() { p.handlePong(pong, sentAt) })
	}
}

// logPingResult logs the first failed ping of a peer, and the first one that the peer answers
// again.
func (p *pinger) logPingResult(err error) {
	failing := err != nil
	if failing == p.failing {
		return
	}
	p.failing = failing
	if failing {
		p.controller.log.Info("peer does not answer pings", "peer", p.peer.Name, "err", err)
	} else {
		p.controller.log.Info("peer answers pings again", "peer", p.peer.Name)
	}
}

func (p *pinger) newPing() (ping peer.Ping, sentAt time.Time) {
	c := p.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	sentAt = time.Now()
	return peer.Ping{
		Machines: c.servedMachines(),
		Node:     c.cfg.Node, BootID: c.bootID,
		Leader: c.membership.leader.name, Term: c.membership.leader.term,
		StoreAvailable:    c.membership.storeAvailable(),
		ConfirmationsSeen: p.peer.confirmations.receivedCount, ConfirmationsBootID: p.peer.confirmations.bootID,
	}, sentAt
}

// handlePong applies the answer to a ping that was sent at sentAt. Called with the lock held.
func (p *pinger) handlePong(pong peer.Pong, sentAt time.Time) {
	c := p.controller
	p.peer.recordPong(pong, sentAt)
	c.membership.recordFleetSize(pong.Machines)
	if c.leadership.leading() && c.leadership.survivedFailover(p.peer.processStartedAt, config.Seconds(c.cfg.Deployment.Workers.LeaseS)) {
		c.leadership.scheduler.ControllerSurvived()
	}
	// The watermark is updated before the cancellations of this pong are applied, since these may
	// be later than the watermark.
	c.updateCancellationWatermark()
	p.peer.confirmations.applyPong(pong, sentAt, time.Now())
	if c.leadership.leading() && len(pong.Confirmed) > 0 {
		c.leadership.scheduler.Cancelled(c.now(), pong.Confirmed)
	}
	c.learnLeader(pong.Leader, pong.Term)
	if pong.Term == c.membership.leader.term && pong.EnforcedWatermarkAgeMilli > 0 {
		c.cancellations.advanceEnforcedUntil(sentAt.Add(-milliseconds(pong.EnforcedWatermarkAgeMilli)))
	}
}

// servedMachines returns the number of machines that this controller serves as the leader, and
// records it; 0 if it does not lead. Called with the lock held.
func (c *Controller) servedMachines() int {
	if !c.leadership.leading() {
		return 0
	}
	machines := c.leadership.scheduler.View().MachineCount()
	c.membership.recordFleetSize(machines)
	return machines
}

// HandlePing answers a peer's ping.
func (c *Controller) HandlePing(ping peer.Ping) peer.Pong {
	var pong peer.Pong
	c.update(func() {
		c.membership.recordPing(ping)
		c.learnLeader(ping.Leader, ping.Term)
		pong = c.newPong(ping)
	})
	return pong
}

// newPong makes the answer to a ping. Called with the lock held.
func (c *Controller) newPong(ping peer.Ping) peer.Pong {
	pong := peer.Pong{
		Node: c.cfg.Node, BootID: c.bootID,
		Leader: c.membership.leader.name, Term: c.membership.leader.term,
		StoreAvailable: c.membership.storeAvailable(),
		IsLeader:       c.leadership.leading(),
		Machines:       c.servedMachines(),
		UptimeMilli:    1 + time.Since(c.startedAt).Milliseconds(),
	}
	if c.leadership.leading() {
		c.cancellations.advanceEnforcedUntil(c.enforcedCancellationWatermark())
		pong.Running = c.leadership.scheduler.View().RunningTasks()
	}
	if age := time.Since(c.cancellations.enforcedUntil); age < maxReportedEnforcementAge {
		pong.EnforcedWatermarkAgeMilli = age.Milliseconds() + 1
	}
	seen := ping.ConfirmationsSeen
	if ping.ConfirmationsBootID != c.bootID {
		seen = 0
	}
	pong.ConfirmedFrom, pong.Confirmed = c.cancellations.confirmed.entriesAfter(seen)
	return pong
}
