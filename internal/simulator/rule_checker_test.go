package simulator

import (
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

var fixtureMachineTypes = []wire.MachineType{
	{Name: "small", CPUs: 8, MemoryGB: 32, FetchGBPerS: 1, Zones: []string{"a", "b"}},
	{Name: "gpu", CPUs: 8, GPUs: 4, MemoryGB: 32, FetchGBPerS: 1, Zones: []string{"a"}},
}

// ruleFixture is a checker with an accepted job of three tasks, and machines.
type ruleFixture struct {
	*RuleChecker
	job                            *wire.Job
	machineA, machineB, gpuMachine *Worker
}

const fixtureCancelGrace = 40 * time.Second

func newRuleFixture() *ruleFixture {
	s := &ruleFixture{RuleChecker: NewRuleChecker(map[string]float64{"red": 8}, fixtureCancelGrace)}
	s.SetMachineTypes(fixtureMachineTypes)
	s.job = &wire.Job{ID: "run-000001", Class: "c", Team: "red", Shape: wire.ShapeArray, Priority: wire.PriorityNormal, Tasks: 3, CPUs: 2, MemoryGB: 1, Image: "img", ImageGB: 1}
	s.AddJob(s.job)
	machine := func(name, zone string, mt wire.MachineType) *Worker {
		return NewWorker(0, time.Hour, name, mt, zone, false, s.RuleChecker, func(string) time.Duration { return time.Second }, func(string) bool { return false })
	}
	s.machineA, s.machineB, s.gpuMachine = machine("n-000001", "a", fixtureMachineTypes[0]), machine("n-000002", "b", fixtureMachineTypes[0]), machine("n-000003", "a", fixtureMachineTypes[1])
	s.SubmissionAccepted(0, s.job.ID, submissionFields(s.job, nil))
	return s
}

// submissionFields is a submission as its user sends it, with some fields changed.
func submissionFields(j *wire.Job, change map[string]any) map[string]any {
	f := map[string]any{"uid": j.ID, "docket": j.Class, "crew": j.Team, "shape": j.Shape, "rank": j.Priority, "shifts": j.Tasks,
		"cpus": j.CPUs, "gpus": j.GPUs, "memory_gb": j.MemoryGB, "kit": j.Image, "pull_gb": j.ImageGB, "breeds": nil, "pasture": nil,
		"together": false, "scatter": false, "loaners": false, "reckon_s": 0.0, "tally_s": 0.0, "stow_s": 0.0, "due_s": nil}
	maps.Copy(f, change)
	return f
}

func (s *ruleFixture) task(i int) string { return wire.TaskName(s.job.ID, i) }

// submitSecondJob submits another job and has it accepted.
func (s *ruleFixture) submitSecondJob(change func(j *wire.Job)) *wire.Job {
	j := *s.job
	j.ID = "run-000002"
	change(&j)
	s.AddJob(&j)
	s.SubmissionAccepted(0, j.ID, submissionFields(&j, nil))
	return &j
}

// poll asks about jobs every five seconds; fails says which questions fail.
func (s *ruleFixture) poll(from, to time.Duration, fails func(id string) bool, ids ...string) {
	for now := from; now <= to; now += 5 * time.Second {
		for _, id := range ids {
			s.PollFinished(now, id, !fails(id))
		}
	}
}

func (s *ruleFixture) checkWaiting(from, to time.Duration, placed bool, free ...FreeCapacity) {
	for now := from; now <= to; now += 3 * time.Second {
		s.CheckWaiting(now, free, func(string) bool { return placed })
	}
}

// Every check can fail: a run that is broken on purpose is seen, as that and nothing
// else, and its neighbour, which the page allows, is not.
func TestEveryRuleDetectsItsViolation(t *testing.T) {
	const second = time.Second
	room := FreeCapacity{Type: "small", Zone: "a", CPUs: 4, MemoryGB: 8}
	other := func(id string) func(string) bool { return func(i string) bool { return i == id } }
	all := func(string) bool { return true }
	for _, c := range []struct {
		rule    string
		name    string
		broken  func(s *ruleFixture)
		allowed func(s *ruleFixture)
	}{
		{"ran_twice", "a task starts while it is on another machine",
			func(s *ruleFixture) { s.TaskStarted(0, s.task(0), s.machineA); s.TaskStarted(1, s.task(0), s.machineB) },
			func(s *ruleFixture) {
				s.TaskStarted(0, s.task(0), s.machineA)
				s.TaskRemoved(s.task(0), s.machineA.Name)
				s.TaskStarted(1, s.task(0), s.machineB)
			}},
		{"ran_twice", "a machine hangs past its lease and its task starts elsewhere",
			func(s *ruleFixture) { s.pausePastLease(false) }, func(s *ruleFixture) { s.pausePastLease(true) }},
		{"quota", "a team uses more than its limit",
			func(s *ruleFixture) {
				j := s.submitSecondJob(func(j *wire.Job) { j.CPUs = 3 })
				for i := range 3 {
					s.TaskStarted(0, s.task(i), s.machineA)
				}
				s.TaskStarted(1, wire.TaskName(j.ID, 0), s.machineB)
			},
			func(s *ruleFixture) {
				j := s.submitSecondJob(func(j *wire.Job) { j.CPUs = 2 })
				for i := range 3 {
					s.TaskStarted(0, s.task(i), s.machineA)
				}
				s.TaskStarted(1, wire.TaskName(j.ID, 0), s.machineB)
			}},
		{"wrong_place", "another type than the job allows",
			func(s *ruleFixture) { s.job.MachineTypes = []string{"gpu"}; s.TaskStarted(0, s.task(0), s.machineA) },
			func(s *ruleFixture) { s.job.MachineTypes = []string{"gpu"}; s.TaskStarted(0, s.task(0), s.gpuMachine) }},
		{"wrong_place", "another zone",
			func(s *ruleFixture) { s.job.Zone = "a"; s.TaskStarted(0, s.task(0), s.machineB) },
			func(s *ruleFixture) { s.job.Zone = "a"; s.TaskStarted(0, s.task(0), s.machineA) }},
		{"wrong_place", "a spot machine",
			func(s *ruleFixture) { s.machineA.Spot = true; s.TaskStarted(0, s.task(0), s.machineA) },
			func(s *ruleFixture) {
				s.machineA.Spot, s.job.Spot = true, true
				s.TaskStarted(0, s.task(0), s.machineA)
			}},
		{"wrong_place", "tasks that belong together are apart",
			func(s *ruleFixture) {
				s.job.SameZone = true
				s.TaskStarted(0, s.task(0), s.machineA)
				s.TaskStarted(0, s.task(1), s.machineB)
			},
			func(s *ruleFixture) {
				s.job.SameZone = true
				s.TaskStarted(0, s.task(0), s.machineA)
				s.TaskStarted(0, s.task(1), s.gpuMachine)
			}},
		{"wrong_place", "more than half of the tasks in a zone",
			func(s *ruleFixture) {
				s.job.SpreadZones = true
				for i := range 3 {
					s.TaskStarted(0, s.task(i), s.machineA)
				}
			},
			func(s *ruleFixture) {
				s.job.SpreadZones = true
				s.TaskStarted(0, s.task(0), s.machineA)
				s.TaskStarted(0, s.task(1), s.machineA)
				s.TaskStarted(0, s.task(2), s.machineB)
			}},
		{"ran_cancelled", "a task is on a machine when the time is over",
			func(s *ruleFixture) {
				s.TaskStarted(0, s.task(0), s.machineA)
				s.cancel(second)
				s.CheckCancelled(second + fixtureCancelGrace + 1)
			},
			func(s *ruleFixture) {
				s.TaskStarted(0, s.task(0), s.machineA)
				s.cancel(second)
				s.CheckCancelled(second + fixtureCancelGrace)
			}},
		{"ran_cancelled", "a task starts when the time is over",
			func(s *ruleFixture) {
				s.cancel(second)
				s.TaskStarted(second+fixtureCancelGrace+1, s.task(0), s.machineA)
			},
			func(s *ruleFixture) {
				s.cancel(second)
				s.TaskStarted(second+fixtureCancelGrace, s.task(0), s.machineA)
			}},
		{"ran_cancelled", "a machine hangs for longer than a cancellation has",
			func(s *ruleFixture) {
				s.TaskStarted(0, s.task(0), s.machineA)
				s.cancel(second)
				s.machineA.Pause(2 * second)
				s.machineA.Pause(second + fixtureCancelGrace)
				s.CheckCancelled(second + fixtureCancelGrace + 1)
			},
			func(s *ruleFixture) {
				s.TaskStarted(0, s.task(0), s.machineA)
				s.cancel(second)
				s.machineA.Pause(2 * second)
				s.TaskRemoved(s.task(0), s.machineA.Name) // it was given back
				s.CheckCancelled(second + fixtureCancelGrace + 1)
			}},
		{"forgotten", "an accepted job gets 404",
			func(s *ruleFixture) { s.QueryAnswered(second, 2*second, s.job.ID, "") },
			func(s *ruleFixture) { s.StateConfirmed(second, "run-000009", "") }},
		{"forgotten", "an ended job gets 404",
			func(s *ruleFixture) { s.cancel(second); s.QueryAnswered(2*second, 2*second, s.job.ID, "") },
			func(s *ruleFixture) { s.cancel(second) }},
		{"forgotten", "a repeated submission gets 400",
			func(s *ruleFixture) { s.SubmissionRefused(second, s.job.ID, 400) },
			func(s *ruleFixture) { s.SubmissionRefused(second, "run-000009", 400) }},
		{"forgotten", "a repeated submission gets 422",
			func(s *ruleFixture) { s.SubmissionRefused(second, s.job.ID, 422) },
			func(s *ruleFixture) { s.SubmissionRefused(second, s.job.ID, 503) }},
		{"forgotten", "all polls fail for 90 s while most others are answered",
			func(s *ruleFixture) { s.poll(0, 90*second, other(s.job.ID), s.job.ID, "run-000009", "run-000010") },
			func(s *ruleFixture) { s.poll(0, 85*second, other(s.job.ID), s.job.ID, "run-000009", "run-000010") }},
		{"forgotten", "all polls fail for 90 s while the only other job is answered, not while it fails too",
			func(s *ruleFixture) { s.poll(0, 90*second, other(s.job.ID), s.job.ID, "run-000009") },
			func(s *ruleFixture) { s.poll(0, 200*second, all, s.job.ID, "run-000009") }},
		{"forgotten", "no answer for 75 s once the troubles are over",
			func(s *ruleFixture) { s.FaultsEnded(10 * second); s.poll(10*second, 85*second, all, s.job.ID) },
			func(s *ruleFixture) { s.FaultsEnded(10 * second); s.poll(10*second, 80*second, all, s.job.ID) }},
		{"invented", "nobody submitted the job",
			func(s *ruleFixture) { s.StateConfirmed(second, "run-000009", wire.JobPending) },
			func(s *ruleFixture) { s.StateConfirmed(second, s.job.ID, wire.JobPending) }},
		{"not_done", "a job is called done before all of its tasks are",
			func(s *ruleFixture) { s.completeTasks(2) }, func(s *ruleFixture) { s.completeTasks(3) }},
		{"went_back", "a job that was done is running",
			func(s *ruleFixture) {
				s.completeTasks(3)
				s.QueryAnswered(2*second, 2*second, s.job.ID, wire.JobRunning)
			},
			func(s *ruleFixture) { s.completeTasks(3); s.QueryAnswered(0, 2*second, s.job.ID, wire.JobRunning) }}, // asked before
		{"went_back", "a job that was cancelled is done",
			func(s *ruleFixture) { s.cancel(second); s.completeTasks(3) },
			func(s *ruleFixture) { s.CancelRequested(s.job.ID); s.completeTasks(3) }},
		{"went_back", "a cancelled job is pending at another node",
			func(s *ruleFixture) { s.cancel(second); s.QueryAnswered(second, 2*second, s.job.ID, wire.JobPending) },
			func(s *ruleFixture) { s.cancel(second); s.QueryAnswered(second-1, 2*second, s.job.ID, wire.JobPending) }},
		{"went_back", "a job is cancelled that its user has not cancelled",
			func(s *ruleFixture) { s.StateConfirmed(second, s.job.ID, wire.JobCancelled) },
			func(s *ruleFixture) {
				s.CancelRequested(s.job.ID)
				s.StateConfirmed(second, s.job.ID, wire.JobCancelled)
			}},
		{"nothing_ran", "no task was started",
			func(s *ruleFixture) { s.CheckAnythingRan(second) },
			func(s *ruleFixture) { s.TaskStarted(0, s.task(0), s.machineA); s.CheckAnythingRan(second) }},
		{"left_waiting", "a job waits for 90 s beside room that fits",
			func(s *ruleFixture) { s.FaultsEnded(0); s.checkWaiting(0, 90*second, false, room) },
			func(s *ruleFixture) { s.FaultsEnded(0); s.checkWaiting(0, 87*second, false, room) }},
		{"left_waiting", "troubles go on",
			func(s *ruleFixture) { s.FaultsEnded(0); s.checkWaiting(0, 90*second, false, room) },
			func(s *ruleFixture) { s.checkWaiting(0, 200*second, false, room) }},
		{"left_waiting", "room of a kind, type and size that the job allows",
			func(s *ruleFixture) {
				s.FaultsEnded(0)
				s.job.MachineTypes, s.job.Zone, s.job.Spot = []string{"small"}, "a", true
				s.checkWaiting(0, 90*second, false, FreeCapacity{Type: "small", Zone: "a", Spot: true, CPUs: 2, MemoryGB: 1})
			},
			func(s *ruleFixture) {
				s.FaultsEnded(0)
				s.job.MachineTypes, s.job.Zone = []string{"small"}, "a"
				s.checkWaiting(0, 200*second, false, FreeCapacity{Type: "gpu", Zone: "a", CPUs: 8, MemoryGB: 9}, FreeCapacity{Type: "small", Zone: "b", CPUs: 8, MemoryGB: 9},
					FreeCapacity{Type: "small", Zone: "a", Spot: true, CPUs: 8, MemoryGB: 9}, FreeCapacity{Type: "small", Zone: "a", CPUs: 1, MemoryGB: 9}, FreeCapacity{Type: "small", Zone: "a", CPUs: 8, MemoryGB: 0.5})
			}},
		{"left_waiting", "the team is under its limit",
			func(s *ruleFixture) { s.FaultsEnded(0); s.useQuota(6); s.checkWaiting(0, 90*second, false, room) },
			func(s *ruleFixture) { s.FaultsEnded(0); s.useQuota(7); s.checkWaiting(0, 200*second, false, room) }},
		{"left_waiting", "nothing of it is on a machine",
			func(s *ruleFixture) { s.FaultsEnded(0); s.checkWaiting(0, 90*second, false, room) },
			func(s *ruleFixture) { s.FaultsEnded(0); s.checkWaiting(0, 200*second, true, room) }},
		{"left_waiting", "a gang has room as a whole",
			func(s *ruleFixture) {
				s.FaultsEnded(0)
				s.job.Shape = wire.ShapeGang
				s.checkWaiting(0, 90*second, false, room, room)
			},
			func(s *ruleFixture) {
				s.FaultsEnded(0)
				s.job.Shape = wire.ShapeGang
				s.checkWaiting(0, 200*second, false, room)
			}},
		{"accepted", "a field is missing",
			func(s *ruleFixture) {
				s.SubmissionAccepted(second, s.job.ID, submissionFields(s.job, map[string]any{"loaners": nil}))
			},
			func(s *ruleFixture) {
				s.SubmissionAccepted(second, s.job.ID, submissionFields(s.job, map[string]any{"due_s": nil}))
			}},
		{"accepted", "no machine type fits",
			func(s *ruleFixture) { s.submitSecondJob(func(j *wire.Job) { j.GPUs, j.Zone = 1, "b" }) },
			func(s *ruleFixture) { s.submitSecondJob(func(j *wire.Job) { j.GPUs, j.Zone = 1, "a" }) }},
		{"accepted", "no type is allowed",
			func(s *ruleFixture) { s.submitSecondJob(func(j *wire.Job) { j.MachineTypes = []string{} }) },
			func(s *ruleFixture) { s.submitSecondJob(func(j *wire.Job) { j.MachineTypes = nil }) }},
		{"accepted", "a service above its team's limit",
			func(s *ruleFixture) { s.submitSecondJob(func(j *wire.Job) { j.Shape, j.Tasks = wire.ShapeService, 5 }) },
			func(s *ruleFixture) { s.submitSecondJob(func(j *wire.Job) { j.Tasks = 5 }) }}, // an array: one task counts
		{"accepted", "an unknown team",
			func(s *ruleFixture) { s.submitSecondJob(func(j *wire.Job) { j.Team = "green" }) },
			func(s *ruleFixture) { s.submitSecondJob(func(*wire.Job) {}) }},
	} {
		t.Run(c.rule+": "+c.name, func(t *testing.T) {
			s := newRuleFixture()
			c.broken(s)
			if len(s.Violations) == 0 {
				t.Error("the broken run went unnoticed")
			}
			for _, b := range s.Violations {
				if !strings.Contains(b, " "+c.rule) {
					t.Errorf("the broken run is seen as %q", b)
				}
			}
			s = newRuleFixture()
			c.allowed(s)
			if len(s.Violations) > 0 {
				t.Errorf("what is allowed is seen as %q", s.Violations)
			}
		})
	}
}

// Starts after a confirmed cancellation are counted, and broken is only what comes too
// late: a start that was in flight may still be carried out.
func TestLateStartsAreCountedAndAllowedWithinTheGracePeriod(t *testing.T) {
	s := newRuleFixture()
	s.cancel(time.Second)
	s.TaskStarted(time.Second, s.task(0), s.machineA) // at the same moment
	if len(s.LateStarts) > 0 {
		t.Error("counted: ", s.LateStarts)
	}
	s.TaskStarted(2*time.Second, s.task(1), s.machineA)
	if len(s.LateStarts) != 1 || len(s.Violations) > 0 {
		t.Errorf("counted %v, broken %q", s.LateStarts, s.Violations)
	}
}

func (s *ruleFixture) cancel(now time.Duration) {
	s.CancelRequested(s.job.ID)
	s.StateConfirmed(now, s.job.ID, wire.JobCancelled)
}

// completeTasks completes some tasks and calls the job done.
func (s *ruleFixture) completeTasks(tasks int) {
	for i := range tasks {
		s.TaskCompleted(s.task(i))
	}
	s.StateConfirmed(time.Second, s.job.ID, wire.JobDone)
}

// useQuota has the team use an amount of its limit, which is 8.
func (s *ruleFixture) useQuota(cpus float64) {
	j := s.submitSecondJob(func(j *wire.Job) { j.CPUs, j.Tasks = cpus, 1 })
	s.TaskStarted(0, wire.TaskName(j.ID, 0), s.machineB)
}

// pausePastLease lets a machine hang past its lease, and starts its task elsewhere while it hangs
// or after it resumed.
func (s *ruleFixture) pausePastLease(resumes bool) {
	s.job.Shape = wire.ShapeService
	wk := NewWorker(0, 12*time.Second, "n-000007", fixtureMachineTypes[0], "a", false, s.RuleChecker, nil, func(string) bool { return false })
	wk.HandleCommands(0, wire.DirectCommands{FencingToken: 1, Incarnation: 1, Commands: []wire.Command{{Verb: wire.VerbRun, Task: s.task(0), Attempt: 1}}})
	wk.Advance(2 * time.Second)
	wk.Pause(20 * time.Second)
	if resumes {
		wk.Advance(21 * time.Second)
	}
	s.TaskStarted(22*time.Second, s.task(0), s.machineB)
}
