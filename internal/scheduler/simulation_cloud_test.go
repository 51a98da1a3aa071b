package scheduler_test

import (
	"fmt"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// This file simulates the cloud: the machines, the machine list, and the leaders' requests to
// provision and release machines.

// machineLifecycle is what the cloud knows about a machine. The time of an event that has not
// happened is 0.
type machineLifecycle struct {
	provisionedAt time.Duration
	upAt          time.Duration // when its worker starts; at least neverBoots if it does not
	diedAt        time.Duration // when the cloud noticed that the machine ended without a release
	removedAt     time.Duration // when it was released, or reclaimed by the cloud
}

// neverBoots is the boot time of a machine that does not come up: longer than any simulation.
const neverBoots = 1 << 60 * time.Nanosecond

// bootMachine adds a machine with a random boot time. Most machines boot in 0.6 to 1.5 times
// the typical time of their type, some within 1.5 s. While faults are active, some take four
// times as long, and a few never come up.
func (sim *simulation) bootMachine(machineType wire.MachineType, zone string, spot bool) string {
	typicalBootTime := time.Duration(machineType.BootS * float64(time.Second))
	bootTime := time.Duration((0.6 + 0.9*sim.rng.Float64()) * float64(typicalBootTime))
	switch x := sim.rng.IntN(20); {
	case x < 6:
		bootTime = time.Duration(sim.rng.IntN(1500)) * time.Millisecond
	case x == 6 && sim.faultsActive:
		bootTime *= 4
	case x == 7 && sim.faultsActive && sim.rng.IntN(2) == 0:
		bootTime = neverBoots
	}
	return sim.bootMachineAfter(bootTime, machineType, zone, spot)
}

// bootMachineAfter adds a machine that is up after bootTime.
func (sim *simulation) bootMachineAfter(bootTime time.Duration, machineType wire.MachineType, zone string, spot bool) string {
	name := fmt.Sprintf("n-%06d", len(sim.machineNames))
	sim.machineNames = append(sim.machineNames, name)
	sim.lifecycles[name] = &machineLifecycle{provisionedAt: sim.now, upAt: sim.now + bootTime}
	sim.faultyMachines[name] = sim.rng.Float64() < 0.1
	// Clocks of different machines drift apart by up to 0.05%.
	lease := sim.workerLease + time.Duration((sim.rng.Float64()-0.5)*0.001*float64(sim.workerLease))
	worker := simulator.NewWorker(sim.now+bootTime, simulator.WorkerConfig{
		Name: name, MachineType: machineType, Zone: zone, Spot: spot, LeaseDuration: lease, Checker: sim.checker,
		RunTime:   func(string) time.Duration { return sim.taskDuration() },
		TaskFails: func(string) bool { return sim.faultsActive && sim.faultyMachines[name] && sim.rng.Float64() < 0.5 },
	})
	sim.workers[name] = worker
	sim.startHeartbeats(name, worker, bootTime)
	return name
}

// taskDuration draws how long a task runs: mostly 2 to 16 s, and one in eight 30 to 54 s, so
// that some tasks of a job end long after the others.
func (sim *simulation) taskDuration() time.Duration {
	if sim.rng.IntN(8) == 0 {
		return time.Duration(30+sim.rng.IntN(25)) * time.Second
	}
	return time.Duration(2+sim.rng.IntN(15)) * time.Second
}

// removeMachine ends a machine that is released, or reclaimed by the cloud.
func (sim *simulation) removeMachine(name string) {
	if lifecycle := sim.lifecycles[name]; lifecycle.removedAt == 0 {
		lifecycle.removedAt = sim.now
	}
	sim.workers[name].Terminate()
}

const (
	// minMachineListLag is the least age of the data in the cloud's machine list.
	minMachineListLag = 5 * time.Second
	// deadMachineListedFor is how long a machine is still listed as running after its death.
	deadMachineListedFor = 30 * time.Second
)

// machineList returns the machine list as of minMachineListLag ago. One list in four is older,
// by up to the same time again, so that a list may be older than the one before. New machines
// are missing or still starting, and removed machines are still listed.
func (sim *simulation) machineList() []wire.ListedMachine {
	lag := minMachineListLag
	if sim.rng.IntN(4) == 0 {
		lag += time.Duration(sim.rng.Int64N(int64(minMachineListLag)))
	}
	at := sim.now - lag
	var list []wire.ListedMachine
	for _, name := range sim.machineNames {
		worker, lifecycle := sim.workers[name], sim.lifecycles[name]
		if worker.Terminated && lifecycle.removedAt == 0 && lifecycle.diedAt == 0 {
			lifecycle.diedAt = sim.now // the cloud notices it now
		}
		if lifecycle.provisionedAt > max(at, 0) || lifecycle.removedAt > 0 && lifecycle.removedAt <= at {
			continue
		}
		list = append(list, wire.ListedMachine{
			Name: name, Address: worker.Address, Type: worker.Type, Zone: worker.Zone, Spot: worker.Spot,
			State: lifecycle.stateAt(at), AgeS: max(0, at-lifecycle.provisionedAt).Seconds(),
		})
	}
	return list
}

// stateAt returns the state in which the cloud lists the machine as of the given time.
func (l *machineLifecycle) stateAt(at time.Duration) string {
	switch {
	case l.upAt > max(at, 0):
		return wire.MachineStarting
	case l.diedAt > 0 && l.diedAt+deadMachineListedFor <= at:
		return wire.MachineFailed
	default:
		return wire.MachineRunning
	}
}

// provision simulates a leader's request to provision machines.
func (c *simController) provision(request wire.ProvisionRequest) {
	sim, ifStillLeading := c.sim, c.ifStillLeading()
	answer := func(result scheduler.ProvisionResult, names []string) {
		ifStillLeading(func(s *scheduler.Scheduler) { s.ProvisionEnded(sim.schedulerNow(), request.RequestID, result, names) })
	}
	sim.after(sim.linkDelay(), func() {
		if sim.cloudDown {
			answer(scheduler.ProvisionRefused, nil)
			return
		}
		if sim.chance(0.05) {
			// The request gets no answer, and is carried out late, when the leader may no
			// longer expect the machines.
			sim.after(time.Duration(sim.rng.IntN(40_000))*time.Millisecond, func() { sim.provisionMachines(request) })
			sim.after(2*time.Second, func() { answer(scheduler.ProvisionUnknown, nil) })
			return
		}
		names := sim.provisionMachines(request)
		result := scheduler.ProvisionDone
		if len(names) == 0 {
			result = scheduler.ProvisionNoCapacity
		}
		if sim.chance(0.1) {
			result, names = scheduler.ProvisionUnknown, nil
		}
		// Machines that are up at once may send heartbeats before the answer arrives.
		sim.after(sim.linkDelay(), func() { answer(result, names) })
	})
}

// provisionMachines provisions the machines of a request. A repeated request returns the same
// machines, unless the earlier one found no capacity: then it is tried again.
func (sim *simulation) provisionMachines(request wire.ProvisionRequest) []string {
	if names, repeated := sim.provisioned[request.RequestID]; repeated {
		return names
	}
	var names []string
	free := sim.size.maxMachinesPerKind - sim.machinesOfSameKind(request)
	for range min(request.Count, free) {
		for _, machineType := range sim.machineTypes {
			if machineType.Name == request.Type {
				names = append(names, sim.bootMachine(machineType, request.Zone, request.Spot))
			}
		}
	}
	if len(names) > 0 {
		sim.provisioned[request.RequestID] = names
	}
	return names
}

// machinesOfSameKind counts the live machines in the request's zone that are spot machines, or
// ordinary ones, like the requested ones. As in a real cloud, idle machines in one zone take no
// capacity in another. Otherwise a job that needs both zones could wait forever.
func (sim *simulation) machinesOfSameKind(request wire.ProvisionRequest) int {
	live := 0
	for name, worker := range sim.workers {
		if sim.lifecycles[name].removedAt == 0 && !worker.Terminated && worker.Zone == request.Zone && worker.Spot == request.Spot {
			live++
		}
	}
	return live
}

// release simulates a leader's request to release machines.
func (c *simController) release(names []string) {
	sim, ifStillLeading := c.sim, c.ifStillLeading()
	answer := func(result scheduler.ReleaseResult) {
		ifStillLeading(func(s *scheduler.Scheduler) { s.ReleaseEnded(sim.schedulerNow(), names, result) })
	}
	remove := func() {
		for _, name := range names {
			sim.removeMachine(name)
		}
	}
	sim.after(sim.linkDelay(), func() {
		switch {
		case sim.cloudDown:
			answer(scheduler.ReleaseRefused)
		case sim.now < sim.cloudUnresponsiveUntil:
			sim.after(tuning.CloudTimeout, func() { answer(scheduler.ReleaseUnknown) })
		case sim.cloudIgnoresReleases:
			answer(scheduler.ReleaseDone)
		case sim.now < sim.releasesDelayedUntil:
			sim.after(sim.releasesDelayedUntil-sim.now+sim.linkDelay(), remove)
			sim.after(2*time.Second, func() { answer(scheduler.ReleaseUnknown) })
		case sim.chance(0.1): // the outcome stays unknown, and the release is carried out late
			sim.after(time.Duration(sim.rng.IntN(15_000))*time.Millisecond, remove)
			answer(scheduler.ReleaseUnknown)
		default:
			remove()
			result := scheduler.ReleaseDone
			if sim.chance(0.1) {
				result = scheduler.ReleaseUnknown
			}
			answer(result)
		}
	})
}
