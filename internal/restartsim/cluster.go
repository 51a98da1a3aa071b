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

// The simulated deployment.
const (
	heartbeatInterval    = 5 * time.Second
	leaseDuration        = 30 * time.Second
	cancelGrace          = 60 * time.Second
	guaranteedStart      = 5 * time.Second
	listInterval         = 2 * time.Second
	listLag              = 3 * time.Second
	bootTime             = 10 * time.Second
	maxLatency           = 20 * time.Millisecond // of a message
	storeLeaseExtension  = time.Minute           // more than the time between two ticks
	writeRate            = 100.0
	cloudRate            = 10.0
	maxTxnOps            = 12
	maxValueBytes        = 32 << 10
	maxLogEntries        = 10000
	machineCPUs          = 8.0
	taskCPUs             = 2.0
	tasksPerJob          = 20
	imageCount           = 3
	teamCount            = 4
	teamGuaranteeCPUs    = 1e5 // more than all machines have
	teamLimitCPUs        = 1e6
	randomStream         = 3 // a stream of its own for each seed
	controllerName       = "node"
	machineTypeName      = "box"
	machineTypeMemoryGB  = 64
	machineTypeCacheGB   = 50
	machineTypeFetchGBPS = 5
)

// zones are the cloud's zones.
var zones = []string{"a", "b"}

// cluster is the simulated deployment with its one controller.
type cluster struct {
	now    time.Duration
	events eventqueue.Queue
	random *rand.Rand

	machineType       wire.MachineType
	kvStore           *simulator.KVStore
	checker           *simulator.RuleChecker
	machines          map[string]*machine
	machineNames      []string // in the order in which they were provisioned
	machinesByRequest map[string][]string

	settings  scheduler.Settings
	scheduler *scheduler.Scheduler // nil: no controller runs
	replica   *scheduler.Replica
	counts    counts
}

// newCluster makes a cluster whose machines run, without a controller.
func newCluster(plan Plan) *cluster {
	c := &cluster{
		random:            rand.New(rand.NewPCG(plan.Seed, randomStream)),
		machineType:       newMachineType(),
		kvStore:           simulator.NewKVStore(maxTxnOps, maxLogEntries),
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
	c.every(listInterval, c.sendMachineList)
	return c
}

func newMachineType() wire.MachineType {
	return wire.MachineType{
		Name: machineTypeName, CPUs: machineCPUs, MemoryGB: machineTypeMemoryGB, CacheGB: machineTypeCacheGB,
		FetchGBPerS: machineTypeFetchGBPS, Price: 1, SpotPrice: 0.4, BootS: bootTime.Seconds(), Zones: zones,
	}
}

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
	operators := policy.Defaults(policy.CostInsensitive)
	operators.HeadroomShare = 0
	operators.ReconcileRestarts = plan.Recovery
	return scheduler.Settings{
		Teams: teams, HeartbeatInterval: heartbeatInterval, WorkerLease: leaseDuration, CancellationBound: cancelGrace,
		MaxTransactionOps: maxTxnOps, MaxValueBytes: maxValueBytes, WriteRate: writeRate, CloudRate: cloudRate,
		CloudListLag: listLag, GuaranteedStartWithin: guaranteedStart, Policy: operators,
	}
}

// after schedules an event.
func (c *cluster) after(delay time.Duration, event func()) { c.events.Add(c.now+delay, event) }

// every schedules an event again and again.
func (c *cluster) every(interval time.Duration, event func()) {
	c.after(interval, func() {
		event()
		c.every(interval, event)
	})
}

// run carries out the events up to a time.
func (c *cluster) run(until time.Duration) {
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

// latency is how long a message travels.
func (c *cluster) latency() time.Duration { return c.randomUpTo(maxLatency) }

func (c *cluster) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(1 + c.random.Int64N(int64(d)))
}

// randomAround is a random duration within a part of d below and above it.
func (c *cluster) randomAround(d time.Duration, part time.Duration) time.Duration {
	return d - part + c.randomUpTo(2*part)
}

// submitTasks submits jobs with that many tasks, the first with the given number, and
// returns the number for the next job.
func (c *cluster) submitTasks(firstJob, tasks int) (nextJob int) {
	nextJob = firstJob
	for ; tasks > 0; tasks -= tasksPerJob {
		c.submit(nextJob, min(tasks, tasksPerJob))
		nextJob++
	}
	return nextJob
}

// submit records a job as accepted, as any controller does.
func (c *cluster) submit(number, tasks int) {
	job := &wire.Job{
		ID: fmt.Sprintf("run-%06d", number), Class: "c", Team: teamName(number), Shape: wire.ShapeArray,
		Priority: wire.PriorityNormal, Tasks: tasks, CPUs: taskCPUs, MemoryGB: 4,
		Image: fmt.Sprintf("img-%d", number%imageCount), ImageGB: 1, EstimatedRunS: 3600, CreatedAtMilli: c.now.Milliseconds(),
	}
	c.checker.AddJob(job)
	c.kvStore.Commit(c.now, wire.Txn{Then: []wire.Op{{Set: records.JobKey(job.ID), Value: records.Job{Job: *job}}}})
}
