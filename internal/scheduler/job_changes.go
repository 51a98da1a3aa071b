package scheduler

import (
	"cmp"
	"slices"
)

// JobsChanged takes changes of live jobs that a watch has seen.
func (s *Scheduler) JobsChanged(now Now, changes []JobChange) {
	s.now = now
	for _, change := range changes {
		if change.Live == nil || change.Live.Record.Cancelled {
			delete(s.cancellations.pending, change.ID)
		}
		j := s.cluster.jobs[change.ID]
		switch {
		case change.Live == nil && j != nil:
			s.archiveJob(j)
		case change.Live != nil && j == nil:
			s.addChangedJob(change.Live)
		case change.Live != nil && change.Live.ModRevision > j.modRevision:
			s.updateJob(j, change.Live)
		}
	}
}

// addChangedJob adds a job that was submitted in this term, or whose record is seen for
// the first time.
func (s *Scheduler) addChangedJob(live *LiveJob) {
	j := s.cluster.addJob(live)
	// The watch's answer may be older than a peer's list of cancellations, which comes
	// once: a job that the watch has as new may have been cancelled since.
	_, cancelled := s.cancellations.pending[j.id]
	//mutation:pending-cancellations
	j.cancelled = j.cancelled || cancelled
	s.persister.markDirtyIfReadyToArchive(j)
	s.placement.due = true
	s.logDebug("job added", "job", j.id, "class", j.spec.Class, "tasks", j.spec.Tasks, "team", j.spec.Team, "estimate_s", j.spec.EstimatedRunS, "due_s", j.plan.deadlines)
}

// updateJob takes a later record of a job.
func (s *Scheduler) updateJob(j *job, live *LiveJob) {
	j.modRevision = live.ModRevision
	s.cluster.mergeDoneBits(j, 0, live.Record.Done)
	s.persister.dropSavedAssignments(j)
	if live.Record.Cancelled && !j.cancelled {
		s.cancelJob(j)
	}
}

// JobsReset takes a replica that was read in full, as changes against what is known.
func (s *Scheduler) JobsReset(now Now, replica *Replica) {
	var changes []JobChange
	for id := range s.cluster.jobs {
		if replica.Live[id] == nil {
			changes = append(changes, JobChange{id, nil})
		}
	}
	for id, live := range replica.Live {
		changes = append(changes, JobChange{id, live})
	}
	slices.SortFunc(changes, func(a, b JobChange) int { return cmp.Compare(a.ID, b.ID) })
	s.JobsChanged(now, changes)
}
