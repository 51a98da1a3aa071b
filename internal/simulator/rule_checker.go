package simulator

import (
	"slices"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// quotaTolerance absorbs rounding in sums of CPUs.
const quotaTolerance = 1e-6

// RuleChecker records every violation of the protocol's rules. Its callers report to it what users
// are told and what happens on machines. Each violation is a line with its time and its rule.
type RuleChecker struct {
	Violations     []string
	Starts         int // number of task starts
	RepeatedStarts int // starts of tasks that had already completed, which is wasted work
	LateStarts     []LateStart

	quotaLimits  map[string]float64 // CPU limits by team
	machineTypes []wire.MachineType
	jobs         map[string]*wire.Job // by id
	recordedOnce map[string]bool      // keys of the violations in recordViolationOnce

	faultsEnded   bool // whether fault injection has ended
	faultsEndedAt time.Duration

	placement    placementHistory
	cancellation cancellationHistory
	answers      answerHistory
	polls        pollHistory
	waiting      waitingHistory
}

// NewRuleChecker returns a checker for teams with the given CPU limits. cancelGrace is how long
// the tasks of a job may stay on machines after its cancellation was confirmed.
func NewRuleChecker(quotaLimits map[string]float64, cancelGrace time.Duration) *RuleChecker {
	return &RuleChecker{
		quotaLimits:  quotaLimits,
		jobs:         map[string]*wire.Job{},
		recordedOnce: map[string]bool{},
		placement:    newPlacementHistory(),
		cancellation: newCancellationHistory(cancelGrace),
		answers:      newAnswerHistory(),
		polls:        newPollHistory(),
		waiting:      waitingHistory{fittingSince: map[string]time.Duration{}},
	}
}

// SetMachineTypes sets the machine types that the cloud offers.
func (c *RuleChecker) SetMachineTypes(types []wire.MachineType) { c.machineTypes = types }

// AddJob makes a job known to the checker. It is called before the job is submitted.
func (c *RuleChecker) AddJob(job *wire.Job) { c.jobs[job.ID] = job }

// JobOfTask returns the job of a task, or nil if there is no such task.
func (c *RuleChecker) JobOfTask(task string) *wire.Job {
	id, index, ok := wire.ParseTaskName(task)
	job := c.jobs[id]
	if !ok || job == nil || index >= job.Tasks {
		return nil
	}
	return job
}

// QuotaLimit returns the number of CPUs that a team's tasks may use at the same time.
func (c *RuleChecker) QuotaLimit(team string) float64 { return c.quotaLimits[team] }

// FaultsEnded records that fault injection has ended. The limits on how long jobs may wait for
// free capacity, and on how long queries about a job may fail regardless of other jobs, apply from
// then on.
func (c *RuleChecker) FaultsEnded(now time.Duration) {
	if !c.faultsEnded {
		c.faultsEnded, c.faultsEndedAt = true, now
	}
}

// CheckAnythingRan checks that at least one task was started. It is called at the end of a run.
func (c *RuleChecker) CheckAnythingRan(now time.Duration) {
	if c.Starts == 0 {
		c.recordViolation(now, RuleNothingRan, "no task was started")
	}
}

// machineKind holds the properties of a machine that a job can restrict.
type machineKind struct {
	machineType, zone string
	spot              bool
}

// allowedFor reports whether a job's tasks may run on machines of the kind.
func (k machineKind) allowedFor(job *wire.Job) bool {
	zoneAllowed := job.Zone == "" || job.Zone == k.zone
	spotAllowed := !k.spot || job.Spot
	typeAllowed := job.MachineTypes == nil || slices.Contains(job.MachineTypes, k.machineType)
	return zoneAllowed && spotAllowed && typeAllowed
}
