package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/eventqueue"
	"github.com/yarrowgap/yarrowgap/internal/policy"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// simulation is a simulated deployment: five controller nodes that run the core, and
// stand-ins for everything else, with messages that are late, lost, repeated
// and held back. Everything follows from the seed.
type simulation struct {
	now   time.Duration
	queue eventqueue.Queue
	rng   *rand.Rand

	kvStore                *simulator.KVStore
	checker                *simulator.RuleChecker
	workers                map[string]*simulator.Worker
	provisioned            map[string][]string
	machineNames           []string
	controllers            []*simController
	machineTypes           []wire.MachineType
	jobs                   []*wire.Job
	faultyMachines         map[string]bool
	partitionedUntil       map[string]time.Duration // machine or node -> cut until
	unreachableUntil       map[string]time.Duration // machine that nothing reaches until then
	hungUntil              map[string]time.Duration // machine that stands still until then
	heartbeatsBlockedUntil map[string]time.Duration // machine that reaches no node until then, while direct calls reach it
	lifecycles             map[string]*machineLifecycle
	heldHeartbeats         []wire.Heartbeat         // copies of reports that arrive when somebody leads anew
	zonePartitionedUntil   map[string]time.Duration // zone that is apart from the others until then

	size        simulationSize
	advancedAt  time.Duration // when all workers last moved on
	settleCount int           // how often leaders settled
	directCalls int           // direct calls made

	faultsActive           bool // faults go on
	cloudFakesReleases     bool // the cloud answers releases without carrying them out
	cloudDown              bool
	slowWatchUntil         time.Duration // the state service's answers to watches take seconds until then
	cloudUnresponsiveUntil time.Duration // the cloud neither answers nor carries out releases until then
	// releasesDelayedUntil is until when deletion requests are held back on their way.
	releasesDelayedUntil time.Duration
	lossRate             float64
	delayRate            float64
	duplicateRate        float64
	heartbeatCopyRate    float64 // of reports, seconds to well over a lease late
	maxWriteDelayMS      int     // milliseconds that a leader's transaction may take longer
	maxCallDelayMS       int     // milliseconds that a direct call and its answer may each take longer
	workerLease          time.Duration
	settings             scheduler.Settings
	traceLogs            bool // print what the leaders log
	disabled             safeguard
	decisions            *decisionDigest // of all leaders; nil: not taken

	maxLinkDelay        time.Duration // up to which links take longer
	writeRate           float64       // changes a second that the state service takes; 0: any number
	writeBudget         float64       // changes that it takes now, as of budgeted
	budgetRefilledAt    time.Duration
	refusedTransactions int // transactions of leaders that were over it

	changesBySecond []int                    // that leaders asked for, by second; nil: not counted
	acceptedAt      map[string]time.Duration // when jobs were accepted; nil: not noted
}

// safeguard is what a world can do without, to show that its checker needs it.
type safeguard int

const (
	noSafeguard               safeguard = iota
	keepaliveBoundByWatermark           // leaders answer workers only while they know all cancellations
	peerCancellationLists               // nodes tell each other of cancellations
	enforcedWatermark                   // keeping alive counts from when cancellations are seen through
	watermarkAtReading                  // and not from when an answer is read
)

type simController struct {
	sim                     *simulation
	name                    string
	scheduler               *scheduler.Scheduler
	storeLease              uint64
	term                    uint64
	incarnation             int
	replica                 *scheduler.Replica
	refusedUntil            time.Duration // by the state service, until then
	partitionedUntil        time.Duration // from the state service and all peers, until then
	workersUnreachableUntil time.Duration // from all workers, until then
	downUntil               time.Duration // until then
	pausedUntil             time.Duration // until then: it does nothing, and then what came meanwhile
	startedAt               time.Duration // its process's start
	electedAt               time.Duration // when it last was
	watchInFlight           bool          // for a slow answer to its watch
	replicaReadAt           time.Duration // as of when its replica has all changes
	peerConfirmedAt         map[*simController]time.Duration
	confirmedCancellations  []string      // cancellations that users were told of here
	leaderWatermark         time.Duration // as of when it knew all cancellations while it led
	leaderTerm              uint64
}

func (sim *simulation) after(d time.Duration, f func()) { sim.queue.Add(sim.now+d, f) }

func (sim *simulation) every(d time.Duration, f func()) {
	var again func()
	again = func() {
		f()
		sim.after(d*3/4+time.Duration(sim.rng.Int64N(int64(d/2)+1)), again)
	}
	sim.after(time.Duration(sim.rng.Int64N(int64(d)+1)), again)
}

func (sim *simulation) run(until time.Duration) {
	for {
		at, f, ok := sim.queue.Next(until)
		if !ok {
			break
		}
		sim.now = at
		f()
		// Workers also move on whenever something reaches them, so that a large
		// world need not look at each of them with every event.
		if sim.now-sim.advancedAt < sim.size.advanceEvery {
			continue
		}
		sim.advancedAt = sim.now
		for _, name := range sim.machineNames {
			// "A hanging machine does not execute its tasks, but it may resume at any
			// time within its lease", and a task "is on its machine [...] until it
			// exits, is killed or the machine is gone, including while it [...] cannot
			// be reached". So on one that hangs for longer its tasks are until its
			// worker, which kills them, resumes, or the machine is released: no end of
			// a lease that passes meanwhile proves that they are gone.
			if sim.hungUntil[name] <= sim.now {
				sim.workers[name].Advance(sim.now)
			} else {
				sim.workers[name].Pause(sim.now)
			}
		}
	}
	sim.now = until
}

func (sim *simulation) chance(p float64) bool { return sim.faultsActive && sim.rng.Float64() < p }

func (sim *simulation) linkDelay() time.Duration {
	d := time.Duration(1+sim.rng.IntN(20)) * time.Millisecond
	if sim.maxLinkDelay > 0 {
		d += time.Duration(sim.rng.Int64N(int64(sim.maxLinkDelay)))
	}
	if sim.chance(0.03) {
		d += time.Duration(sim.rng.IntN(800)) * time.Millisecond
	}
	return d
}

// randomDelay draws up to that many milliseconds.
func (sim *simulation) randomDelay(maxMS int) time.Duration {
	if maxMS == 0 {
		return 0
	}
	return sim.randomDuration(0, maxMS)
}

