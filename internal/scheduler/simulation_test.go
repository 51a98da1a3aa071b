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
// simulated services for everything else. Messages are late, lost, duplicated and delayed,
// and all of it follows from the seed. The files simulation_*_test.go have a part each:
// the network, controllers, calls, confirmations, the cloud, workers, users, faults.
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
	workers      map[string]*simulator.Worker // by machine
	machineNames []string
	lifecycles   map[string]*machineLifecycle // by machine
	provisioned  map[string][]string          // machines by provisioning request
	jobs         []*wire.Job                  // that were accepted

	advancedAt  time.Duration // when all workers were last brought up to date
	settleCount int           // how often leaders settled
	directCalls int           // direct calls made

	faultsActive bool // faults occur by chance
	lossRate     float64
	delayRate    float64
	// duplicateRate is the share of messages and transactions that take effect twice.
	duplicateRate     float64
	heartbeatCopyRate float64 // of heartbeats, seconds to well over a lease late
	maxWriteDelayMS   int     // by which a leader's transaction may take longer
	maxCallDelayMS    int     // by which a direct call and its answer may each take longer
	maxLinkDelay      time.Duration

	faultyMachines         map[string]bool          // on which some tasks fail
	partitionedUntil       map[string]time.Duration // machine or controller, from all others
	unreachableUntil       map[string]time.Duration // machine that receives nothing
	hungUntil              map[string]time.Duration // machine that does nothing
	heartbeatsBlockedUntil map[string]time.Duration // machine that sends no heartbeats, but answers direct calls
	zonePartitionedUntil   map[string]time.Duration // zone, from the others
	heldHeartbeats         []wire.Heartbeat         // copies that arrive at the next leader

	cloudFakesReleases     bool // the cloud confirms releases without carrying them out
	cloudDown              bool
	cloudUnresponsiveUntil time.Duration // it neither answers nor carries out releases
	releasesDelayedUntil   time.Duration // requests for releases are delayed on their way
	slowWatchUntil         time.Duration // the key-value store answers watches after seconds

	writeRate           float64 // changes per second that the key-value store takes; 0: any number
	writeBudget         float64 // changes that it takes now, as of budgetRefilledAt
	budgetRefilledAt    time.Duration
	refusedTransactions int // of leaders, that were over it

	disabled        safeguard
	traceLogs       bool                     // print what the leaders log
	decisions       *decisionDigest          // of all leaders; nil: not taken
	changesBySecond []int                    // that leaders asked for; nil: not counted
	acceptedAt      map[string]time.Duration // of jobs; nil: not noted
}

// safeguard is what a simulation can do without, to show that its rule checker needs it.
type safeguard int

const (
	noSafeguard               safeguard = iota
	keepaliveBoundByWatermark           // leaders answer workers only while they know all cancellations
	peerCancellationLists               // controllers tell each other of confirmed cancellations
	enforcedWatermark                   // keepalive counts from when cancellations are enforced
	watermarkAtReading                  // and not from when an answer is read
)

// simulationSize is what makes a simulation small or large.
type simulationSize struct {
	initialMachines   int
	maxPerKind        int           // machines of a kind in a zone
	heartbeatInterval time.Duration // of the workers
	cancellationBound time.Duration
	teamCPUs          float64       // quota limit of a team
	writeRate         float64       // changes per second that the key-value store takes
	advanceEvery      time.Duration // in which all workers are brought up to date
	auditEvery        int           // calls of Settle between two audits of the leader's accounting
}

var (
	smallSimulation = simulationSize{
		initialMachines: 4, maxPerKind: 3, heartbeatInterval: 1500 * time.Millisecond, cancellationBound: 40 * time.Second,
		teamCPUs: 24, writeRate: 40, auditEvery: 1,
	}
	fleetSimulation = simulationSize{
		initialMachines: 2400, maxPerKind: 1300, heartbeatInterval: 5 * time.Second, cancellationBound: 40 * time.Second,
		teamCPUs: 14_000, writeRate: 70, advanceEvery: 50 * time.Millisecond, auditEvery: 5000,
	}
)

const (
	simulatedControllers = 5
	// userWriteRate is what the key-value store takes for users, in changes per second, on
	// top of the rate that the leader keeps to.
	userWriteRate = 10
)

func newSimulation(seed uint64) *simulation { return newSimulationOf(seed, smallSimulation) }

func newSimulationOf(seed uint64, size simulationSize) *simulation {
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
	sim.kvStore.WriteRate = size.writeRate + userWriteRate
	sim.checker = simulator.NewRuleChecker(map[string]float64{"red": size.teamCPUs, "blue": size.teamCPUs}, size.cancellationBound)
	sim.checker.SetMachineTypes(sim.machineTypes)
	sim.settings = simulationSettings(size, sim.workerLease)
	for i := range simulatedControllers {
		sim.addController(fmt.Sprintf("node-%d", i))
	}
	for i := range size.initialMachines {
		sim.bootMachineIn(0, sim.machineTypes[i%2], []string{"a", "b"}[i/2%2], false)
	}
	sim.every(time.Second, func() { sim.checker.CheckCancelled(sim.now) })
	sim.every(3*time.Second, sim.showFreeCapacity)
	return sim
}

func simulationSettings(size simulationSize, workerLease time.Duration) scheduler.Settings {
	quota := scheduler.TeamQuota{CPUs: size.teamCPUs / 2, MaxCPUs: size.teamCPUs}
	return scheduler.Settings{
		Teams:             map[string]scheduler.TeamQuota{"red": quota, "blue": quota},
		HeartbeatInterval: size.heartbeatInterval, WorkerLease: workerLease, CancellationBound: size.cancellationBound,
		MaxTransactionOps: 12, MaxValueBytes: 4096, WriteRate: size.writeRate,
		Policy: policy.Defaults(policy.CostInsensitive),
	}
}

func (sim *simulation) schedulerNow() scheduler.Now {
	return scheduler.Now{Mono: sim.now, Wall: sim.now.Milliseconds()}
}

// after runs f once, after the given time.
func (sim *simulation) after(d time.Duration, f func()) { sim.queue.Add(sim.now+d, f) }

// every runs f again and again, with intervals that vary by a quarter.
func (sim *simulation) every(d time.Duration, f func()) {
	var again func()
	again = func() {
		f()
		sim.after(d*3/4+time.Duration(sim.rng.Int64N(int64(d/2)+1)), again)
	}
	sim.after(time.Duration(sim.rng.Int64N(int64(d)+1)), again)
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
		// Workers are also brought up to date whenever something reaches them, so that a
		// large simulation need not visit each of them with every event.
		if sim.now-sim.advancedAt >= sim.size.advanceEvery {
			sim.advancedAt = sim.now
			sim.advanceWorkers()
		}
	}
	sim.now = until
}

// chance is true with the given probability while faults are active.
func (sim *simulation) chance(p float64) bool { return sim.faultsActive && sim.rng.Float64() < p }

// randomDelay draws up to that many milliseconds.
func (sim *simulation) randomDelay(maxMS int) time.Duration {
	if maxMS == 0 {
		return 0
	}
	return sim.randomDuration(0, maxMS)
}

// showFreeCapacity shows the rule checker what is free once faults are over.
func (sim *simulation) showFreeCapacity() {
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
