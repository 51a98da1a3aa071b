package scheduler_test

import (
	"fmt"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/wire"
)

// This file simulates users. They submit, poll and cancel jobs at any controller that can serve
// them, and retry requests that were refused or got no answer.

// servingController returns a random controller that can serve users, or nil if none can.
func (sim *simulation) servingController() *simController {
	first := sim.rng.IntN(len(sim.controllers))
	for i := range sim.controllers {
		if c := sim.controllers[(first+i)%len(sim.controllers)]; c.reachesStore() {
			return c
		}
	}
	return nil
}

// commitForUser commits a controller's transaction for a user and returns its status, or 0 if
// the user gets no result. Then the transaction may still have been committed, or be committed
// later, and the user retries the request by calling retry.
func (sim *simulation) commitForUser(transaction wire.Txn, retry func()) (status int) {
	if !sim.acceptsWrites(len(transaction.Then)) {
		sim.after(time.Second, retry) // refused, with Retry-After
		return 0
	}
	if sim.chance(sim.lossRate) {
		sim.commitWithoutAnswer(transaction)
		sim.after(2*time.Second, retry)
		return 0
	}
	status, _ = sim.kvStore.Commit(sim.now, transaction)
	if status == 429 {
		sim.after(time.Second, retry)
		return 0
	}
	return status
}

// submit simulates a user who submits a job and retries until it is accepted.
func (sim *simulation) submit(j *wire.Job) {
	j.CreatedAtMilli = sim.now.Milliseconds()
	sim.checker.AddJob(j)
	sim.trySubmit(j)
}

func (sim *simulation) trySubmit(j *wire.Job) {
	retry := func() { sim.trySubmit(j) }
	if sim.servingController() == nil {
		sim.after(2*time.Second, retry)
		return
	}
	status := sim.commitForUser(wire.Txn{
		If:   []wire.Compare{{Key: records.JobKey(j.ID)}, {Key: records.EndedJobKey(j.ID)}},
		Then: []wire.Op{{Set: records.JobKey(j.ID), Value: records.Job{Job: *j}}},
	}, retry)
	if status != 0 {
		sim.jobs = append(sim.jobs, j)
		if sim.acceptedAt != nil {
			sim.acceptedAt[j.ID] = sim.now
		}
	}
	if status == 200 {
		sim.checker.StateConfirmed(sim.now, j.ID, wire.JobPending)
	}
}

// pollJob returns a job's state as a controller answers it, or an empty string if no controller
// can serve users. A controller that answers that a live job is cancelled thereby confirms the
// cancellation.
func (sim *simulation) pollJob(id string) string {
	c := sim.servingController()
	if c == nil {
		sim.checker.PollFailed(sim.now, id)
		return ""
	}
	sim.checker.PollAnswered(sim.now, id)
	state, ended := sim.recordedState(id)
	if state == wire.JobCancelled && !ended {
		c.confirmCancellation(id)
	}
	sim.checker.StateConfirmed(sim.now, id, state)
	return state
}

// recordedState returns a job's state according to its records, empty if there are none, and
// whether the job has ended.
func (sim *simulation) recordedState(id string) (state string, ended bool) {
	if item := sim.kvStore.Get(sim.now, records.EndedJobKey(id)); item.ModRevision != 0 {
		var record records.EndedJob
		must(wire.Unmarshal(item.Value, &record))
		return record.State, true
	}
	item := sim.kvStore.Get(sim.now, records.JobKey(id))
	if item.ModRevision == 0 {
		return "", false
	}
	record, err := records.DecodeJob(item)
	must(err)
	if record.Cancelled {
		return wire.JobCancelled, false
	}
	return wire.JobPending, false
}

// cancel simulates a user who cancels a job and retries until that is answered.
func (sim *simulation) cancel(id string) {
	sim.checker.CancelRequested(id)
	if c := sim.servingController(); c != nil {
		sim.cancelAt(c, id)
		return
	}
	sim.after(2*time.Second, func() { sim.cancel(id) })
}