// deliveries decides what becomes of a message: how often it arrives, and when.
func (sim *simulation) deliveries(ends ...string) []time.Duration {
	until := time.Duration(0)
	for _, end := range ends {
		until = max(until, sim.partitionedUntil[end])
		for _, c := range sim.controllers {
			if c.name == end && sim.workers[ends[0]] != nil {
				until = max(until, c.workersUnreachableUntil)
			}
		}
		if z := sim.zoneOf(end); z != sim.zoneOf(ends[0]) {
			until = max(until, sim.zonePartitionedUntil[z], sim.zonePartitionedUntil[sim.zoneOf(ends[0])])
		}
	}
	if until > sim.now {
		if sim.chance(0.5) {
			return []time.Duration{until - sim.now + sim.linkDelay()} // held
		}
		return nil
	}
	if sim.chance(sim.lossRate) {
		return nil
	}
	out := []time.Duration{sim.linkDelay()}
	if sim.chance(sim.delayRate) {
		out[0] = time.Duration(sim.rng.IntN(25000)) * time.Millisecond
		if sim.rng.IntN(8) == 0 {
			out[0] *= 5 // minutes late
		}
	}
	if sim.chance(sim.duplicateRate) {
		out = append(out, out[0]+time.Duration(sim.rng.IntN(20000))*time.Millisecond)
	}
	return out
}

// zoneOf is the zone of a machine or a node; of the nodes, zone a has three.
func (sim *simulation) zoneOf(name string) string {
	if wk := sim.workers[name]; wk != nil {
		return wk.Zone
	}
	for i, c := range sim.controllers {
		if c.name == name {
			return []string{"a", "b"}[i%2]
		}
	}
	return ""
}

// simulationSize is what makes a world small or large.
type simulationSize struct {
	initialMachines, maxPerKind          int           // at the start, and at most of a kind in a zone
	heartbeatInterval, cancellationBound time.Duration // of the workers
	teamCPUs                             float64       // of a team, in CPUs
	writeRate                            float64       // changes a second that the state service takes
	advanceEvery                         time.Duration // in which all workers move on
	auditEvery                           int           // events between two audits of the leader's books
}

var (
	smallSimulation = simulationSize{initialMachines: 4, maxPerKind: 3, heartbeatInterval: 1500 * time.Millisecond, cancellationBound: 40 * time.Second, teamCPUs: 24, writeRate: 40, auditEvery: 1}
	fleetSimulation = simulationSize{initialMachines: 2400, maxPerKind: 1300, heartbeatInterval: 5 * time.Second, cancellationBound: 40 * time.Second, teamCPUs: 14_000, writeRate: 70, advanceEvery: 50 * time.Millisecond, auditEvery: 5000}
)

func newSimulation(seed uint64) *simulation { return newSimulationOf(seed, smallSimulation) }

func newSimulationOf(seed uint64, size simulationSize) *simulation {
	sim := &simulation{size: size, rng: rand.New(rand.NewPCG(seed, 7)), kvStore: simulator.NewKVStore(12, 10000),
		workers: map[string]*simulator.Worker{}, provisioned: map[string][]string{}, faultyMachines: map[string]bool{}, partitionedUntil: map[string]time.Duration{}, unreachableUntil: map[string]time.Duration{}, hungUntil: map[string]time.Duration{}, heartbeatsBlockedUntil: map[string]time.Duration{}, lifecycles: map[string]*machineLifecycle{}, zonePartitionedUntil: map[string]time.Duration{},
		faultsActive: true, workerLease: 12 * time.Second}
	sim.machineTypes = []wire.MachineType{
		{Name: "small", CPUs: 8, MemoryGB: 32, CacheGB: 20, FetchGBPerS: 0.5, Price: 1, SpotPrice: 0.3, BootS: 5, Zones: []string{"a", "b"}},
		{Name: "large", CPUs: 16, MemoryGB: 64, CacheGB: 20, FetchGBPerS: 0.5, Price: 2, SpotPrice: 0.6, BootS: 5, Zones: []string{"a", "b"}},
	}
	sim.kvStore.WriteRate = size.writeRate + 10 // users' writes come on top of what the leader keeps to
	sim.checker = simulator.NewRuleChecker(map[string]float64{"red": size.teamCPUs, "blue": size.teamCPUs}, size.cancellationBound)
	sim.checker.SetMachineTypes(sim.machineTypes)
	sim.settings = scheduler.Settings{
		Teams:             map[string]scheduler.TeamQuota{"red": {CPUs: size.teamCPUs / 2, CPUsMax: size.teamCPUs}, "blue": {CPUs: size.teamCPUs / 2, CPUsMax: size.teamCPUs}},
		HeartbeatInterval: size.heartbeatInterval, WorkerLease: sim.workerLease, CancellationBound: size.cancellationBound, MaxTransactionOps: 12, MaxValueBytes: 4096, WriteRate: size.writeRate,
		Policy: policy.Defaults(false),
	}
	for i := range 5 {
		c := &simController{sim: sim, name: fmt.Sprintf("node-%d", i), replica: scheduler.NewReplica()}
		sim.controllers = append(sim.controllers, c)
		sim.every(300*time.Millisecond, c.elect)
		sim.every(100*time.Millisecond, c.watch)
		sim.every(200*time.Millisecond, c.tick)
		sim.every(700*time.Millisecond, c.pollPeers)
	}
	for i := range size.initialMachines {
		sim.bootMachineIn(0, sim.machineTypes[i%2], []string{"a", "b"}[i/2%2], false)
	}
	sim.every(time.Second, func() { sim.checker.CheckCancelled(sim.now) })
	sim.every(3*time.Second, sim.showFreeCapacity)
	return sim
}

func (sim *simulation) schedulerNow() scheduler.Now {
	return scheduler.Now{Mono: sim.now, Wall: sim.now.Milliseconds()}
}

// machineLifecycle is what the cloud knows of a machine.
type machineLifecycle struct {
	provisionedAt time.Duration
	upAt          time.Duration // when its worker begins; never is far away
	diedAt        time.Duration // on its own, 0: it has not
	removedAt     time.Duration // deleted or taken, 0: it is not
}

const never = 1 << 60 * time.Nanosecond

