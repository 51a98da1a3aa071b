package simulator

import "time"

const (
	// pollHistoryDuration is how long polls are kept. All polls of a job may fail for less than
	// this time while most polls of other jobs are answered.
	pollHistoryDuration = 90 * time.Second
	// maxUnansweredTime limits how long all polls of a job may fail once fault injection has
	// ended, whether or not polls of other jobs are answered.
	maxUnansweredTime = 75 * time.Second
)

// pollHistory holds the outcomes of polls of jobs.
type pollHistory struct {
	recent         []poll                   // polls of the last pollHistoryDuration, oldest first
	lastAnsweredAt map[string]time.Duration // time of the last answered poll, by job id
	failingSince   map[string]time.Duration // first failed poll after the last answered one, by job id
}

// poll is the outcome of one request for the state of a job.
type poll struct {
	finishedAt time.Duration
	job        string
	answered   bool
}

func newPollHistory() pollHistory {
	return pollHistory{lastAnsweredAt: map[string]time.Duration{}, failingSince: map[string]time.Duration{}}
}

func (h *pollHistory) add(p poll) {
	h.recent = append(h.recent, p)
	for h.recent[0].finishedAt < p.finishedAt-pollHistoryDuration {
		h.recent = h.recent[1:]
	}
}

// mostOthersAnswered reports whether more than half of the recent polls of other jobs were
// answered.
func (h *pollHistory) mostOthersAnswered(job string) bool {
	answered, failed := 0, 0
	for _, p := range h.recent {
		switch {
		case p.job == job:
		case p.answered:
			answered++
		default:
			failed++
		}
	}
	return answered > failed
}

// PollAnswered records that a poll of a job was answered with 200 or 404.
func (c *RuleChecker) PollAnswered(now time.Duration, job string) {
	c.polls.add(poll{now, job, true})
	c.polls.lastAnsweredAt[job] = now
	delete(c.polls.failingSince, job)
}

// PollFailed records that a poll of a job was refused or not answered.
func (c *RuleChecker) PollFailed(now time.Duration, job string) {
	c.polls.add(poll{now, job, false})
	if acceptedAt, accepted := c.answers.acceptedAt[job]; accepted {
		c.checkUnanswered(now, job, acceptedAt)
	}
}

// checkUnanswered checks for how long all polls of an accepted job have failed.
func (c *RuleChecker) checkUnanswered(now time.Duration, job string, acceptedAt time.Duration) {
	if _, failing := c.polls.failingSince[job]; !failing {
		c.polls.failingSince[job] = now
	}
	if now-c.polls.failingSince[job] >= pollHistoryDuration && c.polls.mostOthersAnswered(job) {
		c.recordViolationOnce(now, RuleForgotten, job, "all polls of %s fail for 90 s while most polls of other jobs are answered", job)
	}
	answerableSince := max(c.faultsEndedAt, acceptedAt, c.polls.lastAnsweredAt[job])
	if c.faultsEnded && now-answerableSince >= maxUnansweredTime {
		c.recordViolationOnce(now, RuleForgotten, job, "no question about %s is answered for 75 s, and the faults have ended", job)
	}
}
