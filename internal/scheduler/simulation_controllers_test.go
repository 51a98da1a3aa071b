package scheduler_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// This file simulates the controllers: processes that elect a leader, watch the key-value
// store, and drive the scheduler while they lead, like package controller.

// simController is a simulated controller with its scheduler, if it leads.
type simController struct {
	sim         *simulation
	name        string
	incarnation int           // number of the process: how many have ended before it
	startedAt   time.Duration // start of the current process

	scheduler  *scheduler.Scheduler // nil: it does not lead
	term       uint64               // its current or last term as leader
	electedAt  time.Duration        // start of that term
	storeLease uint64               // lease of the leader's key

	replica       *scheduler.Replica
	replicaReadAt time.Duration // time up to which the replica has all changes
	watchInFlight bool          // a delayed answer to the last watch has not arrived yet

	// See simulation_confirmations_test.go.
	confirmedCancellations []string                         // jobs whose cancellation it has confirmed to users
	peerPolledAt           map[*simController]time.Duration // last poll of each peer
	leaderWatermark        time.Duration                    // EnforcedCancellationWatermark of the last known leader
	leaderTerm             uint64                           // term of the last known leader

	downUntil               time.Duration // no process runs until then
	pausedUntil             time.Duration // messages until then are handled after the pause
	refusedByStoreUntil     time.Duration // the key-value store refuses its requests until then
	isolatedUntil           time.Duration // it reaches neither the store nor any peer until then
	workersUnreachableUntil time.Duration // no message passes between it and workers until then
}

func (sim *simulation) addController(name string) {
	c := &simController{sim: sim, name: name, replica: scheduler.NewReplica()}
	sim.controllers = append(sim.controllers, c)
	sim.every(300*time.Millisecond, c.elect)
	sim.every(100*time.Millisecond, c.watch)
	sim.every(200*time.Millisecond, c.tick)
	sim.every(700*time.Millisecond, c.pollPeers)
}

func (c *simController) alive() bool { return c.sim.now >= c.downUntil }

func (c *simController) paused() bool { return c.sim.now < c.pausedUntil }

// afterPause runs f at once or, if the process is paused, after it resumes. f does not run if
// the process ends before that.
func (c *simController) afterPause(f func()) {
	if !c.paused() {
		f()
		return
	}
	incarnation := c.incarnation
	c.sim.after(c.pausedUntil-c.sim.now+c.sim.linkDelay(), func() {
		if c.incarnation == incarnation {
			c.afterPause(f)
		}
	})
}

// reachesStore reports whether the key-value store serves the controller.
func (c *simController) reachesStore() bool {
	now := c.sim.now
	return c.alive() && !c.paused() && !c.sim.kvStore.Unavailable && now >= c.refusedByStoreUntil && now >= c.isolatedUntil
}

// reachesPeer reports whether the controller and a peer reach each other.
func (c *simController) reachesPeer(peer *simController) bool {
	if peer == c {
		return false
	}
	sim := c.sim
	for _, end := range []*simController{c, peer} {
		if !end.alive() || end.paused() || sim.now < end.isolatedUntil || sim.now < sim.partitionedUntil[end.name] {
			return false
		}
	}
	from, to := sim.zoneOf(c.name), sim.zoneOf(peer.name)
	return from == to || sim.zonePartitionedUntil[from] <= sim.now && sim.zonePartitionedUntil[to] <= sim.now
}

// crash ends the process. The next process starts after d.
func (c *simController) crash(d time.Duration) {
	c.scheduler, c.replica, c.leaderTerm = nil, scheduler.NewReplica(), 0
	c.replicaReadAt, c.confirmedCancellations, c.pausedUntil, c.watchInFlight = 0, nil, 0, false
	c.downUntil = c.sim.now + d
	c.startedAt = c.downUntil
	c.incarnation++
}

// elect simulates an election step: a leader renews its lease or steps down, and a follower
// takes the leader's key if it is free.
func (c *simController) elect() {
	switch {
	case c.paused():
	case !c.reachesStore():
		isolated := c.sim.now < c.isolatedUntil && c.sim.now-c.replicaReadAt > tuning.IsolatedAfter
		if c.scheduler != nil && isolated {
			c.stepDown()
		}
	case c.scheduler != nil:
		c.renewLease()
	case c.leaderKeyIsFree():
		c.campaign()
	}
}