// bootMachine rents a machine: some are up at once, most after about the usual time, and while
// there is trouble some take several times that, or never come up.
func (sim *simulation) bootMachine(machineType wire.MachineType, zone string, spot bool) string {
	usual := time.Duration(machineType.BootS * float64(time.Second))
	bootTime := time.Duration((0.6 + 0.9*sim.rng.Float64()) * float64(usual))
	switch x := sim.rng.IntN(20); {
	case x < 6:
		bootTime = time.Duration(sim.rng.IntN(1500)) * time.Millisecond
	case x == 6 && sim.faultsActive:
		bootTime *= 4
	case x == 7 && sim.faultsActive && sim.rng.IntN(2) == 0:
		bootTime = never
	}
	return sim.bootMachineIn(bootTime, machineType, zone, spot)
}

// bootMachineIn rents a machine that is up after d.
func (sim *simulation) bootMachineIn(d time.Duration, machineType wire.MachineType, zone string, spot bool) string {
	name := fmt.Sprintf("n-%06d", len(sim.machineNames))
	sim.machineNames = append(sim.machineNames, name)
	sim.lifecycles[name] = &machineLifecycle{provisionedAt: sim.now, upAt: sim.now + d}
	sim.faultyMachines[name] = sim.rng.Float64() < 0.1
	// Clocks of different machines drift apart by up to 0.05%.
	lease := sim.workerLease + time.Duration((sim.rng.Float64()-0.5)*0.001*float64(sim.workerLease))
	worker := simulator.NewWorker(sim.now+d, simulator.WorkerConfig{
		Name: name, MachineType: machineType, Zone: zone, Spot: spot, LeaseDuration: lease, Checker: sim.checker,
		RunTime: func(string) time.Duration {
			// Most tasks take seconds; some of a job end far apart from the others.
			if sim.rng.IntN(8) == 0 {
				return time.Duration(30+sim.rng.IntN(25)) * time.Second
			}
			return time.Duration(2+sim.rng.IntN(15)) * time.Second
		},
		TaskFails: func(string) bool { return sim.faultsActive && sim.faultyMachines[name] && sim.rng.Float64() < 0.5 },
	})
	sim.workers[name] = worker
	controllerIndex := sim.rng.IntN(len(sim.controllers))
	var next func()
	next = func() {
		if worker.Terminated {
			return
		}
		if sim.hungUntil[name] > sim.now {
			sim.after(sim.hungUntil[name]-sim.now, next)
			return
		}
		worker.Advance(sim.now)
		heartbeat := worker.Heartbeat(sim.now)
		sent, session := sim.now, worker.Incarnation
		c := sim.controllers[controllerIndex]
		answered, early := false, false
		if sim.chance(sim.heartbeatCopyRate) {
			// A copy comes late, to any node or to the next that leads, and nobody
			// waits for its answer.
			if sim.rng.IntN(3) == 0 {
				sim.heldHeartbeats = append(sim.heldHeartbeats, heartbeat)
			} else {
				sim.after(time.Duration(1+sim.rng.IntN(40))*time.Second, func() { sim.controllers[sim.rng.IntN(len(sim.controllers))].heartbeat(&heartbeat) })
			}
		}
		var arrivals []time.Duration
		if sim.heartbeatsBlockedUntil[name] <= sim.now {
			arrivals = sim.deliveries(name, c.name)
		}
		for _, d := range arrivals {
			sim.after(d, func() {
				c.afterPause(func() {
					reply, ok := c.heartbeat(&heartbeat)
					if !ok {
						if c.alive() && !answered {
							// Refused, or sent on: it tries the next node a second later.
							answered, early = true, true
							controllerIndex = (controllerIndex + 1) % len(sim.controllers)
							sim.after(time.Second, next)
						}
						return
					}
					copies := sim.deliveries(name, c.name)
					if len(copies) == 0 || sim.unreachableUntil[name] > sim.now {
						return
					}
					d := copies[0] // a response is read once
					if until := sim.hungUntil[name]; until > sim.now+d {
						d = until - sim.now // it reads the answer when it resumes
					}
					sim.after(d, func() {
						if !answered && sim.now-sent < 4*time.Second && sim.hungUntil[name] <= sim.now {
							answered = true
							worker.HandleHeartbeatReply(sim.now, sent, session, reply)
							if len(reply.Commands) > 0 {
								// What changes is reported at once, or nearly.
								early = true
								sim.after(max(0, sent+500*time.Millisecond-sim.now), next)
							}
						}
					})
				})
			})
		}
		pause := sim.size.heartbeatInterval*3/4 + time.Duration(sim.rng.Int64N(int64(sim.size.heartbeatInterval/2)))
		sim.after(pause, func() {
			if early {
				return
			}
			if answered {
				next()
				return
			}
			// One report is in flight at a time: wait for it to time out.
			sim.after(max(0, sent+4*time.Second-sim.now), func() {
				if !answered {
					answered = true
					controllerIndex = (controllerIndex + 1) % len(sim.controllers)
				}
				next()
			})
		})
	}
	if d < never {
		sim.after(d+time.Duration(sim.rng.Int64N(int64(sim.size.heartbeatInterval*2/3))), next)
	}
	return name
}

func (c *simController) alive() bool { return c.sim.now >= c.downUntil }

// afterPause runs f, once the node goes on if it stands still, if it is the same process.
func (c *simController) afterPause(f func()) {
	if boot := c.incarnation; c.sim.now < c.pausedUntil {
		c.sim.after(c.pausedUntil-c.sim.now+c.sim.linkDelay(), func() {
			if c.incarnation == boot {
				c.afterPause(f)
			}
		})
		return
	}
	f()
}

func (c *simController) reachesStore() bool {
	return c.alive() && c.sim.now >= c.pausedUntil && !c.sim.kvStore.Unavailable && c.sim.now >= c.refusedUntil && c.sim.now >= c.partitionedUntil
}

// reachesPeer reports whether the node and a peer reach each other.
func (c *simController) reachesPeer(peer *simController) bool {
	sim := c.sim
	for _, x := range []*simController{c, peer} {
		if !x.alive() || sim.now < x.pausedUntil || sim.now < x.partitionedUntil {
			return false
		}
	}
	return peer != c && sim.partitionedUntil[c.name] <= sim.now && sim.partitionedUntil[peer.name] <= sim.now &&
		(sim.zoneOf(c.name) == sim.zoneOf(peer.name) || sim.zonePartitionedUntil[sim.zoneOf(c.name)] <= sim.now && sim.zonePartitionedUntil[sim.zoneOf(peer.name)] <= sim.now)
}

