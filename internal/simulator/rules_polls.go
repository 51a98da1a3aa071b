package simulator

import "time"

const (
	// pollWindow is how long all polls of a job may fail while most others are answered.
	pollWindow = 90 * time.Second
	// unansweredLimit is how long a job may stay without an answer when no faults are
	// injected any more, however other jobs fare.
	unansweredLimit = 75 * time.Second
)

// pollHistory is which polls of jobs were answered.
type pollHistory struct {
	recent         []poll                   // those of the last pollWindow
	lastAnsweredAt map[string]time.Duration // by job
	failingSince   map[string]time.Duration // by job: since when all polls fail
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
	for h.recent[0].finishedAt < p.finishedAt-pollWindow {
		h.recent = h.recent[1:]
	}
}

// mostOthersAnswered reports whether more recent polls of other jobs were answered than
// failed.
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

// PollAnswered notes that a poll of a job was answered, with 200 or 404.
func (c *RuleChecker) PollAnswered(now time.Duration, job string) {
	c.polls.add(poll{now, job, true})
	c.polls.lastAnsweredAt[job] = now
	delete(c.polls.failingSince, job)
}

// PollFailed notes that a poll of a job got no answer, or was refused.
func (c *RuleChecker) PollFailed(now time.Duration, job string) {
	c.polls.add(poll{now, job, false})
	if acceptedAt, accepted := c.answers.acceptedAt[job]; accepted {
		c.checkUnanswered(now, job, acceptedAt)
	}
}

// checkUnanswered checks for how long an accepted job has not been answered about.
func (c *RuleChecker) checkUnanswered(now time.Duration, job string, acceptedAt time.Duration) {
	if _, failing := c.polls.failingSince[job]; !failing {
		c.polls.failingSince[job] = now
	}
	if now-c.polls.failingSince[job] >= pollWindow && c.polls.mostOthersAnswered(job) {
		c.violationOnce(now, RuleForgotten, job, "all polls of %s fail for 90 s while most others are answered", job)
	}
	answerableSince := max(c.faultsEndedAt, acceptedAt, c.polls.lastAnsweredAt[job])
	if c.faultsEnded && now-answerableSince >= unansweredLimit {
		c.violationOnce(now, RuleForgotten, job, "no question about %s is answered for 75 s, and the faults have ended", job)
	}
}
