package restartsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/eventqueue"
	"github.com/yarrowgap/yarrowgap/internal/policy"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Parameters of the simulated deployment.
const (
	heartbeatInterval      = 5 * time.Second
	workerLeaseDuration    = 30 * time.Second
	cancelGrace            = 60 * time.Second
	guaranteedStartWithin  = 5 * time.Second
	machineListInterval    = 2 * time.Second
	machineListLag         = 3 * time.Second
	bootTime               = 10 * time.Second
	maxMessageLatency      = 20 * time.Millisecond // one way
	leaderLeaseExtension   = time.Minute           // longer than the interval between ticks
	storeWritesPerSecond   = 100.0
	cloudRequestsPerSecond = 10.0
	maxTxnOps              = 12
	maxValueBytes          = 32 << 10
	maxWatchLogEntries     = 10000
	machineCPUs            = 8.0
	taskCPUs               = 2.0
	tasksPerJob            = 20
	imageCount             = 3
	teamCount              = 4
	teamGuaranteeCPUs      = 1e5 // more than the CPUs of all machines together
	teamLimitCPUs          = 1e6
	randomStream           = 3 // second seed word of the random generator, after the plan's seed
	controllerName         = "node"
	machineTypeName        = "box"
	machineTypeMemoryGB    = 64
	machineTypeCacheGB     = 50
	machineTypeFetchGBPerS = 5
)

// zones are the zones of the simulated cloud.
var zones = []string{"a", "b"}

// cluster is the simulated deployment with its only controller.
type cluster struct {
	now    time.Duration
	events eventqueue.Queue
	random *rand.Rand

	machineType       wire.MachineType
	kvStore           *simulator.KVStore
	checker           *simulator.RuleChecker
	machines          map[string]*machine
	machineNames      []string            // in order of provisioning
	machinesByRequest map[string][]string // names of the provisioned machines by request id

	settings  scheduler.Settings
	scheduler *scheduler.Scheduler // nil while no controller runs
	replica   *scheduler.Replica
	counts    counts
}

// newCluster returns a cluster with running machines and no controller.
func newCluster(plan Plan) *cluster {
	c := &cluster{
		random:            rand.New(rand.NewPCG(plan.Seed, randomStream)),
		machineType:       newMachineType(),
		kvStore:           simulator.NewKVStore(maxTxnOps, maxWatchLogEntries),
		checker:           simulator.NewRuleChecker(quotaLimits(), cancelGrace),
		machines:          map[string]*machine{},
		machinesByRequest: map[string][]string{},
		settings:          newSettings(plan),
		counts:            newCounts(),
	}
	for i := range plan.Machines {
		c.bootMachine(zones[i%len(zones)], 0)
	}
	c.every(tuning.TickInterval, c.tick)
	c.every(machineListInterval, c.sendMachineList)
	return c
}

func newMachineType() wire.MachineType {
	return wire.MachineType{
		Name: machineTypeName, CPUs: machineCPUs, MemoryGB: machineTypeMemoryGB, CacheGB: machineTypeCacheGB,
		FetchGBPerS: machineTypeFetchGBPerS, Price: 1, SpotPrice: 0.4, BootS: bootTime.Seconds(), Zones: zones,
	}
}

// teamName returns the team with the given number, modulo the number of teams. A job belongs to the
// team with the number of the job.
func teamName(number int) string { return fmt.Sprintf("team-%d", number%teamCount) }

func quotaLimits() map[string]float64 {
	limits := map[string]float64{unknownJobTeam: teamLimitCPUs}
	for team := range teamCount {
		limits[teamName(team)] = teamLimitCPUs
	}
	return limits
}

func newSettings(plan Plan) scheduler.Settings {
	teams := map[string]scheduler.TeamQuota{}
	for team := range teamCount {
		teams[teamName(team)] = scheduler.TeamQuota{CPUs: teamGuaranteeCPUs, MaxCPUs: teamLimitCPUs}
	}
	operatorSettings := policy.Defaults(policy.CostInsensitive)
	operatorSettings.HeadroomShare = 0
	operatorSettings.ReconcileRestarts = plan.Recovery
	return scheduler.Settings{
		Teams: teams, HeartbeatInterval: heartbeatInterval, WorkerLease: workerLeaseDuration, CancellationBound: cancelGrace,
		MaxTransactionOps: maxTxnOps, MaxValueBytes: maxValueBytes, WriteRate: storeWritesPerSecond, CloudRate: cloudRequestsPerSecond,
		CloudListLag: machineListLag, GuaranteedStartWithin: guaranteedStartWithin, Policy: operatorSettings,
	}
}

// after schedules an event to run once, after a delay.
func (c *cluster) after(delay time.Duration, event func()) { c.events.Add(c.now+delay, event) }

// every schedules an event to run repeatedly at an interval, the first time after one interval.
func (c *cluster) every(interval time.Duration, event func()) {
	c.after(interval, func() {
		event()
		c.every(interval, event)
	})
}

// runUntil runs the events up to a time and advances the simulated clock to it.
func (c *cluster) runUntil(until time.Duration) {
	for {
		at, event, ok := c.events.Next(until)
		if !ok {
			c.now = until
			return
		}
		c.now = at
		event()
	}
}

// randomLatency returns a random one-way latency of a message.
func (c *cluster) randomLatency() time.Duration { return c.randomUpTo(maxMessageLatency) }

// randomUpTo returns a random duration from 1 ns to maxDuration.
func (c *cluster) randomUpTo(maxDuration time.Duration) time.Duration {
	return time.Duration(1 + c.random.Int64N(int64(maxDuration)))
}

// randomAround returns a random duration that differs from d by at most deviation.
func (c *cluster) randomAround(d time.Duration, deviation time.Duration) time.Duration {
	return d - deviation + c.randomUpTo(2*deviation)
}

// submitTasks submits jobs with the given number of tasks in total. The jobs are numbered from
// firstJobNumber. It returns the number that follows the last job's.
func (c *cluster) submitTasks(firstJobNumber, tasks int) (nextJobNumber int) {
	nextJobNumber = firstJobNumber
	for ; tasks > 0; tasks -= tasksPerJob {
		c.submit(nextJobNumber, min(tasks, tasksPerJob))
		nextJobNumber++
	}
	return nextJobNumber
}

// submit writes the record of an accepted job to the key-value store, as a controller does when it
// accepts a submission.
func (c *cluster) submit(jobNumber, tasks int) {
	job := &wire.Job{
		ID: fmt.Sprintf("run-%06d", jobNumber), Class: "c", Team: teamName(jobNumber), Shape: wire.ShapeArray,
		Priority: wire.PriorityNormal, Tasks: tasks, CPUs: taskCPUs, MemoryGB: 4,
		Image: fmt.Sprintf("img-%d", jobNumber%imageCount), ImageGB: 1, EstimatedRunS: 3600, CreatedAtMilli: c.now.Milliseconds(),
	}
	c.checker.AddJob(job)
	c.kvStore.Commit(c.now, wire.Txn{Then: []wire.Op{{Set: records.JobKey(job.ID), Value: records.Job{Job: *job}}}})
}
