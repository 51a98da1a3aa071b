package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/eventqueue"
	"github.com/yarrowgap/yarrowgap/internal/policy"
	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/wire"
)

// simulation is a simulated deployment: five controllers that run the scheduler, and
// simulated services for everything else. Messages are lost, duplicated and delayed. The seed
// determines every event. Each of the files simulation_*_test.go implements one part: the
// network, controllers, calls, confirmations, the cloud, workers, users, faults.
type simulation struct {
	now   time.Duration
	queue eventqueue.Queue
	rng   *rand.Rand

	size         simulationSize
	settings     scheduler.Settings
	workerLease  time.Duration
	machineTypes []wire.MachineType

	kvStore      *simulator.KVStore
	checker      *simulator.RuleChecker
	controllers  []*simController
	workers      map[string]*simulator.Worker // by machine name
	machineNames []string
	lifecycles   map[string]*machineLifecycle // by machine name
	provisioned  map[string][]string          // names of the provisioned machines, by request ID
	jobs         []*wire.Job                  // accepted jobs

	workersAdvancedAt time.Duration // when all workers were last advanced to the current time
	settleCount       int           // calls of Settle by all leaders
	directCalls       int           // direct calls sent by all leaders

	faultsActive bool    // random faults occur
	lossRate     float64 // share of messages and transactions that are lost or lose their answer
	delayRate    float64 // share of messages that are delayed by up to 25 s, a few by minutes
	// duplicateRate is the share of messages and transactions that take effect twice.
	duplicateRate float64
	// heartbeatCopyRate is the share of heartbeats of which a copy arrives late: by seconds, by
	// more than a worker lease, or at the next leader.
	heartbeatCopyRate float64
	maxWriteDelayMS   int           // most that a leader's transaction is delayed
	maxCallDelayMS    int           // most that a direct call and its answer are each delayed
	maxLinkDelay      time.Duration // most that is added to the delay of every message

	faultyMachines          map[string]bool          // machines on which some tasks fail
	partitionedUntil        map[string]time.Duration // by machine or controller: it reaches no other
	unreachableUntil        map[string]time.Duration // by machine: it receives nothing
	hungUntil               map[string]time.Duration // by machine: it executes nothing
	heartbeatsBlockedUntil  map[string]time.Duration // by machine: its heartbeats are dropped, not direct calls
	zonePartitionedUntil    map[string]time.Duration // by zone: it reaches no other zone
	heartbeatsForNextLeader []wire.Heartbeat         // copies that arrive at the next leader

	cloudIgnoresReleases   bool // the cloud confirms releases without carrying them out
	cloudDown              bool
	cloudUnresponsiveUntil time.Duration // release requests are neither answered nor carried out
	releasesDelayedUntil   time.Duration // release requests are delayed in transit
	slowWatchUntil         time.Duration // watches are answered after 0.5 to 2.5 s

	writeRate           float64 // changes per second that the key-value store accepts; 0: unlimited
	writeBudget         float64 // changes that the store accepts at once, as of budgetRefilledAt
	budgetRefilledAt    time.Duration
	refusedTransactions int // leaders' transactions that exceeded writeBudget
	// limitsLowered is set once the store has lower limits than the settings say.
	limitsLowered bool

	copier          *messageCopier // delivers late copies of starts; nil: there are none
	disabled        safeguard
	traceLogs       bool                     // print the leaders' log lines
	decisions       *decisionDigest          // digest of all leaders' decisions; nil: not computed
	changesBySecond []int                    // changes sent by leaders, by second; nil: not counted
	acceptedAt      map[string]time.Duration // by job ID; nil: not recorded
}

// safeguard is a protection that a simulation can disable, to show that the rule checker then
// finds violations.
type safeguard int

const (
	noSafeguard               safeguard = iota
	keepaliveBoundByWatermark           // leaders renew leases only while they know all recent cancellations
	peerCancellationLists               // controllers exchange the cancellations that they have confirmed
	// keepaliveFromEnforcement counts keepalive from the time up to which cancellations are
	// enforced, not from the time up to which they are known.
	keepaliveFromEnforcement
	// keepaliveFromWatermark counts keepalive from the leader's watermark, not from the time at
	// which a peer reads it.
	keepaliveFromWatermark
)

// simulationSize has the parameters that differ between a small and a large simulation.
type simulationSize struct {
	initialMachines       int
	maxMachinesPerKind    int           // live spot machines in a zone, and live ordinary ones
	heartbeatInterval     time.Duration // interval of the workers' heartbeats
	cancellationBound     time.Duration // within which the tasks of a cancelled job must be gone
	maxTeamCPUs           float64       // quota limit of each team
	writeRate             float64       // the leader's limit, in changes per second
	workerAdvanceInterval time.Duration // least time between two advances of all workers
	settlesPerAudit       int           // calls of Settle between two audits of the leader's accounting
}

var (
	smallSimulation = simulationSize{
		initialMachines: 4, maxMachinesPerKind: 3, heartbeatInterval: 1500 * time.Millisecond, cancellationBound: 40 * time.Second,
		maxTeamCPUs: 24, writeRate: 40, settlesPerAudit: 1,
	}
	fleetSimulation = simulationSize{
		initialMachines: 2400, maxMachinesPerKind: 1300, heartbeatInterval: 5 * time.Second, cancellationBound: 40 * time.Second,
		maxTeamCPUs: 14_000, writeRate: 70, workerAdvanceInterval: 50 * time.Millisecond, settlesPerAudit: 5000,
	}
)

