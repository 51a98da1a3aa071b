package core

import (
	"time"
)

// Cancelled tells the leader of jobs that are durably cancelled, ahead of the watch.
// Those that it does not know yet are kept until a read that was sent later is in: that
// one has them as cancelled or ended, or has nothing of them any more.
func (l *Leader) Cancelled(now Now, ids []string) {
	l.now = now
	for _, id := range ids {
		j := l.jobs[id]
		switch {
		case j == nil:
			l.ahead[id] = now.Mono
		//mutation:peer-cancellations
		case !j.cancelled && !j.archived:
			l.cancelJob(j)
		}
	}
}

// ReadAsOf tells the leader that the jobs as it is told of them next were asked for at
// the given time. What was told before needs no keeping then, or a term of days would
// gather all the cancellations that peers list once a job is over.
func (l *Leader) ReadAsOf(at time.Duration) {
	for id, since := range l.ahead {
		if since < at {
			delete(l.ahead, id)
		}
	}
}

// KnowsAsOf tells the leader as of when it knows of all cancellations, before it is
// told of more.
func (l *Leader) KnowsAsOf(at time.Duration) { l.knewAsOf = max(l.knewAsOf, at) }

// SettledAsOf is the moment, at most at, as of which all cancellations are not only
// known but seen through: nothing of the jobs is on any machine. Who keeps workers
// alive for us counts from it, since what we could not stop may be there.
func (l *Leader) SettledAsOf(at time.Duration) time.Duration {
	for _, j := range l.jobs {
		//mutation:watermark-waits-for-unreadable-records
		if j.cancelled && (j.nActive > 0 || l.inUnreadableRecord(j)) {
			//mutation:watermark-of-unconfirmed-stops
			at = min(at, j.knewAsOf)
		}
	}
	return at
}

func (l *Leader) cancelJob(j *job) {
	j.cancelled, j.knewAsOf = true, l.knewAsOf
	l.dirtyPlace = true
	l.line(false, "job cancelled", "job", j.id, "tasks", j.nActive)
	for _, a := range j.attempts() {
		l.stop(a, false, "cancelled")
	}
	l.finish(j)
}