// pollPeers learns what users were told at the others, as node.recordConfirmations has it, and
// as of when the leader has seen cancellations through.
func (c *simController) pollPeers() {
	for _, peer := range c.sim.controllers {
		if !c.reachesPeer(peer) {
			continue
		}
		if peer.scheduler != nil && peer.term >= c.leaderTerm {
			c.leaderWatermark, c.leaderTerm = peer.enforcedAsOf(), peer.term
		}
		if c.scheduler != nil {
			if peer.startedAt < c.replicaReadAt {
				c.peerConfirmedAt[peer] = c.sim.now
			}
			if c.survivedFailover(peer) {
				c.scheduler.ControllerSurvived()
			}
			c.scheduler.AdvanceCancellationWatermark(c.watermark())
			if c.sim.disabled != peerCancellationLists {
				c.scheduler.Cancelled(c.sim.schedulerNow(), peer.confirmedCancellations)
			}
		}
	}
	c.settle()
}

// survivedFailover reports whether a node's process was up long before this one was elected.
func (c *simController) survivedFailover(peer *simController) bool {
	return c.electedAt-peer.startedAt > c.sim.workerLease/tuning.ColdRestartLeaseDivisor
}

// watermark is as of when the node knows all cancellations: see node.watermark.
func (c *simController) watermark() time.Duration {
	least := c.sim.now
	for _, peer := range c.sim.controllers {
		if peer == c {
			continue
		}
		if peer.startedAt >= c.replicaReadAt {
			return c.replicaReadAt
		}
		least = min(least, c.peerConfirmedAt[peer])
	}
	return max(c.replicaReadAt, least)
}

func (c *simController) keepaliveLimit() time.Duration {
	return c.sim.size.cancellationBound - c.sim.workerLease - tuning.KeepaliveMargin
}

// stepDown ends a lead that is lost or given up.
func (c *simController) stepDown() {
	c.leaderWatermark, c.scheduler = c.enforcedAsOf(), nil
}

// enforcedAsOf is as of when the leader has seen all cancellations through.
func (c *simController) enforcedAsOf() time.Duration {
	switch c.sim.disabled {
	case enforcedWatermark:
		return c.watermark()
	case watermarkAtReading:
		return c.sim.now
	}
	return c.scheduler.EnforcedCancellationWatermark(c.watermark())
}

func (c *simController) crash(d time.Duration) {
	c.scheduler, c.replica, c.leaderTerm = nil, scheduler.NewReplica(), 0
	c.replicaReadAt, c.confirmedCancellations, c.pausedUntil, c.watchInFlight = 0, nil, 0, false
	c.downUntil = c.sim.now + d
	c.startedAt = c.downUntil
	c.incarnation++
}

// elect is the election in short: take the key if it is free, renew the lease.
func (c *simController) elect() {
	sim := c.sim
	if sim.now < c.pausedUntil {
		return
	}
	if !c.reachesStore() {
		if c.scheduler != nil && sim.now < c.partitionedUntil && sim.now-c.replicaReadAt > 4*time.Second {
			c.stepDown() // as node.isolated has it
		}
		return
	}
	if c.scheduler != nil {
		if !sim.kvStore.RenewLease(sim.now, c.storeLease) {
			c.stepDown()
			return
		}
		c.scheduler.LeaseHeldUntil(sim.now + tuning.LeaderLeaseTTL)
		return
	}
	if it := sim.kvStore.Get(sim.now, records.LeaderKey); it.ModRevision != 0 {
		var rec records.Leader
		must(wire.Unmarshal(it.Value, &rec))
		if rec.Node == c.name && rec.Boot != uint64(c.incarnation) {
			sim.kvStore.RevokeLease(it.Lease) // left by its own earlier process
		}
		return
	}
	c.storeLease = sim.kvStore.GrantLease(sim.now, tuning.LeaderLeaseTTL)
	status, r := sim.kvStore.Commit(sim.now, wire.Txn{
		If:   []wire.Compare{{Key: records.LeaderKey}},
		Then: []wire.Op{{Set: records.LeaderKey, Value: records.Leader{Node: c.name, Boot: uint64(c.incarnation)}, Lease: &c.storeLease}},
	})
	if status != 200 {
		return
	}
	c.term, c.electedAt = r.Revision, sim.now
	boot := c.incarnation
	if sim.chance(0.1) {
		c.crash(time.Duration(sim.rng.IntN(500)) * time.Millisecond) // in the middle of an election
	}
	sim.after(sim.linkDelay(), func() {
		if c.incarnation != boot || !c.reachesStore() || !sim.kvStore.RenewLease(sim.now, c.storeLease) {
			return
		}
		all := func(prefix string) []wire.KeyValue { return sim.kvStore.Range(sim.now, prefix, "", 1000).Items }
		c.replica.Reset(all(records.LiveJobPrefix), sim.kvStore.Revision)
		c.replicaReadAt, c.leaderTerm, c.peerConfirmedAt = sim.now, c.term, map[*simController]time.Duration{}
		settings := sim.settings
		settings.ColdRestart = !slices.ContainsFunc(sim.controllers, func(peer *simController) bool { return (peer == c || c.reachesPeer(peer)) && c.survivedFailover(peer) })
		c.scheduler = scheduler.New(sim.schedulerNow(), settings, c.term, c.replica, all(records.BitmapPrefix), all(records.BatchPrefix), sim.machineTypes)
		c.scheduler.LeaseHeldUntil(sim.now + tuning.LeaderLeaseTTL)
		c.settle()
		for _, r := range sim.heldHeartbeats {
			sim.after(time.Duration(sim.rng.IntN(3000))*time.Millisecond, func() { c.heartbeat(&r) })
		}
		sim.heldHeartbeats = nil
	})
}

func (c *simController) watch() {
	if c.scheduler == nil || !c.reachesStore() {
		return
	}
	if c.watchInFlight {
		return // one watch at a time
	}
	changes, ok := c.sim.kvStore.Changes(c.sim.now, records.JobsPrefix, c.replica.Revision)
	if !ok {
		panic("the stand-in forgot changes")
	}
	asked, l, boot, late := c.sim.now, c.scheduler, c.incarnation, time.Duration(0)
	switch {
	case c.sim.now < c.sim.slowWatchUntil:
		late = c.sim.randomDuration(500, 2500)
	case c.sim.chance(0.02):
		late = c.sim.randomDuration(0, 600)
	default:
		c.applyWatch(changes, asked)
		return
	}
	// The answer takes its time: it tells what was when it was asked.
	c.watchInFlight = true
	c.sim.after(late, func() {
		c.afterPause(func() {
			if c.incarnation != boot {
				return
			}
			// An answer that comes after a refusal began is none: the watch waits then.
			if c.watchInFlight = false; c.scheduler == l && c.reachesStore() {
				c.applyWatch(changes, asked)
			}
		})
	})
}

