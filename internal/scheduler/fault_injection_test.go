package scheduler_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/wire"
)

// The simulation's checks of waiting jobs can fail: if all controllers are paused after the
// faults have ended, a job waits beside free capacity and no poll of it is answered.
func TestSimulationNoticesWaitingAndForgottenJobs(t *testing.T) {
	sim := newSimulation(5)
	sim.faultsActive = false
	sim.checker.FaultsEnded(0)
	sim.run(10 * time.Second)

	sim.submit(&wire.Job{ID: "run-000001", Class: "c", Team: "red", Shape: wire.ShapeArray, Priority: wire.PriorityNormal, Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1, EstimatedRunS: 5})
	for _, c := range sim.controllers {
		c.pausedUntil = 10 * time.Minute
	}
	sim.every(5*time.Second, func() { sim.pollJob("run-000001") })
	sim.run(115 * time.Second)

	violations := strings.Join(sim.checker.Violations, "\n")
	for _, violation := range []string{"left_waiting: run-000001", "forgotten: no question about run-000001"} {
		if !strings.Contains(violations, violation) {
			t.Errorf("%q is not among the violations: %s", violation, violations)
		}
	}
}

// The tasks of a machine that hangs stay on it, also past its lease, until its worker resumes.
// If the lease has expired by then, the worker kills them and begins a new incarnation.
func TestHungMachineKeepsItsTasksUntilItsWorkerResumes(t *testing.T) {
	const lease = 12 * time.Second
	for _, hungFor := range []time.Duration{3 * time.Second, 11 * time.Second, 13 * time.Second, 50 * time.Second} {
		t.Run(hungFor.String(), func(t *testing.T) {
			checker := simulator.NewRuleChecker(map[string]float64{"red": 8}, time.Minute)
			j := &wire.Job{ID: "run-000001", Team: "red", Shape: wire.ShapeArray, Tasks: 1, CPUs: 1, Image: "img"}
			checker.AddJob(j)
			machineType := wire.MachineType{Name: "small", CPUs: 8, MemoryGB: 8, FetchGBPerS: 1}
			worker := simulator.NewWorker(0, simulator.WorkerConfig{
				Name: "n-000001", MachineType: machineType, Zone: "a", LeaseDuration: lease, Checker: checker,
				RunTime: func(string) time.Duration { return 2 * time.Second },
			})
			worker.HandleHeartbeatReply(0, 0, 1, wire.HeartbeatReply{FencingToken: 1, Commands: []wire.Command{{Verb: wire.VerbRun, Task: "run-000001/0", Attempt: 1}}})

			hungAt := time.Second
			resumedAt := hungAt + hungFor
			for now := hungAt; now <= resumedAt; now += 100 * time.Millisecond {
				worker.Pause(now)
				if checker.PlacedTasks(j.ID) != 1 {
					t.Fatalf("the task is gone after the machine hung for %v", now-hungAt)
				}
			}
			worker.Advance(resumedAt + time.Millisecond)

			if checker.IsCompleted("run-000001/0") {
				t.Fatal("the task ran on while the machine hung")
			}
			leaseExpired := resumedAt+time.Millisecond > lease
			if killed := checker.PlacedTasks(j.ID) == 0; killed != leaseExpired || (worker.Incarnation == 2) != leaseExpired {
				t.Fatalf("tasks killed: %v, incarnation: %d", killed, worker.Incarnation)
			}
		})
	}
}

// runServicesWithFault runs a simulation of eight services, injects the fault after 20 to
// 22 s, and returns the rule violations.
func runServicesWithFault(seed uint64, until time.Duration, fault func(sim *simulation)) string {
	sim := newSimulation(seed)
	for i := range 8 {
		sim.after(time.Duration(i)*100*time.Millisecond, func() {
			sim.submit(&wire.Job{
				ID: fmt.Sprintf("run-%06d", i), Class: "c", Team: []string{"red", "blue"}[i%2], Shape: wire.ShapeService,
				Priority: wire.PriorityProduction, Tasks: 3, CPUs: 1, MemoryGB: 2, Image: "img", ImageGB: 1,
			})
		})
	}
	sim.after(20*time.Second+sim.randomDuration(0, 2000), func() { fault(sim) })
	sim.run(until)
	return strings.Join(sim.checker.Violations, "\n")
}

// Cancellations are enforced on machines whose release is delayed: machines hang for less
// than a lease and are released, the release call is delayed for longer than the cancellation
// bound, and the machines resume and send heartbeats while jobs that run there are cancelled.
func TestCancellationDuringDelayedReleaseOfHungMachine(t *testing.T) {
	for seed := range uint64(15) {
		violations := runServicesWithFault(seed, 140*time.Second, func(sim *simulation) {
			sim.releasesDelayedUntil = sim.now + 70*time.Second
			resumedAt := sim.now + sim.randomDuration(7500, 10_500)
			for _, name := range sim.machineNames {
				if sim.workers[name].HasJob("run-000003") || sim.workers[name].HasJob("run-000002") {
					sim.hungUntil[name] = resumedAt
				}
			}
			sim.after(sim.randomDuration(11_000, 16_000), sim.cancelHalfOfServices)
		})
		if violations != "" {
			t.Fatalf("seed %d: %s", seed, violations)
		}
	}
}

