package scheduler

import (
	"cmp"
	"slices"
)

// JobsChanged applies changes of live jobs that a watch has reported.
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
			s.addNewJob(change.Live)
		case change.Live != nil && change.Live.ModRevision > j.modRevision:
			s.updateJob(j, change.Live)
		}
	}
}

// addNewJob adds a job that was not known in this term, usually one that was submitted
// during the term.
func (s *Scheduler) addNewJob(live *LiveJob) {
	j := s.cluster.addJob(live)
	// The watch may report a state that is older than a peer's list of cancellations, and
	// that list is sent only once: the job may have been cancelled since.
	_, cancelled := s.cancellations.pending[j.id]
	//mutation:pending-cancellations
	j.cancelled = j.cancelled || cancelled
	s.persister.markDirtyIfReadyToArchive(j)
	s.placement.due = true
	s.logDebug("job added", "job", j.id, "class", j.spec.Class, "tasks", j.spec.Tasks, "team", j.spec.Team, "estimate_s", j.spec.EstimatedRunS, "due_s", j.plan.deadlines)
}

// updateJob applies a newer record of a known job.
func (s *Scheduler) updateJob(j *job, live *LiveJob) {
	j.modRevision = live.ModRevision
	s.cluster.mergeDoneBits(j, 0, live.Record.Done)
	s.persister.dropSavedAssignments(j)
	if live.Record.Cancelled && !j.cancelled {
		s.cancelJob(j)
	}
}

// JobsReset applies a replica that was read in full, as the changes against the known jobs.
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