func (c *simController) renewLease() {
	if !c.sim.kvStore.RenewLease(c.sim.now, c.storeLease) {
		c.stepDown()
		return
	}
	c.scheduler.ExtendLease(c.sim.now + tuning.LeaderLeaseTTL)
}

// leaderKeyIsFree reports whether the leader's key is absent. If the key was written by an
// earlier process of this controller, it is removed, so that the next election finds it free.
func (c *simController) leaderKeyIsFree() bool {
	item := c.sim.kvStore.Get(c.sim.now, records.LeaderKey)
	if item.ModRevision == 0 {
		return true
	}
	var leader records.Leader
	must(wire.Unmarshal(item.Value, &leader))
	if leader.Node == c.name && leader.BootID != uint64(c.incarnation) {
		c.sim.kvStore.RevokeLease(item.Lease)
	}
	return false
}

// campaign takes the leader's key, and begins a term unless the process crashes before that.
func (c *simController) campaign() {
	sim := c.sim
	c.storeLease = sim.kvStore.GrantLease(sim.now, tuning.LeaderLeaseTTL)
	status, reply := sim.kvStore.Commit(sim.now, wire.Txn{
		If:   []wire.Compare{{Key: records.LeaderKey}},
		Then: []wire.Op{{Set: records.LeaderKey, Value: records.Leader{Node: c.name, BootID: uint64(c.incarnation)}, Lease: &c.storeLease}},
	})
	if status != 200 {
		return
	}
	c.term, c.electedAt = reply.Revision, sim.now
	incarnation := c.incarnation
	if sim.chance(0.1) {
		c.crash(time.Duration(sim.rng.IntN(500)) * time.Millisecond)
	}
	sim.after(sim.linkDelay(), func() {
		if c.incarnation == incarnation && c.reachesStore() && sim.kvStore.RenewLease(sim.now, c.storeLease) {
			c.startTerm()
		}
	})
}

// startTerm reads all records and creates the scheduler of the term.
func (c *simController) startTerm() {
	sim := c.sim
	readAll := func(prefix string) []wire.KeyValue { return sim.kvStore.Range(sim.now, prefix, "", 1000).Items }
	c.replica.Reset(readAll(records.LiveJobPrefix), sim.kvStore.Revision)
	c.replicaReadAt, c.leaderTerm, c.peerPolledAt = sim.now, c.term, map[*simController]time.Duration{}
	settings := sim.settings
	settings.ColdRestart = !slices.ContainsFunc(sim.controllers, func(peer *simController) bool {
		return (peer == c || c.reachesPeer(peer)) && c.survivedFailover(peer)
	})
	c.scheduler = scheduler.New(sim.schedulerNow(), settings, c.term, c.replica, readAll(records.BitmapPrefix), readAll(records.BatchPrefix), sim.machineTypes)
	c.scheduler.ExtendLease(sim.now + tuning.LeaderLeaseTTL)
	c.settle()
	for _, heartbeat := range sim.heartbeatsForNextLeader {
		sim.after(time.Duration(sim.rng.IntN(3000))*time.Millisecond, func() { c.heartbeat(&heartbeat) })
	}
	sim.heartbeatsForNextLeader = nil
}

// stepDown ends the leadership of this controller. It leaves the lease of the leader's key as
// it is.
func (c *simController) stepDown() {
	c.leaderWatermark, c.scheduler = c.enforcedWatermark(), nil
}

// watch requests changes from the key-value store, one watch at a time.
func (c *simController) watch() {
	if c.scheduler == nil || !c.reachesStore() || c.watchInFlight {
		return
	}
	sim := c.sim
	changes, ok := sim.kvStore.Changes(sim.now, records.JobsPrefix, c.replica.Revision)
	if !ok {
		panic("the simulated key-value store has compacted changes")
	}
	var delay time.Duration
	switch {
	case sim.now < sim.slowWatchUntil:
		delay = sim.randomDuration(500, 2500)
	case sim.chance(0.02):
		delay = sim.randomDuration(0, 600)
	default:
		c.applyWatch(changes, sim.now)
		return
	}
	c.applyWatchAfter(delay, changes)
}

// applyWatchAfter applies a watch answer after a delay. The answer has the changes up to the
// time of its request.
func (c *simController) applyWatchAfter(delay time.Duration, changes wire.WatchReply) {
	requestedAt, leading, incarnation := c.sim.now, c.scheduler, c.incarnation
	c.watchInFlight = true
	c.sim.after(delay, func() {
		c.afterPause(func() {
			if c.incarnation != incarnation {
				return
			}
			c.watchInFlight = false
			// An answer does not arrive while the controller cannot reach the store.
			if c.scheduler == leading && c.reachesStore() {
				c.applyWatch(changes, requestedAt)
			}
		})
	})
}

