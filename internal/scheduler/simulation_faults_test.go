package scheduler_test

import "time"

// This file simulates faults.

// injectFaults injects a random fault about every 8 s up to the given time. From then on no
// faults occur, and a minute later the rule checker expects all earlier faults to be over.
func (sim *simulation) injectFaults(until time.Duration) {
	sim.every(8*time.Second, func() {
		if sim.now > until {
			return
		}
		fault := faultContext{
			simulation:  sim,
			controller:  sim.controllers[sim.rng.IntN(len(sim.controllers))],
			machine:     sim.machineNames[sim.rng.IntN(len(sim.machineNames))],
			duration:    time.Duration(1+sim.rng.IntN(20)) * time.Second,
			faultsEndAt: until,
		}
		faultKinds[sim.rng.IntN(len(faultKinds))](fault)
	})
	sim.after(until, func() { sim.faultsActive = false })
	sim.after(until+time.Minute, func() { sim.checker.FaultsEnded(sim.now) })
}

// faultContext has the random targets and the approximate duration of a fault.
type faultContext struct {
	*simulation
	controller  *simController
	machine     string
	duration    time.Duration
	faultsEndAt time.Duration // after it no fault is injected
}

// faultKinds lists the kinds of faults. A kind that is listed twice is twice as frequent.
var faultKinds = [...]func(faultContext){
	faultContext.crashController,
	faultContext.crashAllControllers,
	faultContext.refuseController,
	faultContext.partitionController,
	faultContext.partitionMachine, faultContext.partitionMachine,
	faultContext.startStoreOutage,
	faultContext.disruptCloud,
	faultContext.makeMachineUnreachable, faultContext.makeMachineUnreachable,
	faultContext.isolateLeader,
	faultContext.partitionZone, faultContext.partitionZone,
	faultContext.pauseController, faultContext.pauseController,
	faultContext.hangMachine,
	faultContext.refuseLeaderThenAll, faultContext.refuseLeaderThenAll,
	faultContext.blockHeartbeats,
	faultContext.interruptSpotMachine,
	faultContext.killMachine,
}

func (f faultContext) crashController() {
	f.controller.crash(time.Duration(f.rng.IntN(4000)) * time.Millisecond)
}

func (f faultContext) crashAllControllers() {
	for _, c := range f.controllers {
		c.crash(time.Duration(f.rng.IntN(4000)) * time.Millisecond)
	}
}

// refuseController makes the key-value store refuse the requests of one controller.
func (f faultContext) refuseController() { f.controller.refusedByStoreUntil = f.now + f.duration }

func (f faultContext) partitionController() {
	f.partitionedUntil[f.controller.name] = f.now + f.duration
}

func (f faultContext) partitionMachine() { f.partitionedUntil[f.machine] = f.now + f.duration }

// startStoreOutage makes the key-value store unavailable for half of the duration.
func (f faultContext) startStoreOutage() {
	f.kvStore.StartOutage()
	f.after(f.duration/2, func() { f.kvStore.EndOutage(f.now) })
}

// disruptCloud delays releases in transit, or makes the cloud unavailable.
func (f faultContext) disruptCloud() {
	if f.rng.IntN(2) == 0 {
		f.releasesDelayedUntil = f.now + 4*f.duration
		return
	}
	f.cloudDown = true
	f.after(f.duration, func() { f.cloudDown = false })
}

// makeMachineUnreachable blocks all messages to a machine, while its heartbeats still arrive.
func (f faultContext) makeMachineUnreachable() { f.unreachableUntil[f.machine] = f.now + 2*f.duration }

// isolateLeader partitions every leader from the key-value store and all peers, but not from
// the workers.
func (f faultContext) isolateLeader() {
	for _, c := range f.controllers {
		if c.scheduler != nil {
			c.isolatedUntil = f.now + 2*f.duration
		}
	}
}

// partitionZone partitions a zone from the others, and in half of the cases also the zone's
// controllers from the key-value store and all peers.
func (f faultContext) partitionZone() {
	zone := []string{"a", "b"}[f.rng.IntN(2)]
	f.zonePartitionedUntil[zone] = f.now + 2*f.duration
	if f.rng.IntN(2) != 0 {
		return
	}
	for _, c := range f.controllers {
		if f.zoneOf(c.name) == zone {
			c.isolatedUntil = f.now + 2*f.duration
		}
	}
}

// pauseController pauses a controller's process, usually the leader's, while its clocks
// continue.
func (f faultContext) pauseController() {
	paused := f.controller
	for _, c := range f.controllers {
		if c.scheduler != nil && f.rng.IntN(4) > 0 {
			paused = c
		}
	}
	paused.pausedUntil = f.now + []time.Duration{f.duration / 4, 2 * f.duration}[f.rng.IntN(2)]
}

func (f faultContext) hangMachine() { f.hungUntil[f.machine] = f.now + f.duration }

// refuseLeaderThenAll makes the key-value store refuse the leader's requests. In half of the
// cases an outage follows that is longer than the cancellation bound, while users cancel jobs.
func (f faultContext) refuseLeaderThenAll() {
	leaderRefusedFor := time.Duration(f.rng.IntN(4000)) * time.Millisecond
	for _, c := range f.controllers {
		if c.scheduler != nil {
			c.refusedByStoreUntil = f.now + leaderRefusedFor
		}
	}
	if f.rng.IntN(2) == 0 && f.now+90*time.Second < f.faultsEndAt {
		f.after(leaderRefusedFor, func() { f.kvStore.StartOutage() })
		f.after(leaderRefusedFor+f.size.cancellationBound+f.duration, func() { f.kvStore.EndOutage(f.now) })
	}
}

// blockHeartbeats drops the heartbeats of a machine, while direct calls still reach it.
func (f faultContext) blockHeartbeats() {
	f.heartbeatsBlockedUntil[f.machine] = f.now + 2*f.duration
}

// interruptSpotMachine makes the cloud reclaim a spot machine, in two of three cases after a
// notice.
func (f faultContext) interruptSpotMachine() {
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

// killMachine ends a machine in half of the cases. The cloud still lists the machine as running
// for some time.
func (f faultContext) killMachine() {
	if f.rng.IntN(2) == 0 {
		f.workers[f.machine].Terminate()
	}
}
