package scheduler

// A completed attempt stays in its assignment batches until its task is durably done.
// Without a record of either, the next leader would take the task for one that waits, and
// start it again before the machine that ran it has sent a heartbeat.

// keepAssignmentUntilSaved keeps a completed attempt in its batches.
func (a *attempt) keepAssignmentUntilSaved() {
	j, index := a.job, a.ref.index
	if j == nil || j.service || j.archived || len(a.assignment.batches) == 0 || index >= j.spec.Tasks || j.progress.saved.Has(index) {
		return
	}
	if j.unsavedAttempts == nil {
		j.unsavedAttempts = map[int]*attempt{}
	}
	if j.unsavedAttempts[index] == nil {
		j.unsavedAttempts[index] = a
	}
}

// awaitsDurableCompletion reports whether the attempt has completed and is kept in its
// batches.
func (a *attempt) awaitsDurableCompletion() bool {
	return a.job != nil && a.job.unsavedAttempts[a.ref.index] == a
}

// dropSavedAssignments removes the kept attempts of tasks that are durably done, or whose
// job has ended.
func (p *persister) dropSavedAssignments(j *job) {
	for index, a := range j.unsavedAttempts {
		if j.archived || j.progress.saved.Has(index) {
			delete(j.unsavedAttempts, index)
			p.removeFromBatches(a)
		}
	}
}

// removeFromBatches takes an attempt out of all its batches.
func (p *persister) removeFromBatches(a *attempt) {
	for _, batch := range a.assignment.batches {
		p.removeFromBatch(batch, a)
	}
	a.assignment.batches = nil
}
