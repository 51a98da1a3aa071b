package scheduler

import (
	"cmp"
	"slices"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// clusterState owns the machines, the live jobs and the attempts that may be on machines,
// with the totals over them. It computes whatever depends on these alone: which machines have
// capacity, what quotas allow, the order in which jobs wait, which deadlines can be met, and
// whether a machine or a job is the cause of failures.
//
// Only attach, detach, attempt.setState and the methods of jobProgress change the totals. They
// keep this invariant: the resources in use on a machine and by a team, and a job's numbers of
// active and running tasks, are the sums over the attached attempts. An attempt stays attached
// until it is proven to be gone.
type clusterState struct {
	*termContext

	machines            map[string]*machine
	machinesInNameOrder []*machine // cache of sortedMachines; nil after a machine was added or removed
	machineTypes        map[string]*wire.MachineType
	jobs                map[string]*job
	usage               map[string]*teamUsage // by team name
	released            map[string]bool       // machines released in this term; names are never reused
	failures            []Failure             // the latest failed attempts, the newest last

	// obsoleteAttempts are recorded attempts whose job had ended or was cancelled when the
	// term began. The list is cleared once their stop is requested.
	obsoleteAttempts []*attempt
}

// teamUsage is the amount of resources that a team's attempts occupy.
type teamUsage struct {
	CPUs, GPUs float64
}

// resources is an amount of CPUs, GPUs and memory.
type resources struct {
	cpus, gpus, memoryGB float64
}

// addTask adds the resources of one task of a job.
func (r *resources) addTask(spec *wire.Job) {
	r.cpus += spec.CPUs
	r.gpus += spec.GPUs
	r.memoryGB += spec.MemoryGB
}

// removeTask subtracts the resources of one task of a job.
func (r *resources) removeTask(spec *wire.Job) {
	r.cpus -= spec.CPUs
	r.gpus -= spec.GPUs
	r.memoryGB -= spec.MemoryGB
}

// addMachine adds a machine that was not known in this term.
func (c *clusterState) addMachine(name, machineType, zone string, spot bool, address string) *machine {
	m := &machine{
		name: name, machineType: machineType, zone: zone, spot: spot, address: address,
		machineSpec:  c.machineTypes[machineType],
		firstKnownAt: c.now.Mono, idleSince: c.now.Mono,
		cloud: cloudStatus{provisionedAt: c.now.Mono}, connectivity: connectivity{lastHeartbeatAt: c.now.Mono},
		quarantine: quarantineState{failedJobs: map[string]bool{}},
		tasks:      map[taskRef]*attempt{}, exited: map[taskRef]taskExit{}, batches: map[*assignmentBatch]bool{},
	}
	c.machines[name] = m
	c.machinesInNameOrder = nil
	return m
}

// sortedMachines returns the machines in the order of their names. The caller must not modify
// the slice.
func (c *clusterState) sortedMachines() []*machine {
	if c.machinesInNameOrder == nil {
		c.machinesInNameOrder = make([]*machine, 0, len(c.machines))
		for _, m := range c.machines {
			c.machinesInNameOrder = append(c.machinesInNameOrder, m)
		}
		slices.SortFunc(c.machinesInNameOrder, func(a, b *machine) int { return cmp.Compare(a.name, b.name) })
	}
	return c.machinesInNameOrder
}

// usageOf returns a team's usage. Only attach and detach may modify it.
func (c *clusterState) usageOf(team string) *teamUsage {
	usage := c.usage[team]
	if usage == nil {
		usage = &teamUsage{}
		c.usage[team] = usage
	}
	return usage
}

// attach adds an attempt to its machine and job, and counts its resources as in use.
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

// detach reverts attach. An archived job is removed together with its last attempt.
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
		m.used = resources{} // discards accumulated rounding errors
		return
	}
	if a.job != nil {
		m.used.removeTask(&a.job.spec)
	}
}

// addFailure adds a failed attempt to the list. When the list exceeds its maximum length, its
// older half is dropped.
func (c *clusterState) addFailure(failure Failure) {
	c.failures = append(c.failures, failure)
	if len(c.failures) > tuning.MaxListedFailures {
		c.failures = slices.Clone(c.failures[len(c.failures)-tuning.MaxListedFailures/2:])
	}
}

// clearJobFailures removes an invalid job from the failed jobs that count against machines,
// since the machines did not cause its failures. A machine that falls below the quarantine
// threshold leaves quarantine.
func (c *clusterState) clearJobFailures(j *job) {
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
