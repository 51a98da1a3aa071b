package scheduler

import (
	"cmp"
	"slices"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// clusterState owns the machines, the live jobs and the attempts that may be on machines,
// with the sums over them, and answers what follows from these alone: which machines have
// capacity, what quotas allow, in which order jobs wait, which deadlines can be met, and
// which of machines and jobs are at fault for failures.
//
// Only attach and detach, setState of attempts and the methods of jobProgress count up or
// down, and keep this invariant: the resources in use on a machine and by a team, and a
// job's active and running tasks, are the sums over attached attempts. An attempt stays
// attached until it is proven to be gone.
type clusterState struct {
	*termContext

	machines       map[string]*machine
	machinesByName []*machine // in that order; nil after a machine was added or removed
	machineTypes   map[string]*wire.MachineType
	jobs           map[string]*job
	usage          map[string]*teamUsage // by team
	released       map[string]bool       // machines released in this term; names are never reused
	failures       []Failure             // the latest failed attempts

	// obsoleteAttempts are recorded attempts whose job had ended or was cancelled when
	// the term began, until they are stopped.
	obsoleteAttempts []*attempt
}

// teamUsage is what a team's attempts take.
type teamUsage struct {
	CPUs, GPUs float64
}

// resources is an amount of what machines have and tasks take.
type resources struct {
	cpus, gpus, memoryGB float64
}

// addTask adds what one task of a job takes.
func (r *resources) addTask(spec *wire.Job) {
	r.cpus += spec.CPUs
	r.gpus += spec.GPUs
	r.memoryGB += spec.MemoryGB
}

// removeTask subtracts what one task of a job takes.
func (r *resources) removeTask(spec *wire.Job) {
	r.cpus -= spec.CPUs
	r.gpus -= spec.GPUs
	r.memoryGB -= spec.MemoryGB
}

// addMachine adds a machine that this term did not know of.
func (c *clusterState) addMachine(name, machineType, zone string, spot bool, address string) *machine {
	m := &machine{
		name: name, machineType: machineType, zone: zone, spot: spot, address: address,
		machineSpec: c.machineTypes[machineType],
		knownAt:     c.now.Mono, idleSince: c.now.Mono,
		cloud: cloudStatus{provisionedAt: c.now.Mono}, connectivity: connectivity{lastHeartbeatAt: c.now.Mono},
		quarantine: quarantineState{failedJobs: map[string]bool{}},
		tasks:      map[taskRef]*attempt{}, exited: map[taskRef]taskExit{}, batches: map[*assignmentBatch]bool{},
	}
	c.machines[name] = m
	c.machinesByName = nil
	return m
}

// sortedMachines gives the machines by name. The slice is not to be changed.
func (c *clusterState) sortedMachines() []*machine {
	if c.machinesByName == nil {
		c.machinesByName = make([]*machine, 0, len(c.machines))
		for _, m := range c.machines {
			c.machinesByName = append(c.machinesByName, m)
		}
		slices.SortFunc(c.machinesByName, func(a, b *machine) int { return cmp.Compare(a.name, b.name) })
	}
	return c.machinesByName
}

// usageOf gives what a team uses. It may be changed by attach and detach alone.
func (c *clusterState) usageOf(team string) *teamUsage {
	usage := c.usage[team]
	if usage == nil {
		usage = &teamUsage{}
		c.usage[team] = usage
	}
	return usage
}

// attach counts an attempt as being on its machine.
func (c *clusterState) attach(a *attempt) {
	a.machine.tasks[a.ref] = a
	a.machine.taskSummary = nil
	j := a.job
	if j == nil {
		return
	}
	j.addActive(a)
	a.machine.used.addTask(&j.spec)
	usage := c.usageOf(j.spec.Team)
	usage.CPUs += j.spec.CPUs
	usage.GPUs += j.spec.GPUs
}

// detach takes back what attach has counted. An ended job is forgotten with its last
// attempt.
func (c *clusterState) detach(a *attempt) {
	c.detachFromMachine(a)
	j := a.job
	if j == nil {
		return
	}
	usage := c.usageOf(j.spec.Team)
	usage.CPUs -= j.spec.CPUs
	usage.GPUs -= j.spec.GPUs
	j.removeActive(a)
	if j.archived && j.activeCount == 0 {
		delete(c.jobs, j.id)
	}
}

func (c *clusterState) detachFromMachine(a *attempt) {
	m := a.machine
	delete(m.tasks, a.ref)
	m.taskSummary = nil
	if len(m.tasks) == 0 {
		m.idleSince = c.now.Mono
		m.used = resources{} // without the rounding errors of sums
		return
	}
	if a.job != nil {
		m.used.removeTask(&a.job.spec)
	}
}

// addFailure lists a failed attempt. Of too many, the older half is dropped.
func (c *clusterState) addFailure(failure Failure) {
	c.failures = append(c.failures, failure)
	if len(c.failures) > tuning.MaxListedFailures {
		c.failures = slices.Clone(c.failures[len(c.failures)-tuning.MaxListedFailures/2:])
	}
}

// acquitMachines no longer holds an invalid job's failures against machines.
func (c *clusterState) acquitMachines(j *job) {
	for name := range j.retry.failedMachines {
		m := c.machines[name]
		if m == nil || !m.quarantine.failedJobs[j.id] {
			continue
		}
		delete(m.quarantine.failedJobs, j.id)
		if len(m.quarantine.failedJobs) < tuning.QuarantineJobThreshold {
			m.quarantine.until = 0
		}
	}
}