// applyWatch applies the answer to a watch that was requested at requestedAt.
func (c *simController) applyWatch(changes wire.WatchReply, requestedAt time.Duration) {
	c.scheduler.AdvanceCancellationWatermark(c.cancellationWatermark())
	c.replicaReadAt = max(c.replicaReadAt, requestedAt)
	jobChanges, unreadable := c.replica.Apply(changes)
	if len(unreadable) > 0 {
		panic(fmt.Sprint("unreadable records: ", unreadable))
	}
	c.scheduler.DropPendingCancellationsBefore(requestedAt)
	c.scheduler.JobsChanged(c.sim.schedulerNow(), jobChanges)
	c.settle()
}

func (c *simController) tick() {
	if c.scheduler == nil || !c.alive() || c.paused() {
		return
	}
	c.scheduler.Tick(c.sim.schedulerNow())
	if c.sim.rng.IntN(10) == 0 && !c.sim.cloudDown {
		c.scheduler.MachinesListed(c.sim.schedulerNow(), c.sim.machineList())
	}
	c.settle()
}

// heartbeat handles a worker's heartbeat and reports whether it is answered. A controller that
// neither leads nor may renew worker leases does not answer, so that the worker tries another
// controller.
func (c *simController) heartbeat(heartbeat *wire.Heartbeat) (wire.HeartbeatReply, bool) {
	if c.scheduler == nil && c.alive() && !c.reachesLeader() && c.leaderTerm != 0 && scheduler.TermOf(heartbeat.FencingToken) == c.leaderTerm {
		// A controller that cannot reach the leader renews worker leases for a limited time.
		return wire.HeartbeatReply{FencingToken: heartbeat.FencingToken}, c.sim.now-c.leaderWatermark < c.keepaliveLimit()
	}
	if c.scheduler != nil && c.sim.now-c.cancellationWatermark() >= c.keepaliveLimit() && c.sim.disabled != keepaliveBoundByWatermark {
		c.stepDown()
	}
	if c.scheduler == nil || !c.alive() {
		return wire.HeartbeatReply{}, false
	}
	reply, ok := c.scheduler.Heartbeat(c.sim.schedulerNow(), heartbeat)
	if c.sim.decisions != nil {
		c.sim.decisions.addReply(c.sim.now, c.name, heartbeat.Machine, reply, ok)
	}
	c.settle()
	return reply, ok
}

// reachesLeader reports whether the controller could forward a heartbeat to a leader.
func (c *simController) reachesLeader() bool {
	return slices.ContainsFunc(c.sim.controllers, func(peer *simController) bool {
		return peer.scheduler != nil && c.reachesPeer(peer)
	})
}

// settle calls Settle of the leader's scheduler and carries out the effects. It does nothing on
// a follower.
func (c *simController) settle() {
	sim, leading := c.sim, c.scheduler
	if leading == nil {
		return
	}
	leading.Settle(sim.schedulerNow())
	if sim.settleCount++; sim.settleCount%sim.size.settlesPerAudit == 0 {
		if err := leading.Audit(); err != nil {
			panic(fmt.Sprintf("%v: %v", sim.now, err))
		}
	}
	effects := leading.TakeEffects()
	c.recordEffects(effects)
	for _, commit := range effects.Commits {
		c.commit(commit)
	}
	for _, call := range effects.DirectCalls {
		c.callWorker(call)
	}
	for _, request := range effects.Provision {
		c.provision(request.Request)
	}
	for _, names := range effects.Release {
		c.release(names)
	}
	if effects.Resign != "" && c.scheduler == leading {
		c.stepDown()
		if c.reachesStore() {
			sim.kvStore.RevokeLease(c.storeLease)
		}
	}
}

// recordEffects adds a leader's effects to the decision digest and prints its log lines, each
// if the simulation enables it.
func (c *simController) recordEffects(effects scheduler.Effects) {
	if c.sim.decisions != nil {
		c.sim.decisions.addEffects(c.sim.now, c.name, effects)
	}
	if !c.sim.traceLogs {
		return
	}
	for _, line := range effects.Log {
		fmt.Println(c.sim.now, c.name, line.Message, line.Attributes)
	}
	if effects.Resign != "" {
		fmt.Println(c.sim.now, c.name, "resigns:", effects.Resign)
	}
}