// Machines hang past their lease, and their release is delayed. Their tasks may start
// elsewhere only after the release is carried out or the workers have resumed.
func TestTasksOfHungMachinesRestartOnlyAfterProof(t *testing.T) {
	for seed := range uint64(15) {
		violations := runServicesWithFault(seed, 100*time.Second, func(sim *simulation) {
			sim.releasesDelayedUntil = sim.now + sim.randomDuration(25_000, 40_000)
			for _, name := range sim.machineNames {
				if sim.workers[name].HasJob("run-000003") {
					sim.hungUntil[name] = sim.now + sim.randomDuration(13_000, 35_000)
				}
			}
		})
		if violations != "" {
			t.Fatalf("seed %d: %s", seed, violations)
		}
	}
}

// Provisioning requests whose replies were lost create machines that no leader expects.
// Machines that never come up are released, although no reply named them, and the others are
// adopted, so that no unused machine is charged for long.
func TestUnexpectedMachinesAreAdoptedOrReleased(t *testing.T) {
	for seed := range uint64(10) {
		sim := newSimulation(seed)
		sim.run(10 * time.Second)
		var unexpected []string
		for i := range 4 {
			sim.after(sim.randomDuration(0, 20_000), func() {
				bootTime := []time.Duration{neverBoots, 40 * time.Second, sim.randomDuration(1, 2000), neverBoots}[i]
				unexpected = append(unexpected, sim.bootMachineAfter(bootTime, sim.machineTypes[i%2], "a", i%2 == 0))
			})
		}
		sim.run(150 * time.Second)

		known := sim.knownMachines()
		for _, name := range unexpected {
			machine := sim.lifecycles[name]
			if machine.removedAt == 0 && (machine.upAt > sim.now || !known[name]) {
				t.Errorf("seed %d: unexpected machine %s, up at %v, is neither adopted nor released %v after it was provisioned", seed, name, machine.upAt, sim.now-machine.provisionedAt)
			}
		}
	}
}

// knownMachines returns the names of the machines that the leaders know.
func (sim *simulation) knownMachines() map[string]bool {
	known := map[string]bool{}
	for _, c := range sim.controllers {
		if c.scheduler == nil {
			continue
		}
		for _, m := range c.scheduler.View().Machines(sim.schedulerNow(), "", 500) {
			known[m.Name] = true
		}
	}
	return known
}

// maxStartAfterCancellation bounds how long after the confirmation of its job's cancellation a
// task may still start without faults, because its start command was in flight: the leader's
// watch shows the cancellation up to 125 ms later, and the stop takes up to 20 ms to arrive.
const maxStartAfterCancellation = 150 * time.Millisecond

// Without faults, only tasks whose start command was in flight start after the confirmation
// of their job's cancellation. Four one-task jobs arrive per second, and a quarter of them
// are cancelled, mostly as they start.
func TestNoStartAfterConfirmedCancellation(t *testing.T) {
	starts := 0
	for seed := range uint64(8) {
		sim := newSimulation(seed)
		sim.faultsActive = false
		for i := range 160 {
			sim.after(time.Duration(i)*250*time.Millisecond, func() {
				id, image := fmt.Sprintf("run-%06d", i), "img"
				if i%4 == 0 {
					image = fmt.Sprintf("img-%d", i) // on no machine yet, so it is fetched first
				}
				sim.submit(&wire.Job{ID: id, Class: "c", Team: []string{"red", "blue"}[i%2], Shape: wire.ShapeArray, Priority: wire.PriorityNormal,
					Tasks: 1, CPUs: 0.5, MemoryGB: 1, Image: image, ImageGB: 1, EstimatedRunS: 8})
				if i%4 == 0 {
					sim.after(sim.randomDuration(0, 3500), func() { sim.cancel(id) })
				}
			})
		}
		sim.run(100 * time.Second)
		starts += sim.checker.Starts
		if len(sim.checker.Violations) > 0 {
			t.Errorf("seed %d: %s", seed, sim.checker.Violations[0])
		}
		for _, lateStart := range sim.checker.LateStarts {
			if lateStart.AfterConfirmation > maxStartAfterCancellation {
				t.Errorf("seed %d: %s starts %v after its job was confirmed as cancelled", seed, lateStart.Task, lateStart.AfterConfirmation)
			}
		}
	}
	if starts < 400 {
		t.Errorf("%d starts are too few for this test; want at least 400", starts)
	}
	t.Logf("%d starts", starts)
}
