package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Idle machines that came up before the term have no record. A new leader, which learns of them
// from the cloud's list, must not release them as machines that never came up.
func TestIdleMachinesSurviveFailover(t *testing.T) {
	h := newHarness(t)
	h.scheduler.MachinesListed(h.clock(), []wire.ListedMachine{{Name: "n-1", Address: "n-1:1", Type: "box", Zone: "a", State: wire.MachineRunning, AgeS: 900}})
	h.advance(2 * time.Second)
	if len(h.releases) != 0 {
		t.Fatalf("released: %v", h.releases)
	}
	h.heartbeat("n-1")
	h.advance(30*time.Second, "n-1")
	if len(h.releases) != 0 {
		t.Fatalf("released although it sends heartbeats: %v", h.releases)
	}
}

// The tasks of an unresponsive machine are placed again only after the cloud has answered its
// release; a refused release changes nothing.
func TestTasksOfUnresponsiveMachineRestartAfterItsRelease(t *testing.T) {
	h := newHarness(t)
	machines := []string{"n-1", "n-2", "n-6"}
	h.bringUp(machines...)
	h.submit(wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1, Shape: wire.ShapeService, Priority: wire.PriorityProduction})
	unresponsive := h.pendingCalls[0].Machine
	h.answerAll(CallExecuted)
	others := slices.DeleteFunc(machines, func(name string) bool { return name == unresponsive })
	loseCalls := func(seconds int) {
		t.Helper()
		for range seconds {
			h.advance(time.Second, others...)
			h.answerAll(CallLost)
		}
	}

	loseCalls(15)
	if len(h.releases) != 1 || h.releases[0][0] != unresponsive {
		t.Fatalf("released: %v", h.releases)
	}
	if starts := h.startCommands(); len(starts) != 0 {
		t.Fatalf("placed again before the release was answered: %v", starts)
	}

	// The machine recovers before the cloud refuses the release, and is not released.
	h.heartbeat(unresponsive, h.runningTasks(unresponsive)...)
	h.scheduler.ReleaseEnded(h.clock(), h.releases[0], ReleaseRefused)
	h.releases = nil
	h.advance(2*time.Second, others...)
	if len(h.releases) != 0 {
		t.Fatalf("released though it has sent a heartbeat: %v", h.releases)
	}

	loseCalls(10)
	if len(h.releases) != 1 || len(h.startCommands()) != 0 {
		t.Fatalf("after a refused release: %v, %v", h.releases, h.startCommands())
	}
	h.scheduler.ReleaseEnded(h.clock(), h.releases[0], ReleaseDone)
	h.advance(time.Second, others...)
	if starts := h.startCommands(); len(starts) != 1 {
		t.Fatalf("not placed again after the release: %v", starts)
	}
}

// A machine that misses heartbeats and leaves status probes unanswered is released long before
// its lease must have expired, since its tasks could not start elsewhere until then. A machine
// that answers the probes is not released, nor is one whose probes are still in flight, no
// matter how many it left unanswered before its last heartbeat.
func TestMachineWithUnansweredProbesIsReleasedEarly(t *testing.T) {
	h := newHarness(t)
	machines := []string{"n-1", "n-2", "n-3", "n-4", "n-5", "n-6"}
	h.bringUp(machines...)
	h.submit(wire.Job{ID: "run-000001", Tasks: 3, CPUs: 5})
	var busy []string
	for _, m := range h.scheduler.cluster.sortedMachines() {
		if len(m.tasks) > 0 {
			busy = append(busy, m.name)
		}
	}
	if len(busy) != 3 {
		t.Fatalf("tasks on %v", busy)
	}
	h.answerAll(CallExecuted)
	answering, unanswering, inFlight := busy[0], busy[1], busy[2]
	h.scheduler.cluster.machines[inFlight].directCalls.consecutiveUnanswered = 5 // before its last heartbeat
	idle := slices.DeleteFunc(machines, func(name string) bool { return slices.Contains(busy, name) })

	startedAt := h.now
	for h.now-startedAt < h.scheduler.settings.WorkerLease*3/4 {
		h.advance(tuning.TickInterval, idle...)
		calls := h.pendingCalls
		h.pendingCalls = nil
		for _, call := range calls {
			switch call.Machine {
			case answering:
				h.answer(call, CallExecuted)
			case inFlight:
				h.pendingCalls = append(h.pendingCalls, call)
			default:
				h.answer(call, CallLost)
			}
		}
	}
	if len(h.releases) != 1 || len(h.releases[0]) != 1 || h.releases[0][0] != unanswering {
		t.Errorf("released %v, want only %s", h.releases, unanswering)
	}
}

