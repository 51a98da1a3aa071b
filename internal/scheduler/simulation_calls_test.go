package scheduler_test

import (
	"fmt"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/wire"
)

// This file simulates the leaders' transactions at the key-value store and their direct calls
// to workers. Their requests to the cloud are in simulation_cloud_test.go.

// ifStillLeading returns a function that passes the present scheduler to a handler of an
// outcome and then settles. The handler does not run if the term or the process has ended.
func (c *simController) ifStillLeading() func(handle func(*scheduler.Scheduler)) {
	leading := c.scheduler
	return func(handle func(*scheduler.Scheduler)) {
		c.afterPause(func() {
			if c.scheduler == leading && c.alive() {
				handle(leading)
				c.settle()
			}
		})
	}
}

// commit simulates a leader's transaction, which may be refused, lost or duplicated.
func (c *simController) commit(commit scheduler.Commit) {
	sim, ifStillLeading := c.sim, c.ifStillLeading()
	done := func(result scheduler.CommitResult, revision uint64, failedKeys []string) {
		ifStillLeading(func(s *scheduler.Scheduler) {
			s.CommitEnded(sim.schedulerNow(), commit.ID, result, revision, failedKeys)
		})
	}
	sim.after(sim.linkDelay()+sim.randomDelay(sim.maxWriteDelayMS), func() {
		if !c.reachesStore() {
			done(scheduler.CommitRefused, 0, nil)
			return
		}
		if sim.changesBySecond != nil {
			sim.changesBySecond[sim.now/time.Second] += len(commit.Txn.Then)
		}
		if !sim.acceptsWrites(len(commit.Txn.Then)) {
			sim.refusedTransactions++
			done(scheduler.CommitRateLimited, 0, nil)
			return
		}
		if sim.chance(sim.lossRate) {
			sim.commitWithoutAnswer(commit.Txn)
			sim.after(time.Second, func() { done(scheduler.CommitUnknown, 0, nil) })
			return
		}
		status, reply := sim.kvStore.Commit(sim.now, commit.Txn)
		if sim.chance(sim.duplicateRate) {
			sim.after(time.Duration(sim.rng.IntN(20000))*time.Millisecond, func() { sim.kvStore.Commit(sim.now, commit.Txn) })
		}
		sim.after(sim.linkDelay(), func() {
			switch status {
			case 200:
				done(scheduler.CommitDone, reply.Revision, nil)
			case 409:
				done(scheduler.CommitConflict, 0, reply.FailedKeys)
			case 429:
				done(scheduler.CommitRateLimited, 0, nil)
			case 400:
				if !sim.limitsLowered {
					panic("rejected transaction: " + reply.Error)
				}
				done(scheduler.CommitRejected, 0, nil)
			default:
				panic(fmt.Sprintf("transaction answered with status %d", status))
			}
		})
	})
}

// commitWithoutAnswer commits a transaction at once, 2 to 12 s later (possibly after newer
// ones), or not at all.
func (sim *simulation) commitWithoutAnswer(transaction wire.Txn) {
	switch sim.rng.IntN(3) {
	case 0:
		sim.kvStore.Commit(sim.now, transaction)
	case 1:
		sim.after(time.Duration(2000+sim.rng.IntN(10_000))*time.Millisecond, func() { sim.kvStore.Commit(sim.now, transaction) })
	}
}

// callWorker sends a direct call to a worker. The first answer counts. A call without an answer
// is reported as lost after 1.5 s.
func (c *simController) callWorker(call scheduler.DirectCall) {
	sim, ifStillLeading := c.sim, c.ifStillLeading()
	sim.directCalls++
	finished := false
	finish := func(result scheduler.CallResult, heartbeat *wire.Heartbeat) {
		if !finished {
			finished = true
			ifStillLeading(func(s *scheduler.Scheduler) { s.CallDone(sim.schedulerNow(), call.ID, result, heartbeat) })
		}
	}
	for _, d := range sim.deliveryDelays(call.Machine, c.name) {
		sim.after(d+sim.randomDelay(sim.maxCallDelayMS), func() {
			if sim.unreachableUntil[call.Machine] <= sim.now && sim.lifecycles[call.Machine].upAt <= sim.now {
				c.executeCall(call, finish)
			}
		})
	}
	sim.after(1500*time.Millisecond, func() { finish(scheduler.CallLost, nil) })
}

// executeCall has a worker execute a direct call. A hanging worker executes it when it resumes.
func (c *simController) executeCall(call scheduler.DirectCall, finish func(scheduler.CallResult, *wire.Heartbeat)) {
	sim, worker := c.sim, c.sim.workers[call.Machine]
	if worker.Terminated {
		return
	}
	if until := sim.hungUntil[call.Machine]; until > sim.now {
		sim.after(until-sim.now, func() { c.executeCall(call, finish) })
		return
	}
	status, heartbeat := worker.HandleCommands(sim.now, call.Body)
	result := scheduler.CallExecuted
	if status == 409 {
		result = scheduler.CallRefused
	} else {
		sim.copier.executed(worker, directCall, call.Body.Commands, func() { worker.HandleCommands(sim.now, call.Body) })
	}
	for _, d := range sim.deliveryDelays(call.Machine, c.name) {
		sim.after(d+sim.randomDelay(sim.maxCallDelayMS), func() { finish(result, &heartbeat) })
	}
}
