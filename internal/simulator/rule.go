package simulator

import (
	"fmt"
	"time"
)

// Rule names a rule of the protocol, as the protocol page does.
type Rule string

// The rules that RuleChecker checks.
const (
	RuleRanTwice     Rule = "ran_twice"     // a task runs on two machines at once
	RuleQuota        Rule = "quota"         // a team uses more than its limit
	RuleWrongPlace   Rule = "wrong_place"   // a task runs where its job does not allow
	RuleRanCancelled Rule = "ran_cancelled" // a task is on a machine long after its job was cancelled
	RuleForgotten    Rule = "forgotten"     // an accepted job is unknown, or cannot be asked about
	RuleInvented     Rule = "invented"      // a job that nobody submitted is known
	RuleNotDone      Rule = "not_done"      // a job is called done before all of its tasks are
	RuleWentBack     Rule = "went_back"     // an answer contradicts an earlier one
	RuleNothingRan   Rule = "nothing_ran"   // no task was started
	RuleLeftWaiting  Rule = "left_waiting"  // a job waits although there is free capacity for it
	RuleAccepted     Rule = "accepted"      // a submission was accepted that had to be refused
)

// violation records a violation of a rule.
func (c *RuleChecker) violation(now time.Duration, rule Rule, format string, args ...any) {
	detail := fmt.Sprintf(format, args...)
	c.Violations = append(c.Violations, fmt.Sprintf("%v %s: %s", now, rule, detail))
}

// violationOnce records a violation, unless the job has one of the same rule and format.
func (c *RuleChecker) violationOnce(now time.Duration, rule Rule, job, format string, args ...any) {
	key := fmt.Sprint(job, rule, format)
	if c.recordedOnce[key] {
		return
	}
	c.recordedOnce[key] = true
	c.violation(now, rule, format, args...)
}
