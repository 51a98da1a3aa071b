package scheduler_test

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/wire"
)

// This file advances the simulated workers and sends their heartbeats.

// advanceWorkers advances all workers to the current time.
//
// A hanging machine does not execute its tasks, but it may resume at any time within its lease.
// A task is on its machine until it exits, is killed or the machine is gone, also while the
// machine cannot be reached. So the tasks of a machine that hangs for longer than its lease
// stay there until its worker resumes and kills them, or the machine is released. The expiry of
// the lease does not prove that they are gone.
func (sim *simulation) advanceWorkers() {
	for _, name := range sim.machineNames {
		if sim.hungUntil[name] <= sim.now {
			sim.workers[name].Advance(sim.now)
		} else {
			sim.workers[name].Pause(sim.now)
		}
	}
}

const (
	// heartbeatTimeout is how long a worker waits for the answer to a heartbeat.
	heartbeatTimeout = 4 * time.Second
	// statusChangeDelay is the least time between a heartbeat whose answer has commands and
	// the next one, which reports their results.
	statusChangeDelay = 500 * time.Millisecond
	// controllerRetryDelay is the time between a refused heartbeat and the next one, which goes
	// to another controller.
	controllerRetryDelay = time.Second
)

// heartbeatLoop sends the heartbeats of one worker, one at a time. It changes the controller
// when a heartbeat is refused or not answered.
type heartbeatLoop struct {
	sim             *simulation
	machine         string
	worker          *simulator.Worker
	controllerIndex int // index in simulation.controllers
}

// startHeartbeats schedules a worker's heartbeats from the time when it is up.
func (sim *simulation) startHeartbeats(machine string, worker *simulator.Worker, bootTime time.Duration) {
	loop := &heartbeatLoop{sim: sim, machine: machine, worker: worker, controllerIndex: sim.rng.IntN(len(sim.controllers))}
	if bootTime < neverBoots {
		sim.after(bootTime+time.Duration(sim.rng.Int64N(int64(sim.size.heartbeatInterval*2/3))), loop.sendNext)
	}
}

func (loop *heartbeatLoop) tryNextController() {
	loop.controllerIndex = (loop.controllerIndex + 1) % len(loop.sim.controllers)
}

// sendNext sends a heartbeat. A hanging worker sends it when it resumes.
func (loop *heartbeatLoop) sendNext() {
	sim := loop.sim
	if loop.worker.Terminated {
		return
	}
	if until := sim.hungUntil[loop.machine]; until > sim.now {
		sim.after(until-sim.now, loop.sendNext)
		return
	}
	loop.worker.Advance(sim.now)
	exchange := &heartbeatExchange{
		heartbeatLoop: loop, heartbeat: loop.worker.Heartbeat(sim.now), target: sim.controllers[loop.controllerIndex],
		sentAt: sim.now, incarnation: loop.worker.Incarnation,
	}
	exchange.sendCopy()
	exchange.send()
	interval := sim.size.heartbeatInterval*3/4 + time.Duration(sim.rng.Int64N(int64(sim.size.heartbeatInterval/2)))
	sim.after(interval, exchange.intervalElapsed)
}

// heartbeatExchange is one heartbeat with the wait for its answer.
type heartbeatExchange struct {
	*heartbeatLoop
	heartbeat     wire.Heartbeat
	target        *simController
	sentAt        time.Duration
	incarnation   uint64 // incarnation of the worker that sent the heartbeat
	finished      bool   // answered, refused or timed out
	nextScheduled bool   // the next heartbeat is already scheduled, before the interval elapses
}

// sendCopy may send a copy of the heartbeat that arrives late, at a random controller or at the
// next leader. The answer to the copy is dropped.
func (x *heartbeatExchange) sendCopy() {
	sim := x.sim
	if !sim.chance(sim.heartbeatCopyRate) {
		return
	}
	if sim.rng.IntN(3) == 0 {
		sim.heartbeatsForNextLeader = append(sim.heartbeatsForNextLeader, x.heartbeat)
		return
	}
	sim.after(time.Duration(1+sim.rng.IntN(40))*time.Second, func() {
		sim.controllers[sim.rng.IntN(len(sim.controllers))].heartbeat(&x.heartbeat)
	})
}

// send delivers the heartbeat to the controller, unless the machine's heartbeats are blocked.
func (x *heartbeatExchange) send() {
	if x.sim.heartbeatsBlockedUntil[x.machine] > x.sim.now {
		return
	}
	for _, d := range x.sim.deliveryDelays(x.machine, x.target.name) {
		x.sim.after(d, func() { x.target.afterPause(x.arrive) })
	}
}

// arrive passes the heartbeat to the controller and sends the answer.
func (x *heartbeatExchange) arrive() {
	sim := x.sim
	reply, ok := x.target.heartbeat(&x.heartbeat)
	if !ok {
		x.refused()
		return
	}
	delays := sim.deliveryDelays(x.machine, x.target.name)
	if len(delays) == 0 || sim.unreachableUntil[x.machine] > sim.now {
		return
	}
	d := delays[0] // a response is read once
	if until := sim.hungUntil[x.machine]; until > sim.now+d {
		d = until - sim.now // the worker reads the answer when it resumes
	}
	sim.after(d, func() { x.answered(reply) })
}

// refused makes the worker try the next controller.
func (x *heartbeatExchange) refused() {
	if x.finished || !x.target.alive() {
		return
	}
	x.finished, x.nextScheduled = true, true
	x.tryNextController()
	x.sim.after(controllerRetryDelay, x.sendNext)
}

// answered passes the answer to the worker, if the worker still waits for it. After commands
// the next heartbeat follows soon and reports their results.
func (x *heartbeatExchange) answered(reply wire.HeartbeatReply) {
	sim := x.sim
	if x.finished || sim.now-x.sentAt >= heartbeatTimeout || sim.hungUntil[x.machine] > sim.now {
		return
	}
	x.finished = true
	if x.worker.HandleHeartbeatReply(sim.now, x.sentAt, x.incarnation, reply) {
		sim.copier.executed(x.worker, heartbeatReply, reply.Commands, func() { x.answeredAgain(reply) })
	}
	if len(reply.Commands) > 0 {
		x.nextScheduled = true
		sim.after(max(0, x.sentAt+statusChangeDelay-sim.now), x.sendNext)
	}
}

// answeredAgain passes a copy of the answer to the worker, which drops it after its timeout.
func (x *heartbeatExchange) answeredAgain(reply wire.HeartbeatReply) {
	if x.sim.now-x.sentAt < heartbeatTimeout {
		x.worker.HandleHeartbeatReply(x.sim.now, x.sentAt, x.incarnation, reply)
	}
}

// intervalElapsed sends the next heartbeat: at once if this exchange has finished, otherwise
// after the timeout of this heartbeat.
func (x *heartbeatExchange) intervalElapsed() {
	if x.nextScheduled {
		return
	}
	if x.finished {
		x.sendNext()
		return
	}
	x.sim.after(max(0, x.sentAt+heartbeatTimeout-x.sim.now), func() {
		if !x.finished {
			x.finished = true
			x.tryNextController()
		}
		x.sendNext()
	})
}