// cancelAt simulates a user who cancels a job at the given controller, and retries at any
// controller if there is no answer.
func (sim *simulation) cancelAt(c *simController, id string) {
	sim.checker.CancelRequested(id)
	retry := func() { sim.cancel(id) }
	item := sim.kvStore.Get(sim.now, records.JobKey(id))
	if item.ModRevision == 0 {
		if sim.kvStore.Get(sim.now, records.EndedJobKey(id)).ModRevision == 0 {
			sim.after(2*time.Second, retry) // not accepted yet
		}
		return
	}
	record, err := records.DecodeJob(item)
	must(err)
	if !record.Cancelled {
		record.Cancelled = true
		status := sim.commitForUser(wire.Txn{
			If:   []wire.Compare{{Key: item.Key, ModRevision: item.ModRevision}},
			Then: []wire.Op{{Set: item.Key, Value: record}},
		}, retry)
		if status == 409 {
			sim.after(time.Second, retry)
		}
		if status == 0 || status == 409 {
			return // the user retries
		}
	}
	c.confirmCancellation(id)
	sim.checker.StateConfirmed(sim.now, id, wire.JobCancelled)
}

// cancelNearCompletion cancels a job up to 1.6 s after its last task has completed, while the
// completion may not be recorded yet. The job becomes done or cancelled, whichever is recorded
// first, and must keep that state.
func (sim *simulation) cancelNearCompletion(j *wire.Job) {
	for i := range j.Tasks {
		if !sim.checker.IsCompleted(wire.TaskName(j.ID, i)) {
			sim.after(100*time.Millisecond, func() { sim.cancelNearCompletion(j) })
			return
		}
	}
	sim.after(time.Duration(sim.rng.IntN(1500))*time.Millisecond, func() { sim.cancel(j.ID) })
}

// runUsers simulates users who submit and cancel random jobs up to the given time, and poll all
// jobs until the simulation ends.
func (sim *simulation) runUsers(until time.Duration) {
	submitted := 0
	sim.every(2*time.Second, func() {
		if sim.now <= until {
			submitted++
			sim.submitRandomJob(fmt.Sprintf("run-%06d", submitted))
		}
	})
	sim.every(time.Second, sim.pollAll)
}

// submitRandomJob submits a job with random properties. All services and some other jobs are
// cancelled later.
func (sim *simulation) submitRandomJob(id string) {
	j := &wire.Job{
		ID: id, Class: "c", Team: []string{"red", "blue"}[sim.rng.IntN(2)],
		Shape: wire.ShapeArray, Priority: []string{wire.PriorityProduction, wire.PriorityUrgent, wire.PriorityNormal, wire.PriorityIdle}[sim.rng.IntN(4)],
		Tasks: 1 + sim.rng.IntN(8), CPUs: float64(1 + sim.rng.IntN(4)), MemoryGB: 2,
		Image: fmt.Sprintf("img-%d", sim.rng.IntN(4)), ImageGB: 1, Spot: sim.rng.IntN(2) == 0, EstimatedRunS: 8,
		SameZone: sim.rng.IntN(5) == 0, SpreadZones: sim.rng.IntN(5) == 0,
	}
	if j.SameZone {
		j.SpreadZones = false
	}
	if sim.rng.IntN(6) == 0 {
		j.Shape, j.Tasks, j.EstimatedRunS = wire.ShapeService, 1+sim.rng.IntN(3), 0
		sim.after(time.Duration(10+sim.rng.IntN(60))*time.Second, func() { sim.cancel(id) })
	}
	if j.Shape == wire.ShapeArray && sim.rng.IntN(6) == 0 {
		j.Shape, j.Tasks = wire.ShapeGang, 1+sim.rng.IntN(4)
	}
	if sim.rng.IntN(5) == 0 {
		j.CheckpointIntervalS, j.CheckpointSaveS = 2, 3
	}
	if sim.rng.IntN(3) == 0 {
		deadline := float64(20 + sim.rng.IntN(60))
		j.DeadlineS = &deadline
	}
	if sim.rng.IntN(8) == 0 {
		sim.after(time.Duration(sim.rng.IntN(20))*time.Second, func() { sim.cancel(id) })
	}
	if j.Shape == wire.ShapeArray && sim.rng.IntN(4) == 0 {
		sim.cancelNearCompletion(j)
	}
	sim.submit(j)
}
