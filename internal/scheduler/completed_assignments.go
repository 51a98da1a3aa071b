package scheduler

// A completed attempt stays in its assignment batches until its task is durably done. If neither
// the attempt nor its completion were recorded, the next leader would treat the task as waiting,
// and start it again before the machine that ran it has sent a heartbeat.

// keepAssignmentUntilSaved keeps a completed attempt in its batches until its task is durably
// done. It does nothing if the attempt is in no batch, its job is a service or not live, its task
// is already durably done, or another completed attempt of the task is already kept.
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

// awaitsDurableCompletion reports whether the attempt has completed and stays in its batches
// until its task is durably done.
func (a *attempt) awaitsDurableCompletion() bool {
	return a.job != nil && a.job.unsavedAttempts[a.ref.index] == a
}

// dropSavedAssignments removes completed attempts from their batches if their tasks are durably
// done or their job has ended.
func (p *persister) dropSavedAssignments(j *job) {
	for index, a := range j.unsavedAttempts {
		if j.archived || j.progress.saved.Has(index) {
			delete(j.unsavedAttempts, index)
			p.removeFromBatches(a)
		}
	}
}

// removeFromBatches removes an attempt from all its batches.
func (p *persister) removeFromBatches(a *attempt) {
	for _, batch := range a.assignment.batches {
		p.removeFromBatch(batch, a)
	}
	a.assignment.batches = nil
}
