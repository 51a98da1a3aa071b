package scheduler_test

import (
	"fmt"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// The cloud of the simulation: the machines, their list, and requests of leaders to
// provision and release them.

// machineLifecycle is what the cloud knows of a machine. Times are 0 if it has not come to
// that.
type machineLifecycle struct {
	provisionedAt time.Duration
	upAt          time.Duration // when its worker starts; after never, if it does not
	diedAt        time.Duration // by itself
	removedAt     time.Duration // released or taken by the cloud
}

// never is longer than any simulation.
const never = 1 << 60 * time.Nanosecond

// bootMachine adds a machine. Some are up at once and most after about the usual time;
// while faults are active, some take several times that, or never come up.
func (sim *simulation) bootMachine(machineType wire.MachineType, zone string, spot bool) string {
	usual := time.Duration(machineType.BootS * float64(time.Second))
	bootTime := time.Duration((0.6 + 0.9*sim.rng.Float64()) * float64(usual))
	switch x := sim.rng.IntN(20); {
	case x < 6:
		bootTime = time.Duration(sim.rng.IntN(1500)) * time.Millisecond
	case x == 6 && sim.faultsActive:
		bootTime *= 4
	case x == 7 && sim.faultsActive && sim.rng.IntN(2) == 0:
		bootTime = never
	}
	return sim.bootMachineIn(bootTime, machineType, zone, spot)
}

// bootMachineIn adds a machine that is up after the given time.
func (sim *simulation) bootMachineIn(bootTime time.Duration, machineType wire.MachineType, zone string, spot bool) string {
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

// taskDuration draws how long a task runs: mostly seconds, so that some tasks of a job end
// far apart from the others.
func (sim *simulation) taskDuration() time.Duration {
	if sim.rng.IntN(8) == 0 {
		return time.Duration(30+sim.rng.IntN(25)) * time.Second
	}
	return time.Duration(2+sim.rng.IntN(15)) * time.Second
}

// removeMachine ends a machine that is released or taken by the cloud.
func (sim *simulation) removeMachine(name string) {
	if lifecycle := sim.lifecycles[name]; lifecycle.removedAt == 0 {
		lifecycle.removedAt = sim.now
	}
	sim.workers[name].Terminate()
}

const (
	// machineListDelay is by how much the cloud's list lags behind, at the least.
	machineListDelay = 5 * time.Second
	// deathNoticedAfter is for how long a machine that died is listed as running.
	deathNoticedAfter = 30 * time.Second
)

// machineList is the machine list as it was a while ago, at times twice as long ago, so that
// one may be older than the one before: new machines are missing or still starting, and
// removed ones are there.
func (sim *simulation) machineList() []wire.ListedMachine {
	lag := machineListDelay
	if sim.rng.IntN(4) == 0 {
		lag += time.Duration(sim.rng.Int64N(int64(machineListDelay)))
	}
	at := sim.now - lag
	var list []wire.ListedMachine
	for _, name := range sim.machineNames {
		worker, lifecycle := sim.workers[name], sim.lifecycles[name]
		if worker.Terminated && lifecycle.removedAt == 0 && lifecycle.diedAt == 0 {
			lifecycle.diedAt = sim.now // noticed now
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

// stateAt is the state in which the cloud listed the machine at that time.
func (l *machineLifecycle) stateAt(at time.Duration) string {
	switch {
	case l.upAt > max(at, 0):
		return wire.MachineStarting
	case l.diedAt > 0 && l.diedAt+deathNoticedAfter <= at:
		return wire.MachineFailed
	default:
		return wire.MachineRunning
	}
}

// provision takes a leader's request for machines.
func (c *simController) provision(request wire.ProvisionRequest) {
	sim, whileLeading := c.sim, c.whileLeading()
	answer := func(result scheduler.ProvisionResult, names []string) {
		whileLeading(func(s *scheduler.Scheduler) { s.ProvisionEnded(sim.schedulerNow(), request.RequestID, result, names) })
	}
	sim.after(sim.linkDelay(), func() {
		if sim.cloudDown {
			answer(scheduler.ProvisionRefused, nil)
			return
		}
		if sim.chance(0.05) {
			// No answer, and it is carried out late, when nobody expects it.
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
		// The first heartbeats of machines that are up at once come before the answer.
		sim.after(sim.linkDelay(), func() { answer(result, names) })
	})
}

// provisionMachines carries a request out, once: a repeated one gives the same machines. One
// that found no capacity may be repeated.
func (sim *simulation) provisionMachines(request wire.ProvisionRequest) []string {
	if names, repeated := sim.provisioned[request.RequestID]; repeated {
		return names
	}
	var names []string
	free := sim.size.maxPerKind - sim.machinesOfSameKind(request)
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

// machinesOfSameKind counts the live machines in the request's zone, spot or ordinary ones as
// it has them. As at a cloud, idle machines of one zone take no capacity in another: else a
// job that needs both would wait for ever.
func (sim *simulation) machinesOfSameKind(request wire.ProvisionRequest) int {
	live := 0
	for name, worker := range sim.workers {
		if sim.lifecycles[name].removedAt == 0 && !worker.Terminated && worker.Zone == request.Zone && worker.Spot == request.Spot {
			live++
		}
	}
	return live
}

// release takes a leader's request to release machines.
func (c *simController) release(names []string) {
	sim, whileLeading := c.sim, c.whileLeading()
	answer := func(result scheduler.ReleaseResult) {
		whileLeading(func(s *scheduler.Scheduler) { s.ReleaseEnded(sim.schedulerNow(), names, result) })
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
		case sim.cloudFakesReleases:
			answer(scheduler.ReleaseDone)
		case sim.now < sim.releasesDelayedUntil:
			sim.after(sim.releasesDelayedUntil-sim.now+sim.linkDelay(), remove)
			sim.after(2*time.Second, func() { answer(scheduler.ReleaseUnknown) })
		case sim.chance(0.1): // no answer, and it is carried out late
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
