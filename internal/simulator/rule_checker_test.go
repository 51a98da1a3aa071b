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
	f := &ruleFixture{RuleChecker: NewRuleChecker(map[string]float64{"red": 8}, fixtureCancelGrace)}
	f.SetMachineTypes(fixtureMachineTypes)
	f.job = &wire.Job{ID: "run-000001", Class: "c", Team: "red", Shape: wire.ShapeArray, Priority: wire.PriorityNormal, Tasks: 3, CPUs: 2, MemoryGB: 1, Image: "img", ImageGB: 1}
	f.AddJob(f.job)
	small, gpu := fixtureMachineTypes[0], fixtureMachineTypes[1]
	f.machineA = f.newWorker("n-000001", "a", small, time.Hour)
	f.machineB = f.newWorker("n-000002", "b", small, time.Hour)
	f.gpuMachine = f.newWorker("n-000003", "a", gpu, time.Hour)
	f.SubmissionAccepted(0, f.job.ID, submissionFields(f.job, nil))
	return f
}

func (f *ruleFixture) newWorker(name, zone string, machineType wire.MachineType, lease time.Duration) *Worker {
	return NewWorker(0, WorkerConfig{
		Name: name, MachineType: machineType, Zone: zone, LeaseDuration: lease, Checker: f.RuleChecker,
		RunTime: func(string) time.Duration { return time.Second },
	})
}

// submissionFields is a submission as its user sends it, with some fields changed.
func submissionFields(j *wire.Job, change map[string]any) map[string]any {
	fields := map[string]any{"uid": j.ID, "docket": j.Class, "crew": j.Team, "shape": j.Shape, "rank": j.Priority, "shifts": j.Tasks,
		"cpus": j.CPUs, "gpus": j.GPUs, "memory_gb": j.MemoryGB, "kit": j.Image, "pull_gb": j.ImageGB, "breeds": nil, "pasture": nil,
		"together": false, "scatter": false, "loaners": false, "reckon_s": 0.0, "tally_s": 0.0, "stow_s": 0.0, "due_s": nil}
	maps.Copy(fields, change)
	return fields
}

func (f *ruleFixture) task(i int) string { return wire.TaskName(f.job.ID, i) }

// submitSecondJob submits another job and has it accepted.
func (f *ruleFixture) submitSecondJob(change func(j *wire.Job)) *wire.Job {
	j := *f.job
	j.ID = "run-000002"
	change(&j)
	f.AddJob(&j)
	f.SubmissionAccepted(0, j.ID, submissionFields(&j, nil))
	return &j
}

// poll asks about jobs every five seconds; fails says which questions fail.
func (f *ruleFixture) poll(from, to time.Duration, fails func(id string) bool, ids ...string) {
	for now := from; now <= to; now += 5 * time.Second {
		for _, id := range ids {
			if fails(id) {
				f.PollFailed(now, id)
			} else {
				f.PollAnswered(now, id)
			}
		}
	}
}

func (f *ruleFixture) checkWaiting(from, to time.Duration, placed bool, free ...FreeCapacity) {
	for now := from; now <= to; now += 3 * time.Second {
		f.CheckWaiting(now, free, func(string) bool { return placed })
	}
}