// applyWatch takes a watch's answer to what was asked then.
func (c *simController) applyWatch(changes wire.WatchReply, asked time.Duration) {
	c.scheduler.AdvanceCancellationWatermark(c.watermark())
	c.replicaReadAt = max(c.replicaReadAt, asked)
	touched, bad := c.replica.Apply(changes)
	if len(bad) > 0 {
		panic(fmt.Sprint("unreadable records: ", bad))
	}
	c.scheduler.JobsReadAt(asked)
	c.scheduler.JobsChanged(c.sim.schedulerNow(), touched)
	c.settle()
}

func (c *simController) tick() {
	if c.scheduler == nil || !c.alive() || c.sim.now < c.pausedUntil {
		return
	}
	c.scheduler.Tick(c.sim.schedulerNow())
	if c.sim.rng.IntN(10) == 0 && !c.sim.cloudDown {
		c.scheduler.MachinesListed(c.sim.schedulerNow(), c.sim.machineList())
	}
	c.settle()
}

// machineListDelay is the lag of the cloud's list.
const machineListDelay = 5 * time.Second

// machineList is the machine list as it was a while ago, at times twice as long, so that one may
// be older than the one before: new machines are missing or still starting, gone ones are
// there, and one that died shows as running for 30 s.
func (sim *simulation) machineList() []wire.ListedMachine {
	lag := machineListDelay
	if sim.rng.IntN(4) == 0 {
		lag += time.Duration(sim.rng.Int64N(int64(machineListDelay)))
	}
	at := sim.now - lag
	var out []wire.ListedMachine
	for _, name := range sim.machineNames {
		worker, t := sim.workers[name], sim.lifecycles[name]
		if worker.Terminated && t.removedAt == 0 && t.diedAt == 0 {
			t.diedAt = sim.now // noticed now
		}
		if t.provisionedAt > max(at, 0) || t.removedAt > 0 && t.removedAt <= at {
			continue
		}
		state := wire.MachineRunning
		switch {
		case t.upAt > max(at, 0):
			state = wire.MachineStarting
		case t.diedAt > 0 && t.diedAt+30*time.Second <= at:
			state = wire.MachineFailed
		}
		out = append(out, wire.ListedMachine{Name: name, Address: worker.Address, Type: worker.Type, Zone: worker.Zone, Spot: worker.Spot, State: state, AgeS: max(0, at-t.provisionedAt).Seconds()})
	}
	return out
}

// removeMachine ends a machine that is deleted or taken.
func (sim *simulation) removeMachine(name string) {
	if t := sim.lifecycles[name]; t.removedAt == 0 {
		t.removedAt = sim.now
	}
	sim.workers[name].Terminate()
}

func (c *simController) heartbeat(report *wire.Heartbeat) (wire.HeartbeatReply, bool) {
	forwarded := false // on to the leader
	for _, peer := range c.sim.controllers {
		forwarded = forwarded || c.scheduler == nil && peer.scheduler != nil && c.reachesPeer(peer)
	}
	if c.scheduler == nil && c.alive() && !forwarded && c.leaderTerm != 0 && scheduler.TermOf(report.FencingToken) == c.leaderTerm {
		// A node that is cut off keeps workers for a while: node.KeepaliveBound.
		return wire.HeartbeatReply{FencingToken: report.FencingToken}, c.sim.now-c.leaderWatermark < c.keepaliveLimit()
	}
	if c.scheduler != nil && c.sim.now-c.watermark() >= c.keepaliveLimit() && c.sim.disabled != keepaliveBoundByWatermark {
		c.stepDown()
	}
	if c.scheduler == nil || !c.alive() {
		return wire.HeartbeatReply{}, false
	}
	reply, ok := c.scheduler.Heartbeat(c.sim.schedulerNow(), report)
	if c.sim.decisions != nil {
		c.sim.decisions.addReply(c.sim.now, c.name, report.Machine, reply, ok)
	}
	c.settle()
	return reply, ok
}