const (
	simulatedControllers = 5
	// userWriteRate is how many changes per second the key-value store accepts in addition to
	// the leader's write rate, for users' transactions.
	userWriteRate = 10
	// maxValueBytes is the key-value store's limit on values.
	maxValueBytes = 4096
)

func newSimulation(seed uint64) *simulation { return newSimulationWithSize(seed, smallSimulation) }

func newSimulationWithSize(seed uint64, size simulationSize) *simulation {
	sim := &simulation{
		size: size, rng: rand.New(rand.NewPCG(seed, 7)), workerLease: 12 * time.Second, faultsActive: true,
		machineTypes: []wire.MachineType{
			{Name: "small", CPUs: 8, MemoryGB: 32, CacheGB: 20, FetchGBPerS: 0.5, Price: 1, SpotPrice: 0.3, BootS: 5, Zones: []string{"a", "b"}},
			{Name: "large", CPUs: 16, MemoryGB: 64, CacheGB: 20, FetchGBPerS: 0.5, Price: 2, SpotPrice: 0.6, BootS: 5, Zones: []string{"a", "b"}},
		},
		kvStore: simulator.NewKVStore(12, 10000), workers: map[string]*simulator.Worker{}, lifecycles: map[string]*machineLifecycle{}, provisioned: map[string][]string{},
		faultyMachines: map[string]bool{}, partitionedUntil: map[string]time.Duration{}, unreachableUntil: map[string]time.Duration{},
		hungUntil: map[string]time.Duration{}, heartbeatsBlockedUntil: map[string]time.Duration{}, zonePartitionedUntil: map[string]time.Duration{},
	}
	sim.kvStore.WriteRate, sim.kvStore.MaxValueBytes = size.writeRate+userWriteRate, maxValueBytes
	sim.checker = simulator.NewRuleChecker(map[string]float64{"red": size.maxTeamCPUs, "blue": size.maxTeamCPUs}, size.cancellationBound)
	sim.checker.SetMachineTypes(sim.machineTypes)
	sim.settings = simulationSettings(size, sim.workerLease)
	for i := range simulatedControllers {
		sim.addController(fmt.Sprintf("node-%d", i))
	}
	for i := range size.initialMachines {
		sim.bootMachineAfter(0, sim.machineTypes[i%2], []string{"a", "b"}[i/2%2], false)
	}
	sim.every(time.Second, func() { sim.checker.CheckCancelled(sim.now) })
	sim.every(3*time.Second, sim.reportFreeCapacity)
	return sim
}

func simulationSettings(size simulationSize, workerLease time.Duration) scheduler.Settings {
	quota := scheduler.TeamQuota{CPUs: size.maxTeamCPUs / 2, MaxCPUs: size.maxTeamCPUs}
	return scheduler.Settings{
		Teams:             map[string]scheduler.TeamQuota{"red": quota, "blue": quota},
		HeartbeatInterval: size.heartbeatInterval, WorkerLease: workerLease, CancellationBound: size.cancellationBound,
		MaxTransactionOps: 12, MaxValueBytes: maxValueBytes, WriteRate: size.writeRate,
		Policy: policy.Defaults(policy.CostInsensitive),
	}
}

func (sim *simulation) schedulerNow() scheduler.Now {
	return scheduler.Now{Mono: sim.now, Wall: sim.now.Milliseconds()}
}

// after schedules f to run once, d from now.
func (sim *simulation) after(d time.Duration, f func()) { sim.queue.Add(sim.now+d, f) }

// every schedules f to run repeatedly, at intervals that vary by a quarter of d.
func (sim *simulation) every(d time.Duration, f func()) {
	var repeat func()
	repeat = func() {
		f()
		sim.after(d*3/4+time.Duration(sim.rng.Int64N(int64(d/2)+1)), repeat)
	}
	sim.after(time.Duration(sim.rng.Int64N(int64(d)+1)), repeat)
}

// run runs all events up to the given time.
func (sim *simulation) run(until time.Duration) {
	for {
		at, f, ok := sim.queue.Next(until)
		if !ok {
			break
		}
		sim.now = at
		f()
		// A worker also advances whenever it handles a message, so a large simulation does
		// not have to advance every worker after every event.
		if sim.now-sim.workersAdvancedAt >= sim.size.workerAdvanceInterval {
			sim.workersAdvancedAt = sim.now
			sim.advanceWorkers()
		}
	}
	sim.now = until
}

// chance is true with the given probability while faults are active.
func (sim *simulation) chance(p float64) bool { return sim.faultsActive && sim.rng.Float64() < p }

// randomDelay draws a delay of up to maxMS milliseconds.
func (sim *simulation) randomDelay(maxMS int) time.Duration {
	if maxMS == 0 {
		return 0
	}
	return sim.randomDuration(0, maxMS)
}

// reportFreeCapacity passes the free capacity of all machines to the rule checker, after the
// faults have ended and only in small simulations.
func (sim *simulation) reportFreeCapacity() {
	if sim.faultsActive || sim.size.initialMachines > 100 {
		return
	}
	var free []simulator.FreeCapacity
	for _, name := range sim.machineNames {
		if worker := sim.workers[name]; !worker.Terminated && sim.lifecycles[name].upAt <= sim.now && !worker.InterruptionAnnounced() {
			free = append(free, worker.FreeCapacity())
		}
	}
	sim.checker.CheckWaiting(sim.now, free, sim.jobIsOnAnyMachine)
}

func (sim *simulation) jobIsOnAnyMachine(id string) bool {
	for _, worker := range sim.workers {
		if worker.HasJob(id) {
			return true
		}
	}
	return false
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}