// A run that violates a rule is seen as that and nothing else, and a run next to it that
// the protocol allows is not.
func TestEveryRuleDetectsItsViolation(t *testing.T) {
	const second = time.Second
	free := FreeCapacity{Type: "small", Zone: "a", CPUs: 4, MemoryGB: 8}
	other := func(id string) func(string) bool { return func(i string) bool { return i == id } }
	all := func(string) bool { return true }
	for _, c := range []struct {
		rule      Rule
		name      string
		violating func(f *ruleFixture)
		allowed   func(f *ruleFixture)
	}{
		{RuleRanTwice, "a task starts while it is on another machine",
			func(f *ruleFixture) { f.TaskStarted(0, f.task(0), f.machineA); f.TaskStarted(1, f.task(0), f.machineB) },
			func(f *ruleFixture) {
				f.TaskStarted(0, f.task(0), f.machineA)
				f.TaskRemoved(f.task(0), f.machineA.Name)
				f.TaskStarted(1, f.task(0), f.machineB)
			}},
		{RuleRanTwice, "a machine hangs past its lease and its task starts elsewhere",
			func(f *ruleFixture) { f.pausePastLease(false) }, func(f *ruleFixture) { f.pausePastLease(true) }},
		{RuleQuota, "a team uses more than its limit",
			func(f *ruleFixture) {
				j := f.submitSecondJob(func(j *wire.Job) { j.CPUs = 3 })
				for i := range 3 {
					f.TaskStarted(0, f.task(i), f.machineA)
				}
				f.TaskStarted(1, wire.TaskName(j.ID, 0), f.machineB)
			},
			func(f *ruleFixture) {
				j := f.submitSecondJob(func(j *wire.Job) { j.CPUs = 2 })
				for i := range 3 {
					f.TaskStarted(0, f.task(i), f.machineA)
				}
				f.TaskStarted(1, wire.TaskName(j.ID, 0), f.machineB)
			}},
		{RuleWrongPlace, "another type than the job allows",
			func(f *ruleFixture) { f.job.MachineTypes = []string{"gpu"}; f.TaskStarted(0, f.task(0), f.machineA) },
			func(f *ruleFixture) { f.job.MachineTypes = []string{"gpu"}; f.TaskStarted(0, f.task(0), f.gpuMachine) }},
		{RuleWrongPlace, "another zone",
			func(f *ruleFixture) { f.job.Zone = "a"; f.TaskStarted(0, f.task(0), f.machineB) },
			func(f *ruleFixture) { f.job.Zone = "a"; f.TaskStarted(0, f.task(0), f.machineA) }},
		{RuleWrongPlace, "a spot machine",
			func(f *ruleFixture) { f.machineA.Spot = true; f.TaskStarted(0, f.task(0), f.machineA) },
			func(f *ruleFixture) {
				f.machineA.Spot, f.job.Spot = true, true
				f.TaskStarted(0, f.task(0), f.machineA)
			}},
		{RuleWrongPlace, "tasks that belong together are apart",
			func(f *ruleFixture) {
				f.job.SameZone = true
				f.TaskStarted(0, f.task(0), f.machineA)
				f.TaskStarted(0, f.task(1), f.machineB)
			},
			func(f *ruleFixture) {
				f.job.SameZone = true
				f.TaskStarted(0, f.task(0), f.machineA)
				f.TaskStarted(0, f.task(1), f.gpuMachine)
			}},
		{RuleWrongPlace, "more than half of the tasks in a zone",
			func(f *ruleFixture) {
				f.job.SpreadZones = true
				for i := range 3 {
					f.TaskStarted(0, f.task(i), f.machineA)
				}
			},
			func(f *ruleFixture) {
				f.job.SpreadZones = true
				f.TaskStarted(0, f.task(0), f.machineA)
				f.TaskStarted(0, f.task(1), f.machineA)
				f.TaskStarted(0, f.task(2), f.machineB)
			}},
		{RuleRanCancelled, "a task is on a machine when the time is over",
			func(f *ruleFixture) {
				f.TaskStarted(0, f.task(0), f.machineA)
				f.cancel(second)
				f.CheckCancelled(second + fixtureCancelGrace + 1)
			},
			func(f *ruleFixture) {
				f.TaskStarted(0, f.task(0), f.machineA)
				f.cancel(second)
				f.CheckCancelled(second + fixtureCancelGrace)
			}},
		{RuleRanCancelled, "a task starts when the time is over",
			func(f *ruleFixture) {
				f.cancel(second)
				f.TaskStarted(second+fixtureCancelGrace+1, f.task(0), f.machineA)
			},
			func(f *ruleFixture) {
				f.cancel(second)
				f.TaskStarted(second+fixtureCancelGrace, f.task(0), f.machineA)
			}},
		{RuleRanCancelled, "a machine hangs for longer than a cancellation has",
			func(f *ruleFixture) {
				f.TaskStarted(0, f.task(0), f.machineA)
				f.cancel(second)
				f.machineA.Pause(2 * second)
				f.machineA.Pause(second + fixtureCancelGrace)
				f.CheckCancelled(second + fixtureCancelGrace + 1)
			},
			func(f *ruleFixture) {
				f.TaskStarted(0, f.task(0), f.machineA)
				f.cancel(second)
				f.machineA.Pause(2 * second)
				f.TaskRemoved(f.task(0), f.machineA.Name) // it was released
				f.CheckCancelled(second + fixtureCancelGrace + 1)
			}},
		{RuleForgotten, "an accepted job gets 404",
			func(f *ruleFixture) { f.QueryAnswered(second, 2*second, f.job.ID, "") },
			func(f *ruleFixture) { f.StateConfirmed(second, "run-000009", "") }},
		{RuleForgotten, "an ended job gets 404",
			func(f *ruleFixture) { f.cancel(second); f.QueryAnswered(2*second, 2*second, f.job.ID, "") },
			func(f *ruleFixture) { f.cancel(second) }},
		{RuleForgotten, "a repeated submission gets 400",
			func(f *ruleFixture) { f.SubmissionRefused(second, f.job.ID, 400) },
			func(f *ruleFixture) { f.SubmissionRefused(second, "run-000009", 400) }},
		{RuleForgotten, "a repeated submission gets 422",
			func(f *ruleFixture) { f.SubmissionRefused(second, f.job.ID, 422) },
			func(f *ruleFixture) { f.SubmissionRefused(second, f.job.ID, 503) }},
		{RuleForgotten, "all polls fail for 90 s while most others are answered",
			func(f *ruleFixture) { f.poll(0, 90*second, other(f.job.ID), f.job.ID, "run-000009", "run-000010") },
			func(f *ruleFixture) { f.poll(0, 85*second, other(f.job.ID), f.job.ID, "run-000009", "run-000010") }},
		{RuleForgotten, "all polls fail for 90 s while the only other job is answered, not while it fails too",
			func(f *ruleFixture) { f.poll(0, 90*second, other(f.job.ID), f.job.ID, "run-000009") },
			func(f *ruleFixture) { f.poll(0, 200*second, all, f.job.ID, "run-000009") }},
		{RuleForgotten, "no answer for 75 s once the faults have ended",
			func(f *ruleFixture) { f.FaultsEnded(10 * second); f.poll(10*second, 85*second, all, f.job.ID) },
			func(f *ruleFixture) { f.FaultsEnded(10 * second); f.poll(10*second, 80*second, all, f.job.ID) }},
		{RuleInvented, "nobody submitted the job",
			func(f *ruleFixture) { f.StateConfirmed(second, "run-000009", wire.JobPending) },
			func(f *ruleFixture) { f.StateConfirmed(second, f.job.ID, wire.JobPending) }},
		{RuleNotDone, "a job is called done before all of its tasks are",
			func(f *ruleFixture) { f.completeTasks(2) }, func(f *ruleFixture) { f.completeTasks(3) }},
		{RuleWentBack, "a job that was done is running",
			func(f *ruleFixture) {
				f.completeTasks(3)
				f.QueryAnswered(2*second, 2*second, f.job.ID, wire.JobRunning)
			},
			func(f *ruleFixture) { f.completeTasks(3); f.QueryAnswered(0, 2*second, f.job.ID, wire.JobRunning) }}, // asked before
		{RuleWentBack, "a job that was cancelled is done",
			func(f *ruleFixture) { f.cancel(second); f.completeTasks(3) },
			func(f *ruleFixture) { f.CancelRequested(f.job.ID); f.completeTasks(3) }},
		{RuleWentBack, "a cancelled job is pending at another node",
			func(f *ruleFixture) { f.cancel(second); f.QueryAnswered(second, 2*second, f.job.ID, wire.JobPending) },
			func(f *ruleFixture) { f.cancel(second); f.QueryAnswered(second-1, 2*second, f.job.ID, wire.JobPending) }},
		{RuleWentBack, "a job is cancelled that its user has not cancelled",
			func(f *ruleFixture) { f.StateConfirmed(second, f.job.ID, wire.JobCancelled) },
			func(f *ruleFixture) {
				f.CancelRequested(f.job.ID)
				f.StateConfirmed(second, f.job.ID, wire.JobCancelled)
			}},
		{RuleNothingRan, "no task was started",
			func(f *ruleFixture) { f.CheckAnythingRan(second) },
			func(f *ruleFixture) { f.TaskStarted(0, f.task(0), f.machineA); f.CheckAnythingRan(second) }},
		{RuleLeftWaiting, "a job waits for 90 s beside free capacity that fits",
			func(f *ruleFixture) { f.FaultsEnded(0); f.checkWaiting(0, 90*second, false, free) },
			func(f *ruleFixture) { f.FaultsEnded(0); f.checkWaiting(0, 87*second, false, free) }},
		{RuleLeftWaiting, "only once the faults have ended",
			func(f *ruleFixture) { f.FaultsEnded(0); f.checkWaiting(0, 90*second, false, free) },
			func(f *ruleFixture) { f.checkWaiting(0, 200*second, false, free) }},
		{RuleLeftWaiting, "free capacity of a kind, type and size that the job allows",
			func(f *ruleFixture) {
				f.FaultsEnded(0)
				f.job.MachineTypes, f.job.Zone, f.job.Spot = []string{"small"}, "a", true
				f.checkWaiting(0, 90*second, false, FreeCapacity{Type: "small", Zone: "a", Spot: true, CPUs: 2, MemoryGB: 1})
			},
			func(f *ruleFixture) {
				f.FaultsEnded(0)
				f.job.MachineTypes, f.job.Zone = []string{"small"}, "a"
				f.checkWaiting(0, 200*second, false, FreeCapacity{Type: "gpu", Zone: "a", CPUs: 8, MemoryGB: 9}, FreeCapacity{Type: "small", Zone: "b", CPUs: 8, MemoryGB: 9},
					FreeCapacity{Type: "small", Zone: "a", Spot: true, CPUs: 8, MemoryGB: 9}, FreeCapacity{Type: "small", Zone: "a", CPUs: 1, MemoryGB: 9}, FreeCapacity{Type: "small", Zone: "a", CPUs: 8, MemoryGB: 0.5})
			}},
		{RuleLeftWaiting, "the team is under its limit",
			func(f *ruleFixture) { f.FaultsEnded(0); f.useQuota(6); f.checkWaiting(0, 90*second, false, free) },
			func(f *ruleFixture) { f.FaultsEnded(0); f.useQuota(7); f.checkWaiting(0, 200*second, false, free) }},
		{RuleLeftWaiting, "nothing of it is on a machine",
			func(f *ruleFixture) { f.FaultsEnded(0); f.checkWaiting(0, 90*second, false, free) },
			func(f *ruleFixture) { f.FaultsEnded(0); f.checkWaiting(0, 200*second, true, free) }},
		{RuleLeftWaiting, "a gang fits free capacity as a whole",
			func(f *ruleFixture) {
				f.FaultsEnded(0)
				f.job.Shape = wire.ShapeGang
				f.checkWaiting(0, 90*second, false, free, free)
			},
			func(f *ruleFixture) {
				f.FaultsEnded(0)
				f.job.Shape = wire.ShapeGang
				f.checkWaiting(0, 200*second, false, free)
			}},
		{RuleAccepted, "a field is missing",
			func(f *ruleFixture) {
				f.SubmissionAccepted(second, f.job.ID, submissionFields(f.job, map[string]any{"loaners": nil}))
			},
			func(f *ruleFixture) {
				f.SubmissionAccepted(second, f.job.ID, submissionFields(f.job, map[string]any{"due_s": nil}))
			}},
		{RuleAccepted, "no machine type fits",
			func(f *ruleFixture) { f.submitSecondJob(func(j *wire.Job) { j.GPUs, j.Zone = 1, "b" }) },
			func(f *ruleFixture) { f.submitSecondJob(func(j *wire.Job) { j.GPUs, j.Zone = 1, "a" }) }},
		{RuleAccepted, "no type is allowed",
			func(f *ruleFixture) { f.submitSecondJob(func(j *wire.Job) { j.MachineTypes = []string{} }) },
			func(f *ruleFixture) { f.submitSecondJob(func(j *wire.Job) { j.MachineTypes = nil }) }},
		{RuleAccepted, "a service above its team's limit",
			func(f *ruleFixture) { f.submitSecondJob(func(j *wire.Job) { j.Shape, j.Tasks = wire.ShapeService, 5 }) },
			func(f *ruleFixture) { f.submitSecondJob(func(j *wire.Job) { j.Tasks = 5 }) }}, // an array: one task counts
		{RuleAccepted, "an unknown team",
			func(f *ruleFixture) { f.submitSecondJob(func(j *wire.Job) { j.Team = "green" }) },
			func(f *ruleFixture) { f.submitSecondJob(func(*wire.Job) {}) }},
	} {
		t.Run(string(c.rule)+": "+c.name, func(t *testing.T) {
			f := newRuleFixture()
			c.violating(f)
			if len(f.Violations) == 0 {
				t.Error("the violation went unnoticed")
			}
			for _, violation := range f.Violations {
				if !strings.Contains(violation, " "+string(c.rule)+":") {
					t.Errorf("the violation is seen as %q", violation)
				}
			}
			f = newRuleFixture()
			c.allowed(f)
			if len(f.Violations) > 0 {
				t.Errorf("what is allowed is seen as %q", f.Violations)
			}
		})
	}
}