// settle settles the leader and carries out what it decided.
func (c *simController) settle() {
	sim, sched := c.sim, c.scheduler
	if sched == nil {
		return
	}
	sched.Settle(sim.schedulerNow())
	if sim.settleCount++; sim.settleCount%sim.size.auditEvery == 0 {
		if err := sched.Audit(); err != nil {
			panic(fmt.Sprintf("%v: %v", sim.now, err))
		}
	}
	effects := sched.TakeEffects()
	if sim.decisions != nil {
		sim.decisions.addEffects(sim.now, c.name, effects)
	}
	if sim.traceLogs {
		for _, line := range effects.Log {
			fmt.Println(sim.now, c.name, line.Msg, line.Args)
		}
		if effects.Resign != "" {
			fmt.Println(sim.now, c.name, "resigns:", effects.Resign)
		}
	}
	resume := func(f func()) {
		c.afterPause(func() {
			if c.scheduler == sched && c.alive() {
				f()
				c.settle()
			}
		})
	}
	for _, effect := range effects.Commits {
		c.commit(effect, resume)
	}
	for _, effect := range effects.DirectCalls {
		c.callWorker(effect, resume)
	}
	for _, request := range effects.Provision {
		sim.after(sim.linkDelay(), func() {
			if sim.cloudDown {
				resume(func() {
					sched.Provisioned(sim.schedulerNow(), request.Request.RequestID, scheduler.ProvisionRefused, nil)
				})
				return
			}
			carryOut := func() []string {
				names, again := sim.provisioned[request.Request.RequestID]
				if again {
					return names
				}
				// As at a cloud, idle machines of one zone take no room in another:
				// else a job that needs both would wait for what never comes.
				live := 0
				for name, wk := range sim.workers {
					if sim.lifecycles[name].removedAt == 0 && !wk.Terminated && wk.Zone == request.Request.Zone && wk.Spot == request.Request.Spot {
						live++
					}
				}
				for i := 0; i < request.Request.Count && live < sim.size.maxPerKind; i++ {
					live++
					for _, t := range sim.machineTypes {
						if t.Name == request.Request.Type {
							names = append(names, sim.bootMachine(t, request.Request.Zone, request.Request.Spot))
						}
					}
				}
				if len(names) > 0 {
					sim.provisioned[request.Request.RequestID] = names // after a refusal the same may be asked again
				}
				return names
			}
			if sim.chance(0.05) {
				// No answer, and it is carried out late, when nobody expects it.
				sim.after(time.Duration(sim.rng.IntN(40_000))*time.Millisecond, func() { carryOut() })
				sim.after(2*time.Second, func() {
					resume(func() {
						sched.Provisioned(sim.schedulerNow(), request.Request.RequestID, scheduler.ProvisionUnknown, nil)
					})
				})
				return
			}
			names := carryOut()
			result := scheduler.ProvisionDone
			if len(names) == 0 {
				result = scheduler.ProvisionNoCapacity
			}
			if sim.chance(0.1) {
				result, names = scheduler.ProvisionUnknown, nil
			}
			// The first reports of machines that are up at once come before the answer.
			sim.after(sim.linkDelay(), func() {
				resume(func() { sched.Provisioned(sim.schedulerNow(), request.Request.RequestID, result, names) })
			})
		})
	}
	for _, names := range effects.Release {
		sim.after(sim.linkDelay(), func() {
			if sim.cloudDown {
				resume(func() { sched.Released(sim.schedulerNow(), names, scheduler.ReleaseRefused) })
				return
			}
			if sim.now < sim.cloudUnresponsiveUntil {
				sim.after(tuning.CloudTimeout, func() { resume(func() { sched.Released(sim.schedulerNow(), names, scheduler.ReleaseUnknown) }) })
				return
			}
			kill := func() {
				for _, name := range names {
					sim.removeMachine(name)
				}
			}
			result := scheduler.ReleaseDone
			switch {
			case sim.cloudFakesReleases:
			case sim.now < sim.releasesDelayedUntil:
				// Held back with the answers, and carried out when that ends.
				sim.after(sim.releasesDelayedUntil-sim.now+sim.linkDelay(), kill)
				sim.after(2*time.Second, func() { resume(func() { sched.Released(sim.schedulerNow(), names, scheduler.ReleaseUnknown) }) })
				return
			case sim.chance(0.1): // no answer, and it is carried out late
				result = scheduler.ReleaseUnknown
				sim.after(time.Duration(sim.rng.IntN(15_000))*time.Millisecond, kill)
			default:
				kill()
				if sim.chance(0.1) {
					result = scheduler.ReleaseUnknown
				}
			}
			resume(func() { sched.Released(sim.schedulerNow(), names, result) })
		})
	}
	if effects.Resign != "" && c.scheduler == sched {
		c.stepDown()
		if c.reachesStore() {
			sim.kvStore.RevokeLease(c.storeLease)
		}
	}
}

func (c *simController) commit(commit scheduler.Commit, resume func(func())) {
	sim, sched := c.sim, c.scheduler
	sim.after(sim.linkDelay()+sim.randomDelay(sim.maxWriteDelayMS), func() {
		done := func(result scheduler.CommitResult, rev uint64, failed []string) {
			resume(func() { sched.CommitDone(sim.schedulerNow(), commit.ID, result, rev, failed) })
		}
		if !c.reachesStore() {
			done(scheduler.CommitRefused, 0, nil)
			return
		}
		if sim.changesBySecond != nil {
			sim.changesBySecond[sim.now/time.Second] += len(commit.Txn.Then)
		}
		if !sim.acceptsWrites(len(commit.Txn.Then)) {
			sim.refusedTransactions++
			done(scheduler.CommitRefused, 0, nil)
			return
		}
		if sim.chance(sim.lossRate) {
			// No answer: carried out now, later, or not at all.
			switch sim.rng.IntN(3) {
			case 0:
				sim.kvStore.Commit(sim.now, commit.Txn)
			case 1:
				sim.commitLate(commit.Txn)
			}
			sim.after(time.Second, func() { done(scheduler.CommitUnknown, 0, nil) })
			return
		}
		status, r := sim.kvStore.Commit(sim.now, commit.Txn)
		if sim.chance(sim.duplicateRate) {
			// A repeat of a request that was carried out.
			sim.after(time.Duration(sim.rng.IntN(20000))*time.Millisecond, func() { sim.kvStore.Commit(sim.now, commit.Txn) })
		}
		sim.after(sim.linkDelay(), func() {
			switch status {
			case 200:
				done(scheduler.CommitDone, r.Revision, nil)
			case 409:
				done(scheduler.CommitConflict, 0, r.FailedKeys)
			case 429:
				done(scheduler.CommitRefused, 0, nil)
			default:
				panic("malformed transaction: " + r.Error)
			}
		})
	})
}

func (c *simController) callWorker(call scheduler.DirectCall, resume func(func())) {
	sim, sched := c.sim, c.scheduler
	sim.directCalls++
	finished := false
	finish := func(result scheduler.CallResult, report *wire.Heartbeat) {
		if finished {
			return
		}
		finished = true
		resume(func() { sched.CallDone(sim.schedulerNow(), call.ID, result, report) })
	}
	for _, d := range sim.deliveries(call.Machine, c.name) {
		sim.after(d+sim.randomDelay(sim.maxCallDelayMS), func() {
			worker := sim.workers[call.Machine]
			if worker.Terminated || sim.unreachableUntil[call.Machine] > sim.now || sim.lifecycles[call.Machine].upAt > sim.now {
				return
			}
			var execute func()
			execute = func() {
				if until := sim.hungUntil[call.Machine]; until > sim.now {
					// It takes up what came meanwhile once it goes on.
					sim.after(until-sim.now, func() {
						if !worker.Terminated {
							execute()
						}
					})
					return
				}
				status, report := worker.HandleCommands(sim.now, call.Body)
				result := scheduler.CallExecuted
				if status == 409 {
					result = scheduler.CallRefused
				}
				for _, d := range sim.deliveries(call.Machine, c.name) {
					sim.after(d+sim.randomDelay(sim.maxCallDelayMS), func() { finish(result, &report) })
				}
			}
			execute()
		})
	}
	sim.after(1500*time.Millisecond, func() { finish(scheduler.CallLost, nil) })
}

// servingController is a node that users may come to, or nil if none can serve them.
func (sim *simulation) servingController() *simController {
	at := sim.rng.IntN(len(sim.controllers))
	for i := range sim.controllers {
		if c := sim.controllers[(at+i)%len(sim.controllers)]; c.reachesStore() {
			return c
		}
	}
	return nil
}