// Heartbeat replies keep a machine alive until its release is answered, which may take long.
// Each reply stops the cancelled tasks, whether they were cancelled before the release or
// during it.
func TestReleasingMachineStillStopsCancelledTasks(t *testing.T) {
	for _, cancelledBefore := range []bool{true, false} {
		t.Run(fmt.Sprintf("cancelled_before=%v", cancelledBefore), func(t *testing.T) {
			h := newHarness(t)
			h.bringUp("n-1")
			h.submit(wire.Job{ID: "run-000001", Tasks: 3, CPUs: 1})
			h.answerAll(CallExecuted)
			h.heartbeat("n-1", h.runningTasks("n-1")...)
			cancel := func() {
				h.scheduler.Cancelled(h.clock(), []string{"run-000001"})
				h.settle()
			}

			if cancelledBefore {
				cancel()
				h.answerAll(CallLost)
			}
			m := h.scheduler.cluster.machines["n-1"]
			m.cloud.failed = true // as the cloud's list shows it
			h.advance(2*h.scheduler.settings.HeartbeatInterval + tuning.TickInterval)
			if m.phase != machineReleasing {
				t.Fatal("not released")
			}
			h.scheduler.ReleaseEnded(h.clock(), []string{"n-1"}, ReleaseUnknown)
			if !cancelledBefore {
				cancel()
			}
			h.pendingCalls = nil

			reply := h.heartbeat("n-1", h.runningTasks("n-1")...)
			if stopped := stoppedTasks(reply); len(stopped) != 3 {
				t.Errorf("reply renews the lease and stops %d of 3 cancelled tasks", len(stopped))
			}
		})
	}
}

// Each reply that renews the lease of a machine with cancelled tasks carries their stops, since
// it may be the last reply that arrives. That holds right after another stop, which may be
// lost, and under a new leader that has not yet received a heartbeat of the machine under its
// token.
func TestEveryLeaseRenewalStopsCancelledTasks(t *testing.T) {
	for _, recovered := range []bool{false, true} {
		t.Run(fmt.Sprintf("recovered=%v", recovered), func(t *testing.T) {
			h := newHarness(t)
			h.bringUp("n-1")
			job := wire.Job{ID: "run-000001", Tasks: 3, CPUs: 1, Team: "red", Shape: wire.ShapeArray, Priority: wire.PriorityNormal, Image: "img"}
			h.submit(job)
			h.answerAll(CallExecuted)
			running, token := h.runningTasks("n-1"), h.fencingToken("n-1")

			if recovered {
				cancelled := records.Job{Job: job, Cancelled: true}
				h = newHarnessWith(t, harnessConfig{liveJobs: map[string]*LiveJob{job.ID: {Record: &cancelled, ModRevision: 90}}, records: storedBatches(h.items)})
				h.sequences["n-1"] = 100
			} else {
				h.scheduler.Cancelled(h.clock(), []string{job.ID})
				h.settle()
			}
			if len(running) != 3 || len(h.pendingCalls) != 1 {
				t.Fatalf("%d tasks, %d direct calls", len(running), len(h.pendingCalls))
			}

			for range 4 {
				h.now += tuning.StopResendInterval / 8
				reply, ok := h.scheduler.Heartbeat(h.clock(), h.newHeartbeat("n-1", token, running...))
				if stops := len(stoppedTasks(reply)); !ok || stops != 3 {
					t.Errorf("a reply renews the lease and stops %d of 3 cancelled tasks", stops)
				}
			}
		})
	}
}

// stoppedTasks returns the tasks that a heartbeat reply stops.
func stoppedTasks(reply wire.HeartbeatReply) map[string]bool {
	stopped := map[string]bool{}
	for _, command := range reply.Commands {
		if command.Verb == wire.VerbStop {
			stopped[command.Task] = true
		}
	}
	return stopped
}
