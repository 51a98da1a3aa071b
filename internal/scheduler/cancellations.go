package scheduler

import (
	"time"
)

// cancellationState says which cancellations this leader knows of.
type cancellationState struct {
	// watermark is the time as of which all cancellations are known.
	watermark time.Duration
	// pending has the cancelled jobs that the watch has yet to bring, and since when.
	pending map[string]time.Duration
}

// Cancelled tells the leader of jobs that are durably cancelled, ahead of the watch.
// Those that it does not know yet are kept until a read that was sent later is in: that
// one has them as cancelled or ended, or has nothing of them any more.
func (s *Scheduler) Cancelled(now Now, ids []string) {
	s.now = now
	for _, id := range ids {
		j := s.cluster.jobs[id]
		switch {
		case j == nil:
			s.cancellations.pending[id] = now.Mono
		//mutation:peer-cancellations
		case !j.cancelled && !j.archived:
			s.cancelJob(j)
		}
	}
}

// JobsReadAt tells the leader that the jobs as it is told of them next were asked for at
// the given time. What was told before needs no keeping then, or a term of days would
// gather all the cancellations that peers list once a job is over.
func (s *Scheduler) JobsReadAt(at time.Duration) {
	for id, since := range s.cancellations.pending {
		if since < at {
			delete(s.cancellations.pending, id)
		}
	}
}

// AdvanceCancellationWatermark tells the leader as of when it knows of all cancellations, before it is
// told of more.
func (s *Scheduler) AdvanceCancellationWatermark(at time.Duration) {
	s.cancellations.watermark = max(s.cancellations.watermark, at)
}

// EnforcedCancellationWatermark is the moment, at most at, as of which all cancellations are not only
// known but seen through: nothing of the jobs is on any machine. Who keeps workers
// alive for us counts from it, since what we could not stop may be there.
func (s *Scheduler) EnforcedCancellationWatermark(at time.Duration) time.Duration {
	for _, j := range s.cluster.jobs {
		//mutation:watermark-waits-for-unreadable-records
		if j.cancelled && (j.activeCount > 0 || s.persister.mayBeInUnreadableRecord(j)) {
			//mutation:watermark-of-unconfirmed-stops
			at = min(at, j.cancellationWatermark)
		}
	}
	return at
}

func (s *Scheduler) cancelJob(j *job) {
	j.cancelled, j.cancellationWatermark = true, s.cancellations.watermark
	s.placement.due = true
	s.log(false, "job cancelled", "job", j.id, "tasks", j.activeCount)
	for _, a := range j.sortedAttempts() {
		s.stopAttempt(a, false, "cancelled")
	}
	s.markDirtyIfComplete(j)
}
