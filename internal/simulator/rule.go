package simulator

import (
	"fmt"
	"time"
)

// Rule is the name of a rule of the protocol, as it is written in recorded violations.
type Rule string

// The rules that RuleChecker checks.
const (
	RuleRanTwice     Rule = "ran_twice"     // a task runs on two machines at once
	RuleQuota        Rule = "quota"         // a team uses more than its limit
	RuleWrongPlace   Rule = "wrong_place"   // a task runs on a machine that its job does not allow
	RuleRanCancelled Rule = "ran_cancelled" // a task of a cancelled job stays after the grace period
	RuleForgotten    Rule = "forgotten"     // an accepted job is unknown, or its polls fail for too long
	RuleInvented     Rule = "invented"      // a state is reported for a job that was never submitted
	RuleNotDone      Rule = "not_done"      // a job is reported as done before all of its tasks are
	RuleWentBack     Rule = "went_back"     // an answer contradicts an earlier one, or its user's requests
	RuleNothingRan   Rule = "nothing_ran"   // no task was started
	RuleLeftWaiting  Rule = "left_waiting"  // a job waits although there is free capacity for it
	RuleAccepted     Rule = "accepted"      // a submission was accepted although it must be refused
)

// recordViolation records a violation of a rule.
func (c *RuleChecker) recordViolation(now time.Duration, rule Rule, format string, args ...any) {
	detail := fmt.Sprintf(format, args...)
	c.Violations = append(c.Violations, fmt.Sprintf("%v %s: %s", now, rule, detail))
}

// recordViolationOnce records a violation, unless one with the same rule and format was recorded
// for the job before.
func (c *RuleChecker) recordViolationOnce(now time.Duration, rule Rule, job, format string, args ...any) {
	key := fmt.Sprint(job, rule, format)
	if c.recordedOnce[key] {
		return
	}
	c.recordedOnce[key] = true
	c.recordViolation(now, rule, format, args...)
}
