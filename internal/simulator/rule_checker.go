package simulator

import (
	"slices"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// quotaTolerance absorbs rounding in sums of CPUs.
const quotaTolerance = 1e-6

// RuleChecker is told what users, workers and the cloud see, and records every violation
// of the protocol's rules. Each violation is a line with its time and its rule.
type RuleChecker struct {
	Violations     []string
	Starts         int
	RepeatedStarts int // starts of tasks that had completed, whose work was wasted
	LateStarts     []LateStart

	quotaLimits  map[string]float64 // CPUs by team
	machineTypes []wire.MachineType
	jobs         map[string]*wire.Job
	recordedOnce map[string]bool // violations that are recorded once a job

	faultsEnded   bool
	faultsEndedAt time.Duration

	placement    placementHistory
	cancellation cancellationHistory
	answers      answerHistory
	polls        pollHistory
	waiting      waitingHistory
}

// NewRuleChecker returns a checker for teams with the given CPU limits. cancelGrace is
// how long the tasks of a cancelled job may stay on machines.
func NewRuleChecker(quotaLimits map[string]float64, cancelGrace time.Duration) *RuleChecker {
	return &RuleChecker{
		quotaLimits:  quotaLimits,
		jobs:         map[string]*wire.Job{},
		recordedOnce: map[string]bool{},
		placement:    newPlacementHistory(),
		cancellation: newCancellationHistory(cancelGrace),
		answers:      newAnswerHistory(),
		polls:        newPollHistory(),
		waiting:      waitingHistory{since: map[string]time.Duration{}},
	}
}

// SetMachineTypes sets the machine types that the cloud has.
func (c *RuleChecker) SetMachineTypes(types []wire.MachineType) { c.machineTypes = types }

// AddJob adds a job that a user uploads, before it is submitted.
func (c *RuleChecker) AddJob(job *wire.Job) { c.jobs[job.ID] = job }

// JobOfTask is the job of a task, or nil if there is no such task.
func (c *RuleChecker) JobOfTask(task string) *wire.Job {
	id, index, ok := wire.ParseTaskName(task)
	job := c.jobs[id]
	if !ok || job == nil || index >= job.Tasks {
		return nil
	}
	return job
}

// QuotaLimit is what a team may use at once, in CPUs.
func (c *RuleChecker) QuotaLimit(team string) float64 { return c.quotaLimits[team] }

// FaultsEnded notes that no faults are injected any more: from now on jobs have to be
// served.
func (c *RuleChecker) FaultsEnded(now time.Duration) {
	if !c.faultsEnded {
		c.faultsEnded, c.faultsEndedAt = true, now
	}
}

// CheckAnythingRan checks at the end of a run that tasks were started.
func (c *RuleChecker) CheckAnythingRan(now time.Duration) {
	if c.Starts == 0 {
		c.violation(now, RuleNothingRan, "no task was started")
	}
}

// place is where a task may or may not run.
type place struct {
	machineType, zone string
	spot              bool
}

// allowedFor reports whether a job's tasks may run at the place.
func (p place) allowedFor(job *wire.Job) bool {
	zoneAllowed := job.Zone == "" || job.Zone == p.zone
	spotAllowed := !p.spot || job.Spot
	typeAllowed := job.MachineTypes == nil || slices.Contains(job.MachineTypes, p.machineType)
	return zoneAllowed && spotAllowed && typeAllowed
}