// Starts after a confirmed cancellation are counted. Only those after the grace period are
// violations: a start that was in flight may still be carried out.
func TestLateStartsAreCountedAndAllowedWithinTheGracePeriod(t *testing.T) {
	f := newRuleFixture()
	f.cancel(time.Second)
	f.TaskStarted(time.Second, f.task(0), f.machineA) // at the same moment
	if len(f.LateStarts) > 0 {
		t.Error("counted: ", f.LateStarts)
	}
	f.TaskStarted(2*time.Second, f.task(1), f.machineA)
	if len(f.LateStarts) != 1 || len(f.Violations) > 0 {
		t.Errorf("counted %v, violations %q", f.LateStarts, f.Violations)
	}
}

func (f *ruleFixture) cancel(now time.Duration) {
	f.CancelRequested(f.job.ID)
	f.StateConfirmed(now, f.job.ID, wire.JobCancelled)
}

// completeTasks completes some tasks and calls the job done.
func (f *ruleFixture) completeTasks(tasks int) {
	for i := range tasks {
		f.TaskCompleted(f.task(i))
	}
	f.StateConfirmed(time.Second, f.job.ID, wire.JobDone)
}

// useQuota has the team use an amount of its limit, which is 8.
func (f *ruleFixture) useQuota(cpus float64) {
	j := f.submitSecondJob(func(j *wire.Job) { j.CPUs, j.Tasks = cpus, 1 })
	f.TaskStarted(0, wire.TaskName(j.ID, 0), f.machineB)
}

// pausePastLease pauses a machine past its lease, and starts its task elsewhere during the
// pause or after it.
func (f *ruleFixture) pausePastLease(resumes bool) {
	f.job.Shape = wire.ShapeService
	worker := f.newWorker("n-000007", "a", fixtureMachineTypes[0], 12*time.Second)
	start := wire.Command{Verb: wire.VerbRun, Task: f.task(0), Attempt: 1}
	worker.HandleCommands(0, wire.DirectCommands{FencingToken: 1, Incarnation: 1, Commands: []wire.Command{start}})
	worker.Advance(2 * time.Second)
	worker.Pause(20 * time.Second)
	if resumes {
		worker.Advance(21 * time.Second)
	}
	f.TaskStarted(22*time.Second, f.task(0), f.machineB)
}