// commitLate carries a transaction out seconds later, after newer ones.
func (sim *simulation) commitLate(transaction wire.Txn) {
	sim.after(time.Duration(2000+sim.rng.IntN(10_000))*time.Millisecond, func() { sim.kvStore.Commit(sim.now, transaction) })
}

// commitForUser runs a node's transaction for a user. It may get no answer, and be carried
// out all the same, then or later; the user comes again, by again.
func (sim *simulation) commitForUser(transaction wire.Txn, again func()) (status int) {
	if !sim.acceptsWrites(len(transaction.Then)) {
		sim.after(time.Second, again) // refused, with Retry-After
		return 0
	}
	if !sim.chance(sim.lossRate) {
		if status, _ = sim.kvStore.Commit(sim.now, transaction); status == 429 {
			sim.after(time.Second, again)
			return 0
		}
		return status
	}
	switch sim.rng.IntN(3) {
	case 0:
		sim.kvStore.Commit(sim.now, transaction)
	case 1:
		sim.commitLate(transaction)
	}
	sim.after(2*time.Second, again)
	return 0
}

// submit stores a job as a node does for a user, who comes again until it is accepted.
func (sim *simulation) submit(j *wire.Job) {
	j.CreatedAtMilli = sim.now.Milliseconds()
	sim.checker.AddJob(j)
	var attempt func()
	attempt = func() {
		if sim.servingController() == nil {
			sim.after(2*time.Second, attempt)
			return
		}
		status := sim.commitForUser(wire.Txn{
			If:   []wire.Compare{{Key: records.JobKey(j.ID)}, {Key: records.EndedJobKey(j.ID)}},
			Then: []wire.Op{{Set: records.JobKey(j.ID), Value: records.Job{Job: *j}}},
		}, attempt)
		if status != 0 {
			sim.jobs = append(sim.jobs, j)
			if sim.acceptedAt != nil {
				sim.acceptedAt[j.ID] = sim.now
			}
		}
		if status == 200 {
			sim.checker.StateConfirmed(sim.now, j.ID, wire.JobPending)
		}
	}
	attempt()
}

// pollJob asks for a job's state as a node tells it; empty: no node can.
func (sim *simulation) pollJob(id string) string {
	c := sim.servingController()
	if c != nil {
		sim.checker.PollAnswered(sim.now, id)
	} else {
		sim.checker.PollFailed(sim.now, id)
	}
	if c == nil {
		return ""
	}
	state := ""
	if it := sim.kvStore.Get(sim.now, records.EndedJobKey(id)); it.ModRevision != 0 {
		var rec records.EndedJob
		must(wire.Unmarshal(it.Value, &rec))
		state = rec.State
	} else if it := sim.kvStore.Get(sim.now, records.JobKey(id)); it.ModRevision != 0 {
		rec, err := records.DecodeJob(it)
		must(err)
		state = wire.JobPending
		if rec.Cancelled {
			state = wire.JobCancelled
			c.confirmCancellation(id)
		}
	}
	sim.checker.StateConfirmed(sim.now, id, state)
	return state
}

// confirmCancellation notes that a user is told here that a job is cancelled.
func (c *simController) confirmCancellation(id string) {
	if !slices.Contains(c.confirmedCancellations, id) {
		c.confirmedCancellations = append(c.confirmedCancellations, id)
	}
	if c.scheduler != nil {
		c.scheduler.AdvanceCancellationWatermark(c.watermark())
		c.scheduler.Cancelled(c.sim.schedulerNow(), []string{id})
		c.settle()
	}
}

// cancel asks for a job's cancellation until it gets an answer.
func (sim *simulation) cancel(id string) {
	sim.checker.CancelRequested(id)
	if c := sim.servingController(); c != nil {
		sim.cancelAt(c, id)
		return
	}
	sim.after(2*time.Second, func() { sim.cancel(id) })
}

// cancelAt asks a node, and another one if that gives no answer.
func (sim *simulation) cancelAt(c *simController, id string) {
	sim.checker.CancelRequested(id)
	again := func() { sim.cancel(id) }
	it := sim.kvStore.Get(sim.now, records.JobKey(id))
	if it.ModRevision == 0 {
		if sim.kvStore.Get(sim.now, records.EndedJobKey(id)).ModRevision == 0 {
			sim.after(2*time.Second, again) // not accepted yet
		}
		return
	}
	rec, err := records.DecodeJob(it)
	must(err)
	if !rec.Cancelled {
		rec.Cancelled = true
		switch sim.commitForUser(wire.Txn{
			If:   []wire.Compare{{Key: it.Key, ModRevision: it.ModRevision}},
			Then: []wire.Op{{Set: it.Key, Value: rec}},
		}, again) {
		case 0:
			return // no answer yet
		case 409:
			sim.after(time.Second, again)
			return
		}
	}
	c.confirmCancellation(id)
	sim.checker.StateConfirmed(sim.now, id, wire.JobCancelled)
}

