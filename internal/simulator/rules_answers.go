package simulator

import (
	"net/http"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// answerHistory holds what users were told about their jobs. All maps are by job id.
type answerHistory struct {
	acceptedAt map[string]time.Duration // when a user was first told that the job is known
	endedAt    map[string]time.Duration // when a user was first told a final state of the job
	// lastAnsweredState is the last state that a user was told, or the first final one.
	lastAnsweredState map[string]string
}

func newAnswerHistory() answerHistory {
	return answerHistory{
		acceptedAt:        map[string]time.Duration{},
		endedAt:           map[string]time.Duration{},
		lastAnsweredState: map[string]string{},
	}
}

// requiredFields are the encoded names of the fields of a submission that must be present and not
// null.
var requiredFields = []string{
	"uid", "docket", "crew", "shape", "rank", "shifts", "cpus", "gpus", "memory_gb",
	"kit", "pull_gb", "together", "scatter", "loaners", "reckon_s", "tally_s", "stow_s",
}

// SubmissionAccepted records that a submission was accepted with 201 or 200, and checks that it was
// acceptable. fields holds the submission's fields as they were sent.
func (c *RuleChecker) SubmissionAccepted(now time.Duration, id string, fields map[string]any) {
	for _, field := range requiredFields {
		if fields[field] == nil {
			c.recordViolation(now, RuleAccepted, "submission of %s lacks the field %s", id, field)
		}
	}
	if job := c.jobs[id]; job != nil && c.machineTypes != nil {
		if reason := c.infeasibility(job); reason != feasible {
			c.recordViolation(now, RuleAccepted, "%s can never run: %s", id, reason)
		}
	}
	c.StateConfirmed(now, id, wire.JobPending)
}

// infeasibility is the reason why a job can never run, or empty if it can.
type infeasibility string

const (
	feasible          infeasibility = ""
	unknownTeam       infeasibility = "unknown team"
	overQuotaLimit    infeasibility = "more than its team's limit"
	noMatchingMachine infeasibility = "no machine type"
)

func (c *RuleChecker) infeasibility(job *wire.Job) infeasibility {
	limit, known := c.quotaLimits[job.Team]
	needed := job.CPUs
	if job.Shape != wire.ShapeArray {
		needed *= float64(job.Tasks) // the tasks run at the same time
	}
	switch {
	case !known:
		return unknownTeam
	case needed > limit+quotaTolerance:
		return overQuotaLimit
	case !c.anyMachineTypeFits(job):
		return noMatchingMachine
	}
	return feasible
}

// anyMachineTypeFits reports whether a task of the job fits an on-demand machine of some type in a
// zone that the job allows.
func (c *RuleChecker) anyMachineTypeFits(job *wire.Job) bool {
	for i := range c.machineTypes {
		machineType := &c.machineTypes[i]
		for _, zone := range machineType.Zones {
			onDemand := machineKind{machineType: machineType.Name, zone: zone}
			if machineType.Fits(job) && onDemand.allowedFor(job) {
				return true
			}
		}
	}
	return false
}

// SubmissionRefused records that a submission was refused with an HTTP status. The repeated
// submission of a known job must not be refused with 400 or 422.
func (c *RuleChecker) SubmissionRefused(now time.Duration, id string, status int) {
	state, known := c.answers.lastAnsweredState[id]
	if known && (status == http.StatusBadRequest || status == http.StatusUnprocessableEntity) {
		c.recordViolation(now, RuleForgotten, "a repeated submission of %s, which was %s, gets %d", id, state, status)
	}
}

// StateConfirmed records the answer to a query that was sent and answered at the time now.
func (c *RuleChecker) StateConfirmed(now time.Duration, id, state string) {
	c.QueryAnswered(now, now, id, state)
}

// QueryAnswered records and checks the answer to a query that was sent at the time askedAt. An
// empty state means that the answer was that the job is unknown. Once a user has been told that a
// job is known, no query that is sent afterwards may be answered that the job is unknown. Once a
// user has been told a final state, no query that is sent afterwards may be answered with another
// state, and no overlapping query with another final state: the answers to overlapping queries may
// arrive in either order. Changes between states that are not final are not checked.
func (c *RuleChecker) QueryAnswered(askedAt, now time.Duration, id, state string) {
	acceptedAt, known := c.answers.acceptedAt[id]
	switch {
	case state == "":
		if known && askedAt >= acceptedAt { // an ended job stays known as well
			c.recordViolation(now, RuleForgotten, "%s is reported as unknown, and was %s", id, c.answers.lastAnsweredState[id])
		}
		return
	case c.jobs[id] == nil:
		c.recordViolation(now, RuleInvented, "%s is reported as %s, and nobody submitted it", id, state)
		return
	case !known:
		c.answers.acceptedAt[id] = now
	}
	c.checkConsistency(askedAt, now, id, state)
	c.recordAnswer(now, id, state)
	if state == wire.JobDone {
		c.checkDone(now, id)
	}
}

// checkConsistency checks that an answer contradicts neither an earlier final state nor what the
// user requested.
func (c *RuleChecker) checkConsistency(askedAt, now time.Duration, id, state string) {
	lastState := c.answers.lastAnsweredState[id]
	endedAt, ended := c.answers.endedAt[id]
	if ended && state != lastState && (isFinal(state) || askedAt >= endedAt) {
		c.recordViolation(now, RuleWentBack, "%s was reported as %s, and now as %s", id, lastState, state)
	}
	if state == wire.JobCancelled && !c.cancellation.requested[id] {
		c.recordViolation(now, RuleWentBack, "%s is reported as cancelled, and its user has not cancelled it", id)
	}
}

func (c *RuleChecker) recordAnswer(now time.Duration, id, state string) {
	if _, ended := c.answers.endedAt[id]; !ended {
		c.answers.lastAnsweredState[id] = state
		if isFinal(state) {
			c.answers.endedAt[id] = now
		}
	}
	if _, confirmed := c.cancellation.confirmedAt[id]; !confirmed && state == wire.JobCancelled {
		c.cancellation.confirmedAt[id] = now
	}
}

func (c *RuleChecker) checkDone(now time.Duration, id string) {
	if task, incomplete := c.firstIncompleteTask(c.jobs[id]); incomplete {
		c.recordViolation(now, RuleNotDone, "%s is reported as done before task %d has completed", id, task)
	}
}

func isFinal(state string) bool { return state == wire.JobDone || state == wire.JobCancelled }
