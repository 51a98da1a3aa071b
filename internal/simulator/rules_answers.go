package simulator

import (
	"net/http"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// answerHistory is what users were told of their jobs.
type answerHistory struct {
	acceptedAt map[string]time.Duration // when the user was first told that the job is known
	endedAt    map[string]time.Duration // when the user was first told how it ended
	lastState  map[string]string        // the last state that the user was told; the first final one stays
}

func newAnswerHistory() answerHistory {
	return answerHistory{
		acceptedAt: map[string]time.Duration{},
		endedAt:    map[string]time.Duration{},
		lastState:  map[string]string{},
	}
}

// requiredFields are the fields of a submission that may be neither null nor missing.
var requiredFields = []string{
	"uid", "docket", "crew", "shape", "rank", "shifts", "cpus", "gpus", "memory_gb",
	"kit", "pull_gb", "together", "scatter", "loaners", "reckon_s", "tally_s", "stow_s",
}

// SubmissionAccepted notes that a submission was accepted (201 or 200); fields is what
// was sent.
func (c *RuleChecker) SubmissionAccepted(now time.Duration, id string, fields map[string]any) {
	for _, field := range requiredFields {
		if fields[field] == nil {
			c.violation(now, RuleAccepted, "%s lacks %s", id, field)
		}
	}
	if job := c.jobs[id]; job != nil && c.machineTypes != nil {
		if reason := c.infeasibility(job); reason != feasible {
			c.violation(now, RuleAccepted, "%s can never run: %s", id, reason)
		}
	}
	c.StateConfirmed(now, id, wire.JobPending)
}

// infeasibility says why a job can never run.
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
		needed *= float64(job.Tasks) // all at once
	}
	switch {
	case !known:
		return unknownTeam
	case needed > limit+quotaTolerance:
		return overQuotaLimit
	case !c.anyTypeAllowed(job):
		return noMatchingMachine
	}
	return feasible
}

// anyTypeAllowed reports whether a task of the job fits an ordinary machine of some type
// in a zone that the job allows.
func (c *RuleChecker) anyTypeAllowed(job *wire.Job) bool {
	for i := range c.machineTypes {
		machineType := &c.machineTypes[i]
		for _, zone := range machineType.Zones {
			ordinary := place{machineType: machineType.Name, zone: zone}
			if machineType.Fits(job) && ordinary.allowedFor(job) {
				return true
			}
		}
	}
	return false
}

// SubmissionRefused notes that a submission was refused with a status.
func (c *RuleChecker) SubmissionRefused(now time.Duration, id string, status int) {
	state, known := c.answers.lastState[id]
	if known && (status == http.StatusBadRequest || status == http.StatusUnprocessableEntity) {
		c.violation(now, RuleForgotten, "a repeated submission of %s, which was %s, gets %d", id, state, status)
	}
}

// StateConfirmed notes an answer to a question asked right now.
func (c *RuleChecker) StateConfirmed(now time.Duration, id, state string) {
	c.QueryAnswered(now, now, id, state)
}

// QueryAnswered notes the answer to a question that was asked at a time; an empty state
// says that there is no such job. Once any controller has told a user something, none may
// answer a later question with something older; of questions that overlap, either answer
// may come first.
func (c *RuleChecker) QueryAnswered(askedAt, now time.Duration, id, state string) {
	acceptedAt, known := c.answers.acceptedAt[id]
	switch {
	case state == "":
		if known && askedAt >= acceptedAt { // also an ended job stays known
			c.violation(now, RuleForgotten, "%s was %s", id, c.answers.lastState[id])
		}
		return
	case c.jobs[id] == nil:
		c.violation(now, RuleInvented, "%s is %s", id, state)
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

// checkConsistency checks an answer against earlier ones and against what the user asked
// for.
func (c *RuleChecker) checkConsistency(askedAt, now time.Duration, id, state string) {
	lastState := c.answers.lastState[id]
	endedAt, ended := c.answers.endedAt[id]
	if ended && state != lastState && (isFinal(state) || askedAt >= endedAt) {
		c.violation(now, RuleWentBack, "%s was %s, is %s", id, lastState, state)
	}
	if state == wire.JobCancelled && !c.cancellation.requested[id] {
		c.violation(now, RuleWentBack, "%s is cancelled, and its user has not cancelled it", id)
	}
}

func (c *RuleChecker) recordAnswer(now time.Duration, id, state string) {
	if _, ended := c.answers.endedAt[id]; !ended {
		c.answers.lastState[id] = state
		if isFinal(state) {
			c.answers.endedAt[id] = now
		}
	}
	if _, confirmed := c.cancellation.confirmedAt[id]; !confirmed && state == wire.JobCancelled {
		c.cancellation.confirmedAt[id] = now
	}
}

func (c *RuleChecker) checkDone(now time.Duration, id string) {
	if task, incomplete := c.firstIncomplete(c.jobs[id]); incomplete {
		c.violation(now, RuleNotDone, "%s is called done before task %d is", id, task)
	}
}

func isFinal(state string) bool { return state == wire.JobDone || state == wire.JobCancelled }
