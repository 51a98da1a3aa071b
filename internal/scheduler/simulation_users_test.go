package scheduler_test

import (
	"fmt"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/wire"
)

// The users of the simulation: they submit, poll and cancel jobs at any controller that
// can serve them, and repeat what got no answer.

// servingController is a controller that can serve users, or nil if none can.
func (sim *simulation) servingController() *simController {
	first := sim.rng.IntN(len(sim.controllers))
	for i := range sim.controllers {
		if c := sim.controllers[(first+i)%len(sim.controllers)]; c.reachesStore() {
			return c
		}
	}
	return nil
}

// commitForUser runs a controller's transaction for a user and gives its status; 0 if there
// is none. The transaction may have been carried out even then, or be carried out later;
// the user repeats the request, by again.
func (sim *simulation) commitForUser(transaction wire.Txn, again func()) (status int) {
	if !sim.acceptsWrites(len(transaction.Then)) {
		sim.after(time.Second, again) // refused, with Retry-After
		return 0
	}
	if sim.chance(sim.lossRate) {
		sim.commitWithoutAnswer(transaction)
		sim.after(2*time.Second, again)
		return 0
	}
	status, _ = sim.kvStore.Commit(sim.now, transaction)
	if status == 429 {
		sim.after(time.Second, again)
		return 0
	}
	return status
}

// submit has a user submit a job until it is accepted.
func (sim *simulation) submit(j *wire.Job) {
	j.CreatedAtMilli = sim.now.Milliseconds()
	sim.checker.AddJob(j)
	sim.trySubmit(j)
}

func (sim *simulation) trySubmit(j *wire.Job) {
	again := func() { sim.trySubmit(j) }
	if sim.servingController() == nil {
		sim.after(2*time.Second, again)
		return
	}
	status := sim.commitForUser(wire.Txn{
		If:   []wire.Compare{{Key: records.JobKey(j.ID)}, {Key: records.EndedJobKey(j.ID)}},
		Then: []wire.Op{{Set: records.JobKey(j.ID), Value: records.Job{Job: *j}}},
	}, again)
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

// pollJob asks a controller for a job's state; empty if none can serve users.
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

// recordedState is a job's state by its records, empty if there is none, and whether the
// job has ended.
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

// cancel has a user cancel a job until that is answered.
func (sim *simulation) cancel(id string) {
	sim.checker.CancelRequested(id)
	if c := sim.servingController(); c != nil {
		sim.cancelAt(c, id)
		return
	}
	sim.after(2*time.Second, func() { sim.cancel(id) })
}

// cancelAt has a user cancel a job at a controller, and at another one if that gives no
// answer.
func (sim *simulation) cancelAt(c *simController, id string) {
	sim.checker.CancelRequested(id)
	again := func() { sim.cancel(id) }
	item := sim.kvStore.Get(sim.now, records.JobKey(id))
	if item.ModRevision == 0 {
		if sim.kvStore.Get(sim.now, records.EndedJobKey(id)).ModRevision == 0 {
			sim.after(2*time.Second, again) // not accepted yet
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
		}, again)
		if status == 409 {
			sim.after(time.Second, again)
		}
		if status == 0 || status == 409 {
			return // the user comes again
		}
	}
	c.confirmCancellation(id)
	sim.checker.StateConfirmed(sim.now, id, wire.JobCancelled)
}

// cancelNearCompletion cancels a job around the moment at which its last task completes: it
// is done or cancelled, whichever comes first, and stays that.
func (sim *simulation) cancelNearCompletion(j *wire.Job) {
	for i := range j.Tasks {
		if !sim.checker.IsCompleted(wire.TaskName(j.ID, i)) {
			sim.after(100*time.Millisecond, func() { sim.cancelNearCompletion(j) })
			return
		}
	}
	sim.after(time.Duration(sim.rng.IntN(1500))*time.Millisecond, func() { sim.cancel(j.ID) })
}

// runUsers has users submit and cancel jobs of all kinds up to the given time, and poll
// them to the end.
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

// submitRandomJob submits a job of any kind. Services and some others are cancelled later.
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