// showFreeCapacity shows the checker what is free, when a world has had its troubles.
func (sim *simulation) showFreeCapacity() {
	if sim.faultsActive || sim.size.initialMachines > 100 {
		return
	}
	var free []simulator.FreeCapacity
	for _, name := range sim.machineNames {
		if wk := sim.workers[name]; !wk.Terminated && sim.lifecycles[name].upAt <= sim.now && !wk.InterruptionAnnounced() {
			free = append(free, wk.FreeCapacity())
		}
	}
	sim.checker.CheckWaiting(sim.now, free, func(id string) bool {
		for _, wk := range sim.workers {
			if wk.HasJob(id) {
				return true
			}
		}
		return false
	})
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// runUsers submit, cancel and poll jobs of all kinds for the given time.
func (sim *simulation) runUsers(until time.Duration) {
	submitted := 0
	sim.every(2*time.Second, func() {
		if sim.now > until {
			return
		}
		submitted++
		j := &wire.Job{ID: fmt.Sprintf("run-%06d", submitted), Class: "c", Team: []string{"red", "blue"}[sim.rng.IntN(2)],
			Shape: wire.ShapeArray, Priority: []string{wire.PriorityProduction, wire.PriorityUrgent, wire.PriorityNormal, wire.PriorityIdle}[sim.rng.IntN(4)],
			Tasks: 1 + sim.rng.IntN(8), CPUs: float64(1 + sim.rng.IntN(4)), MemoryGB: 2,
			Image: fmt.Sprintf("img-%d", sim.rng.IntN(4)), ImageGB: 1, Spot: sim.rng.IntN(2) == 0, EstimatedRunS: 8,
			SameZone: sim.rng.IntN(5) == 0, SpreadZones: sim.rng.IntN(5) == 0}
		if j.SameZone {
			j.SpreadZones = false
		}
		if sim.rng.IntN(6) == 0 {
			j.Shape, j.Tasks, j.EstimatedRunS = wire.ShapeService, 1+sim.rng.IntN(3), 0
			id := j.ID
			sim.after(time.Duration(10+sim.rng.IntN(60))*time.Second, func() { sim.cancel(id) })
		}
		if j.Shape == wire.ShapeArray && sim.rng.IntN(6) == 0 {
			j.Shape, j.Tasks = wire.ShapeGang, 1+sim.rng.IntN(4)
		}
		if sim.rng.IntN(5) == 0 {
			j.CheckpointIntervalS, j.CheckpointSaveS = 2, 3
		}
		if sim.rng.IntN(3) == 0 {
			due := float64(20 + sim.rng.IntN(60))
			j.DeadlineS = &due
		}
		if sim.rng.IntN(8) == 0 {
			id := j.ID
			sim.after(time.Duration(sim.rng.IntN(20))*time.Second, func() { sim.cancel(id) })
		}
		if j.Shape == wire.ShapeArray && sim.rng.IntN(4) == 0 {
			sim.cancelNearCompletion(j)
		}
		sim.submit(j)
	})
	sim.every(time.Second, func() {
		for _, j := range sim.jobs {
			sim.pollJob(j.ID)
		}
	})
}

// cancelNearCompletion cancels a job around the moment at which its last task completes: it is
// done or cancelled, whichever comes first, and stays that.
func (sim *simulation) cancelNearCompletion(j *wire.Job) {
	for i := range j.Tasks {
		if !sim.checker.IsCompleted(wire.TaskName(j.ID, i)) {
			sim.after(100*time.Millisecond, func() { sim.cancelNearCompletion(j) })
			return
		}
	}
	sim.after(time.Duration(sim.rng.IntN(1500))*time.Millisecond, func() { sim.cancel(j.ID) })
}

// injectFaults brings crashes, cuts, outages and refusals until the given time.
func (sim *simulation) injectFaults(until time.Duration) {
	sim.every(8*time.Second, func() {
		if sim.now > until {
			return
		}
		controller := sim.controllers[sim.rng.IntN(len(sim.controllers))]
		machine := sim.machineNames[sim.rng.IntN(len(sim.machineNames))]
		duration := time.Duration(1+sim.rng.IntN(20)) * time.Second
		switch sim.rng.IntN(21) {
		case 18:
			sim.heartbeatsBlockedUntil[machine] = sim.now + 2*duration
		case 19:
			// The cloud takes a machine, most with a notice.
			if wk := sim.workers[machine]; wk.Spot && !wk.Terminated {
				notice := time.Duration(0)
				if sim.rng.IntN(3) > 0 {
					notice = duration
					wk.AnnounceInterruption(sim.now + notice)
				}
				sim.after(notice, func() { sim.removeMachine(machine) })
			}
		case 20:
			if wk := sim.workers[machine]; sim.rng.IntN(2) == 0 {
				wk.Terminate() // it dies, and shows as running for a while
			}
		case 13, 14:
			// A process stands still while its clocks run on, mostly the leader's.
			for _, c := range sim.controllers {
				if c.scheduler != nil && sim.rng.IntN(4) > 0 {
					controller = c
				}
			}
			controller.pausedUntil = sim.now + []time.Duration{duration / 4, 2 * duration}[sim.rng.IntN(2)]
		case 15:
			sim.hungUntil[machine] = sim.now + duration
		case 16, 17:
			// The state service refuses the leader alone, then everybody for
			// longer than a cancellation has, while users cancel.
			alone := time.Duration(sim.rng.IntN(4000)) * time.Millisecond
			for _, c := range sim.controllers {
				if c.scheduler != nil {
					c.refusedUntil = sim.now + alone
				}
			}
			if sim.rng.IntN(2) == 0 && sim.now+90*time.Second < until {
				sim.after(alone, func() { sim.kvStore.SetUnavailable(sim.now, true) })
				sim.after(alone+sim.size.cancellationBound+duration, func() { sim.kvStore.SetUnavailable(sim.now, false) })
			}
		case 11, 12:
			// Two zones are apart, or one is cut off from everything.
			z := []string{"a", "b"}[sim.rng.IntN(2)]
			sim.zonePartitionedUntil[z] = sim.now + 2*duration
			if sim.rng.IntN(2) == 0 {
				for _, c := range sim.controllers {
					if sim.zoneOf(c.name) == z {
						c.partitionedUntil = sim.now + 2*duration
					}
				}
			}
		case 8, 9:
			sim.unreachableUntil[machine] = sim.now + 2*duration
		case 10:
			// Whoever leads loses the state service and its peers, not its workers.
			for _, c := range sim.controllers {
				if c.scheduler != nil {
					c.partitionedUntil = sim.now + 2*duration
				}
			}
		case 0:
			controller.crash(time.Duration(sim.rng.IntN(4000)) * time.Millisecond)
		case 1:
			for _, c := range sim.controllers {
				c.crash(time.Duration(sim.rng.IntN(4000)) * time.Millisecond)
			}
		case 2:
			controller.refusedUntil = sim.now + duration
		case 3:
			sim.partitionedUntil[controller.name] = sim.now + duration
		case 4, 5:
			sim.partitionedUntil[machine] = sim.now + duration
		case 6:
			sim.kvStore.SetUnavailable(sim.now, true)
			sim.after(duration/2, func() { sim.kvStore.SetUnavailable(sim.now, false) })
		case 7:
			if sim.rng.IntN(2) == 0 {
				sim.releasesDelayedUntil = sim.now + 4*duration
				break
			}
			sim.cloudDown = true
			sim.after(duration, func() { sim.cloudDown = false })
		}
	})
	sim.after(until, func() { sim.faultsActive = false })
	// What has begun before ends within this time.
	sim.after(until+time.Minute, func() { sim.checker.FaultsEnded(sim.now) })
}
