package scheduler

import (
	"time"
)

// cancellationState says which cancellations this leader knows of. The watermark only
// advances, and a job is pending only until the watch has shown its cancellation or end, or
// a read that was sent later has arrived.
type cancellationState struct {
	*termContext

	// watermark is the time as of which all cancellations are known.
	watermark time.Duration
	// pending has the cancelled jobs that the watch has yet to show, and since when.
	pending map[string]time.Duration
}

// Cancelled takes the ids of jobs that are durably cancelled, ahead of the watch. Those
// that are not known yet are kept until a read that was sent later has arrived: that one
// has them as cancelled or ended, or has nothing of them any more.
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

// JobsReadAt takes the time at which the next JobsChanged or JobsReset was asked for.
// Cancellations that were known before need not be kept any longer: else a term of days
// would gather all those that peers list once their jobs are over.
func (s *Scheduler) JobsReadAt(at time.Duration) {
	for id, since := range s.cancellations.pending {
		if since < at {
			delete(s.cancellations.pending, id)
		}
	}
}

// AdvanceCancellationWatermark takes the time as of which all cancellations are known. It
// comes before any later ones.
func (s *Scheduler) AdvanceCancellationWatermark(at time.Duration) {
	s.cancellations.watermark = max(s.cancellations.watermark, at)
}

// EnforcedCancellationWatermark is the time, at most the given one, as of which all
// cancellations are not only known but enforced: nothing of the jobs is on any machine.
// Peers that keep workers' leases alive for this leader count from it, since tasks that
// could not be stopped may be there.
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

// cancelJob stops what runs of a job that was cancelled.
func (s *Scheduler) cancelJob(j *job) {
	j.cancelled, j.cancellationWatermark = true, s.cancellations.watermark
	s.placement.due = true
	s.logInfo("job cancelled", "job", j.id, "tasks", j.activeCount)
	for _, a := range j.sortedAttempts() {
		s.stopNow(a, StopJobCancelled)
	}
	s.persister.markDirtyIfComplete(j)
}
