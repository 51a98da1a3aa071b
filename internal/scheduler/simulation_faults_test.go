package scheduler_test

import "time"

// The faults of the simulation.

// injectFaults injects a fault every few seconds up to the given time. Then no faults occur
// any more, and a minute later all that began before is over.
func (sim *simulation) injectFaults(until time.Duration) {
	sim.every(8*time.Second, func() {
		if sim.now > until {
			return
		}
		fault := injectedFault{
			simulation: sim,
			controller: sim.controllers[sim.rng.IntN(len(sim.controllers))],
			machine:    sim.machineNames[sim.rng.IntN(len(sim.machineNames))],
			duration:   time.Duration(1+sim.rng.IntN(20)) * time.Second,
			lastFault:  until,
		}
		injectedFaults[sim.rng.IntN(len(injectedFaults))](fault)
	})
	sim.after(until, func() { sim.faultsActive = false })
	sim.after(until+time.Minute, func() { sim.checker.FaultsEnded(sim.now) })
}

// injectedFault is what a fault may strike, and for about how long.
type injectedFault struct {
	*simulation
	controller *simController
	machine    string
	duration   time.Duration
	lastFault  time.Duration // when faults end
}

// injectedFaults are the kinds of faults. Those that are listed twice are twice as frequent.
var injectedFaults = [...]func(injectedFault){
	injectedFault.crashController,
	injectedFault.crashAllControllers,
	injectedFault.refuseController,
	injectedFault.partitionController,
	injectedFault.partitionMachine, injectedFault.partitionMachine,
	injectedFault.stopStore,
	injectedFault.disturbCloud,
	injectedFault.makeUnreachable, injectedFault.makeUnreachable,
	injectedFault.isolateLeader,
	injectedFault.partitionZone, injectedFault.partitionZone,
	injectedFault.pauseController, injectedFault.pauseController,
	injectedFault.hangMachine,
	injectedFault.refuseLeaderThenAll, injectedFault.refuseLeaderThenAll,
	injectedFault.blockHeartbeats,
	injectedFault.interruptSpotMachine,
	injectedFault.killMachine,
}

func (f injectedFault) crashController() {
	f.controller.crash(time.Duration(f.rng.IntN(4000)) * time.Millisecond)
}

func (f injectedFault) crashAllControllers() {
	for _, c := range f.controllers {
		c.crash(time.Duration(f.rng.IntN(4000)) * time.Millisecond)
	}
}

// refuseController has the key-value store refuse one controller.
func (f injectedFault) refuseController() { f.controller.refusedUntil = f.now + f.duration }

func (f injectedFault) partitionController() {
	f.partitionedUntil[f.controller.name] = f.now + f.duration
}

func (f injectedFault) partitionMachine() { f.partitionedUntil[f.machine] = f.now + f.duration }

// stopStore stops the key-value store for a while.
func (f injectedFault) stopStore() {
	f.kvStore.StartOutage()
	f.after(f.duration/2, func() { f.kvStore.EndOutage(f.now) })
}

// disturbCloud delays releases, or stops the cloud.
func (f injectedFault) disturbCloud() {
	if f.rng.IntN(2) == 0 {
		f.releasesDelayedUntil = f.now + 4*f.duration
		return
	}
	f.cloudDown = true
	f.after(f.duration, func() { f.cloudDown = false })
}

// makeUnreachable has a machine receive nothing while its heartbeats arrive.
func (f injectedFault) makeUnreachable() { f.unreachableUntil[f.machine] = f.now + 2*f.duration }

// isolateLeader takes the key-value store and all peers from whoever leads, not the workers.
func (f injectedFault) isolateLeader() {
	for _, c := range f.controllers {
		if c.scheduler != nil {
			c.partitionedUntil = f.now + 2*f.duration
		}
	}
}

// partitionZone parts a zone from the others, and in half of the cases its controllers from
// everything.
func (f injectedFault) partitionZone() {
	zone := []string{"a", "b"}[f.rng.IntN(2)]
	f.zonePartitionedUntil[zone] = f.now + 2*f.duration
	if f.rng.IntN(2) != 0 {
		return
	}
	for _, c := range f.controllers {
		if f.zoneOf(c.name) == zone {
			c.partitionedUntil = f.now + 2*f.duration
		}
	}
}

// pauseController pauses a process, mostly the leader's, while its clocks run on.
func (f injectedFault) pauseController() {
	paused := f.controller
	for _, c := range f.controllers {
		if c.scheduler != nil && f.rng.IntN(4) > 0 {
			paused = c
		}
	}
	paused.pausedUntil = f.now + []time.Duration{f.duration / 4, 2 * f.duration}[f.rng.IntN(2)]
}

func (f injectedFault) hangMachine() { f.hungUntil[f.machine] = f.now + f.duration }

// refuseLeaderThenAll has the key-value store refuse the leader, and then, in half of the
// cases, everybody for longer than the bound on cancellations, while users cancel.
func (f injectedFault) refuseLeaderThenAll() {
	leaderOnly := time.Duration(f.rng.IntN(4000)) * time.Millisecond
	for _, c := range f.controllers {
		if c.scheduler != nil {
			c.refusedUntil = f.now + leaderOnly
		}
	}
	if f.rng.IntN(2) == 0 && f.now+90*time.Second < f.lastFault {
		f.after(leaderOnly, func() { f.kvStore.StartOutage() })
		f.after(leaderOnly+f.size.cancellationBound+f.duration, func() { f.kvStore.EndOutage(f.now) })
	}
}

// blockHeartbeats lets a machine send no heartbeats, while direct calls reach it.
func (f injectedFault) blockHeartbeats() {
	f.heartbeatsBlockedUntil[f.machine] = f.now + 2*f.duration
}

// interruptSpotMachine has the cloud take a spot machine, mostly after a notice.
func (f injectedFault) interruptSpotMachine() {
	worker := f.workers[f.machine]
	if !worker.Spot || worker.Terminated {
		return
	}
	notice := time.Duration(0)
	if f.rng.IntN(3) > 0 {
		notice = f.duration
		worker.AnnounceInterruption(f.now + notice)
	}
	f.after(notice, func() { f.removeMachine(f.machine) })
}

// killMachine ends a machine, in half of the cases; it is listed as running for a while.
func (f injectedFault) killMachine() {
	if f.rng.IntN(2) == 0 {
		f.workers[f.machine].Terminate()
	}
}
