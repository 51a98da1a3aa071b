package simulator

import (
	"slices"
	"sync"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// What every simulated deployment has.
const (
	maxTxnOps     = 12
	maxLogEntries = 10000
	cancelGrace   = time.Minute
)

// DeploymentConfig describes a deployment. The zero value has no machine types, teams or
// controllers.
type DeploymentConfig struct {
	MachineTypes      []wire.MachineType
	QuotaLimits       map[string]float64 // CPUs, by team
	Controllers       map[string]string  // addresses, by name
	BootTime          time.Duration      // of a machine
	HeartbeatInterval time.Duration      // of a worker agent
	LeaseDuration     time.Duration      // of a worker agent
}

// Deployment serves a key-value store, a cloud, and an agent on each machine that was
// provisioned there, over HTTP and in real time.
type Deployment struct {
	config    DeploymentConfig
	startedAt time.Time

	mu       sync.Mutex // guards all of the following
	kvStore  *KVStore
	checker  *RuleChecker
	cloud    cloud
	workers  map[string]*Worker
	runTimes map[string]time.Duration // of a job's tasks, by job
	faults   injectedFaults
	orders   *OrderCounter
}

// NewDeployment starts the clock of a deployment. It serves nothing before its handlers
// are given to a server.
func NewDeployment(config DeploymentConfig) *Deployment {
	return &Deployment{
		config:    config,
		startedAt: time.Now(),
		kvStore:   NewKVStore(maxTxnOps, maxLogEntries),
		checker:   NewRuleChecker(config.QuotaLimits, cancelGrace),
		cloud:     newCloud(),
		workers:   map[string]*Worker{},
		runTimes:  map[string]time.Duration{},
		faults:    injectedFaults{partitionedUntil: map[string]time.Duration{}},
		orders:    NewOrderCounter(),
	}
}

// now is the time since the start, by which the simulated services go.
func (d *Deployment) now() time.Duration { return time.Since(d.startedAt) }

// Violations lists the violations of the protocol's rules.
func (d *Deployment) Violations() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.checker.Violations)
}

// HasKey reports whether the key-value store has a key.
func (d *Deployment) HasKey(key string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.kvStore.Get(d.now(), key).ModRevision != 0
}

// UploadJob makes a job's description known to the workers, as its user does before
// submitting it.
func (d *Deployment) UploadJob(job *wire.Job, runTime time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.checker.AddJob(job)
	d.runTimes[job.ID] = runTime
}

// runTimeOf is the run time of a task. The caller holds the lock.
func (d *Deployment) runTimeOf(task string) time.Duration {
	job, _, _ := wire.ParseTaskName(task)
	return d.runTimes[job]
}

// MachineNames lists the machines that have not been terminated, in order.
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

// ActiveAttempts counts the attempts on a machine that have not exited.
func (d *Deployment) ActiveAttempts(machine string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.workers[machine].ActiveAttempts())
}
