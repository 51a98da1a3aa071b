package simulator

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// Settings of every simulated deployment.
const (
	maxTxnOps     = 12          // operations in one transaction of the key-value store
	maxValueBytes = 4 << 10     // size of a value of the key-value store, in JSON
	maxLogEntries = 10000       // changes that the key-value store keeps for watches
	cancelGrace   = time.Minute // how long tasks of a cancelled job may stay on machines, by default
)

// DeploymentConfig configures a deployment. The zero value has no machine types, teams or
// controllers.
type DeploymentConfig struct {
	MachineTypes      []wire.MachineType
	QuotaLimits       map[string]float64 // CPU limits by team
	Controllers       map[string]string  // addresses by controller name
	BootTime          time.Duration      // time from provisioning a machine to the start of its agent
	HeartbeatInterval time.Duration      // time between two heartbeats of a worker agent
	LeaseDuration     time.Duration      // duration of a worker's lease
	CancelGrace       time.Duration      // how long tasks of a cancelled job may stay; 0: a minute
}

// DefaultKVStoreLimits returns the limits of the key-value store of a new deployment. It takes any
// number of writes.
func DefaultKVStoreLimits() KVStoreLimits {
	return KVStoreLimits{MaxTxnOps: maxTxnOps, MaxValueBytes: maxValueBytes}
}

// Deployment serves a key-value store, a cloud, and an agent on each provisioned machine over
// HTTP, in real time.
type Deployment struct {
	config    DeploymentConfig
	startedAt time.Time

	mu         sync.Mutex // guards the fields below
	kvStore    *KVStore
	checker    *RuleChecker
	cloud      cloud
	workers    map[string]*Worker
	runTimes   map[string]time.Duration // run time of each task, by job id
	faults     injectedFaults
	operations *OperationCounter
}

// NewDeployment returns a deployment whose clock starts now. The caller serves its handlers, see
// KVStoreHandler and CloudHandler.
func NewDeployment(config DeploymentConfig) *Deployment {
	if config.CancelGrace == 0 {
		config.CancelGrace = cancelGrace
	}
	kvStore := NewKVStore(maxTxnOps, maxLogEntries)
	kvStore.KVStoreLimits = DefaultKVStoreLimits()
	return &Deployment{
		config:    config,
		startedAt: time.Now(),
		kvStore:   kvStore,
		checker:   NewRuleChecker(config.QuotaLimits, config.CancelGrace),
		cloud:     newCloud(),
		workers:   map[string]*Worker{},
		runTimes:  map[string]time.Duration{},
		faults: injectedFaults{
			partitionedUntil: map[string]time.Duration{}, hungUntil: map[string]time.Duration{}, refused: map[string]bool{},
		},
		operations: NewOperationCounter(),
	}
}

// advance simulates a worker up to the time now, during which it may hang. The caller holds d.mu.
func (d *Deployment) advance(worker *Worker, now time.Duration) (changed bool) {
	if d.faults.hungUntil[worker.Name] > now {
		worker.Pause(now)
		return false
	}
	return worker.Advance(now)
}

// unreachableUntil returns the end of a machine's partition or hang. The caller holds d.mu.
func (d *Deployment) unreachableUntil(machine string) time.Duration {
	return max(d.faults.partitionedUntil[machine], d.faults.hungUntil[machine])
}

// now returns the time since the deployment started, which is the clock of the simulated services.
func (d *Deployment) now() time.Duration { return time.Since(d.startedAt) }

// Violations returns the recorded violations of the protocol's rules.
func (d *Deployment) Violations() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.checker.Violations)
}

// Check calls check with the rule checker and the current time. Users report to the checker what
// they are told.
func (d *Deployment) Check(check func(now time.Duration, checker *RuleChecker)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	check(d.now(), d.checker)
}

// CheckMachines checks the rules that concern what is on machines now: cancelled tasks are gone in
// time, and no job waits for long beside free capacity. It must be called every few seconds.
func (d *Deployment) CheckMachines() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	var free []FreeCapacity
	jobsOnMachines := map[string]bool{}
	for _, worker := range d.workers {
		if worker.Terminated || d.faults.hungUntil[worker.Name] > now {
			continue
		}
		worker.Advance(now)
		if worker.Sequence > 0 { // it has sent a heartbeat
			free = append(free, worker.FreeCapacity())
		}
		for task := range worker.ActiveAttempts() {
			job, _, _ := wire.ParseTaskName(task)
			jobsOnMachines[job] = true
		}
	}
	d.checker.CheckCancelled(now)
	d.checker.CheckWaiting(now, free, func(job string) bool { return jobsOnMachines[job] })
}

// HasKey reports whether the key-value store has a key.
func (d *Deployment) HasKey(key string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.kvStore.Get(d.now(), key).ModRevision != 0
}

// KeysWithPrefix returns the keys of the key-value store that start with a prefix, and their values.
func (d *Deployment) KeysWithPrefix(prefix string) []wire.KeyValue {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.kvStore.Range(d.now(), prefix, "", math.MaxInt).Items
}

// UploadJob makes a job and the run time of its tasks known to the workers. A user does this
// before submitting the job.
func (d *Deployment) UploadJob(job *wire.Job, runTime time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.checker.AddJob(job)
	d.runTimes[job.ID] = runTime
}

// runTimeOf returns the run time of a task. The caller holds d.mu.
func (d *Deployment) runTimeOf(task string) time.Duration {
	job, _, _ := wire.ParseTaskName(task)
	return d.runTimes[job]
}

// MachineNames returns the sorted names of the machines that have not been terminated.
func (d *Deployment) MachineNames() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for name, worker := range d.workers {
		if !worker.Terminated {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// ActiveAttempts returns the number of attempts on a machine that have not exited.
func (d *Deployment) ActiveAttempts(machine string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.workers[machine].ActiveAttempts())
}
