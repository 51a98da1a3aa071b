package scheduler

import (
	"time"
)

// cancellationState tracks which cancellations this leader knows of. The watermark only
// advances. A job is pending until the watch has shown its cancellation or end, or until the
// result of a later read has arrived.
type cancellationState struct {
	*termContext

	// watermark is the time up to which all cancellations are known.
	watermark time.Duration
	// pending has the cancelled jobs that are unknown to this leader, with the time at which
	// their cancellation became known.
	pending map[string]time.Duration
}

// Cancelled handles durable cancellations that arrive ahead of the watch. Those of unknown jobs
// are kept until the result of a later read has arrived, in which the jobs are cancelled, ended
// or absent.
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

// DropPendingCancellationsBefore drops the pending cancellations that were known before a read or
// watch was requested. Otherwise the cancellations that peers list after their jobs have ended
// would accumulate over a long term. The caller must pass the changes that the result brings to
// JobsChanged or JobsReset next.
func (s *Scheduler) DropPendingCancellationsBefore(readRequestedAt time.Duration) {
	for id, since := range s.cancellations.pending {
		if since < readRequestedAt {
			delete(s.cancellations.pending, id)
		}
	}
}

// AdvanceCancellationWatermark sets the time up to which all cancellations are known, unless it is
// before the current watermark. It must be called before newly learned cancellations are handled,
// since those may be later than the watermark.
func (s *Scheduler) AdvanceCancellationWatermark(watermark time.Duration) {
	s.cancellations.watermark = max(s.cancellations.watermark, watermark)
}

// EnforcedCancellationWatermark returns the time, at most the given watermark, up to which all
// cancellations are enforced: no machine has attempts of the cancelled jobs any more. Peers
// renew worker leases for this leader only within a bound of this time, since tasks that could
// not be stopped may still run.
func (s *Scheduler) EnforcedCancellationWatermark(watermark time.Duration) time.Duration {
	for _, j := range s.cluster.jobs {
		//mutation:watermark-waits-for-unreadable-records
		if j.cancelled && (j.activeCount > 0 || s.persister.mayBeInUnreadableRecord(j)) {
			//mutation:watermark-of-unconfirmed-stops
			watermark = min(watermark, j.cancellationWatermark)
		}
	}
	return watermark
}

// cancelJob marks a job as cancelled and stops its attempts.
func (s *Scheduler) cancelJob(j *job) {
	j.cancelled, j.cancellationWatermark = true, s.cancellations.watermark
	s.placement.due = true
	s.logInfo("job cancelled", "job", j.id, "tasks", j.activeCount)
	for _, a := range j.sortedAttempts() {
		s.stopNow(a, StopJobCancelled)
	}
	s.persister.markDirtyIfReadyToArchive(j)
}
