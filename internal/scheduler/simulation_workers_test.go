package scheduler_test

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/wire"
)

// The workers of the simulation: their time, and the heartbeats that they send.

// advanceWorkers brings all workers up to date.
//
// "A hanging machine does not execute its tasks, but it may resume at any time within its
// lease", and a task "is on its machine [...] until it exits, is killed or the machine is
// gone, including while it [...] cannot be reached". So the tasks of one that hangs for
// longer are there until its worker resumes and kills them, or the machine is released: no
// lease that ends meanwhile proves that they are gone.
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
	// statusChangeDelay is the least time between two heartbeats, the second of which
	// reports what the answer to the first changed.
	statusChangeDelay = 500 * time.Millisecond
	// controllerRetryDelay is how long after a refusal a worker tries another controller.
	controllerRetryDelay = time.Second
)

// heartbeatLoop sends the heartbeats of one worker, one at a time, to one controller until
// that refuses one or does not answer.
type heartbeatLoop struct {
	sim        *simulation
	machine    string
	worker     *simulator.Worker
	controller int // index of the one that it sends to
}

// startHeartbeats sends a worker's heartbeats from when it is up.
func (sim *simulation) startHeartbeats(machine string, worker *simulator.Worker, bootTime time.Duration) {
	loop := &heartbeatLoop{sim: sim, machine: machine, worker: worker, controller: sim.rng.IntN(len(sim.controllers))}
	if bootTime < never {
		sim.after(bootTime+time.Duration(sim.rng.Int64N(int64(sim.size.heartbeatInterval*2/3))), loop.sendNext)
	}
}

func (loop *heartbeatLoop) tryNextController() {
	loop.controller = (loop.controller + 1) % len(loop.sim.controllers)
}

// sendNext sends a heartbeat: when the worker resumes, if it hangs.
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
		heartbeatLoop: loop, heartbeat: loop.worker.Heartbeat(sim.now), to: sim.controllers[loop.controller],
		sentAt: sim.now, incarnation: loop.worker.Incarnation,
	}
	exchange.sendCopy()
	exchange.send()
	interval := sim.size.heartbeatInterval*3/4 + time.Duration(sim.rng.Int64N(int64(sim.size.heartbeatInterval/2)))
	sim.after(interval, exchange.intervalOver)
}

// heartbeatExchange is one heartbeat and its answer.
type heartbeatExchange struct {
	*heartbeatLoop
	heartbeat   wire.Heartbeat
	to          *simController
	sentAt      time.Duration
	incarnation uint64 // of the worker
	over        bool   // answered, refused or timed out
	followed    bool   // the next heartbeat does not wait for the interval
}

// sendCopy may send a copy that comes late, to any controller or to the next leader, and
// whose answer nobody waits for.
func (x *heartbeatExchange) sendCopy() {
	sim := x.sim
	if !sim.chance(sim.heartbeatCopyRate) {
		return
	}
	if sim.rng.IntN(3) == 0 {
		sim.heldHeartbeats = append(sim.heldHeartbeats, x.heartbeat)
		return
	}
	sim.after(time.Duration(1+sim.rng.IntN(40))*time.Second, func() {
		sim.controllers[sim.rng.IntN(len(sim.controllers))].heartbeat(&x.heartbeat)
	})
}

// send sends the heartbeat to the controller.
func (x *heartbeatExchange) send() {
	if x.sim.heartbeatsBlockedUntil[x.machine] > x.sim.now {
		return
	}
	for _, d := range x.sim.deliveries(x.machine, x.to.name) {
		x.sim.after(d, func() { x.to.afterPause(x.arrive) })
	}
}

// arrive has the controller take the heartbeat, and sends its answer.
func (x *heartbeatExchange) arrive() {
	sim := x.sim
	reply, ok := x.to.heartbeat(&x.heartbeat)
	if !ok {
		x.refused()
		return
	}
	arrivals := sim.deliveries(x.machine, x.to.name)
	if len(arrivals) == 0 || sim.unreachableUntil[x.machine] > sim.now {
		return
	}
	d := arrivals[0] // a response is read once
	if until := sim.hungUntil[x.machine]; until > sim.now+d {
		d = until - sim.now // it reads the answer when it resumes
	}
	sim.after(d, func() { x.answered(reply) })
}

// refused has the worker try the next controller.
func (x *heartbeatExchange) refused() {
	if x.over || !x.to.alive() {
		return
	}
	x.over, x.followed = true, true
	x.tryNextController()
	x.sim.after(controllerRetryDelay, x.sendNext)
}

// answered has the worker take the answer, if it still waits for it. What that changes is
// reported soon.
func (x *heartbeatExchange) answered(reply wire.HeartbeatReply) {
	sim := x.sim
	if x.over || sim.now-x.sentAt >= heartbeatTimeout || sim.hungUntil[x.machine] > sim.now {
		return
	}
	x.over = true
	x.worker.HandleHeartbeatReply(sim.now, x.sentAt, x.incarnation, reply)
	if len(reply.Commands) > 0 {
		x.followed = true
		sim.after(max(0, x.sentAt+statusChangeDelay-sim.now), x.sendNext)
	}
}

// intervalOver sends the next heartbeat, after the timeout if this one has no answer yet.
func (x *heartbeatExchange) intervalOver() {
	if x.followed {
		return
	}
	if x.over {
		x.sendNext()
		return
	}
	x.sim.after(max(0, x.sentAt+heartbeatTimeout-x.sim.now), func() {
		if !x.over {
			x.over = true
			x.tryNextController()
		}
		x.sendNext()
	})
}
