package simulator

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

var fixtureMachineTypes = []wire.MachineType{
	{Name: "small", CPUs: 8, MemoryGB: 32, FetchGBPerS: 1, Zones: []string{"a", "b"}},
	{Name: "gpu", CPUs: 8, GPUs: 4, MemoryGB: 32, FetchGBPerS: 1, Zones: []string{"a"}},
}

// ruleFixture holds a checker that has an accepted job of three tasks, and machines to run them.
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

// submissionFields returns the encoded fields of a job's submission, with some of them changed.
func submissionFields(j *wire.Job, change map[string]any) map[string]any {
	fields := map[string]any{"uid": j.ID, "docket": j.Class, "crew": j.Team, "shape": j.Shape, "rank": j.Priority, "shifts": j.Tasks,
		"cpus": j.CPUs, "gpus": j.GPUs, "memory_gb": j.MemoryGB, "kit": j.Image, "pull_gb": j.ImageGB, "breeds": nil, "pasture": nil,
		"together": false, "scatter": false, "loaners": false, "reckon_s": 0.0, "tally_s": 0.0, "stow_s": 0.0, "due_s": nil}
	maps.Copy(fields, change)
	return fields
}

func (f *ruleFixture) task(i int) string { return wire.TaskName(f.job.ID, i) }

// submitSecondJob submits a changed copy of the fixture's job, which is accepted.
func (f *ruleFixture) submitSecondJob(change func(j *wire.Job)) *wire.Job {
	j := *f.job
	j.ID = "run-000002"
	change(&j)
	f.AddJob(&j)
	f.SubmissionAccepted(0, j.ID, submissionFields(&j, nil))
	return &j
}

// poll polls jobs every five seconds. fails reports whether the polls of a job fail.
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

func (f *ruleFixture) checkWaitingUntil(to time.Duration, placed bool, free ...FreeCapacity) {
	for now := time.Duration(0); now <= to; now += 3 * time.Second {
		f.CheckWaiting(now, free, func(string) bool { return placed })
	}
}

// ruleCase consists of a run that violates a rule, and a similar run that the protocol allows.
type ruleCase struct {
	rule      Rule
	name      string
	violating func(f *ruleFixture)
	allowed   func(f *ruleFixture)
}

func TestEveryRuleDetectsItsViolation(t *testing.T) {
	for _, c := range slices.Concat(placementRuleCases, cancellationRuleCases, answersRuleCases, waitingRuleCases) {
		t.Run(string(c.rule)+": "+c.name, func(t *testing.T) {
			f := newRuleFixture()
			c.violating(f)
			if len(f.Violations) == 0 {
				t.Error("the violation is not detected")
			}
			for _, violation := range f.Violations {
				if !strings.Contains(violation, " "+string(c.rule)+":") {
					t.Errorf("the violation is recorded as %q", violation)
				}
			}
			f = newRuleFixture()
			c.allowed(f)
			if len(f.Violations) > 0 {
				t.Errorf("the allowed run has the violations %q", f.Violations)
			}
		})
	}
}

// Starts after a confirmed cancellation are counted. Only starts after the grace period are
// violations, since a start command that was in flight may still be executed.
func TestLateStartsAreCountedAndAllowedWithinTheGracePeriod(t *testing.T) {
	f := newRuleFixture()
	f.cancelJob()
	f.TaskStarted(time.Second, f.task(0), f.machineA) // at the time of the confirmation
	if len(f.LateStarts) > 0 {
		t.Error("a start at the time of the confirmation is counted as late: ", f.LateStarts)
	}
	f.TaskStarted(2*time.Second, f.task(1), f.machineA)
	if len(f.LateStarts) != 1 || len(f.Violations) > 0 {
		t.Errorf("late starts %v, violations %q; want one late start and no violation", f.LateStarts, f.Violations)
	}
}

// cancelJob requests the cancellation of the job, which is confirmed at 1 s.
func (f *ruleFixture) cancelJob() {
	f.CancelRequested(f.job.ID)
	f.StateConfirmed(time.Second, f.job.ID, wire.JobCancelled)
}

// reportDone completes the first tasks of the job, and reports the job as done.
func (f *ruleFixture) reportDone(tasks int) {
	for i := range tasks {
		f.TaskCompleted(f.task(i))
	}
	f.StateConfirmed(time.Second, f.job.ID, wire.JobDone)
}

// useQuota starts a task that uses a number of the team's 8 CPUs.
func (f *ruleFixture) useQuota(cpus float64) {
	j := f.submitSecondJob(func(j *wire.Job) { j.CPUs, j.Tasks = cpus, 1 })
	f.TaskStarted(0, wire.TaskName(j.ID, 0), f.machineB)
}

// restartAfterPause pauses a machine until after its lease has expired, resumes it, and then
// starts its task on another machine.
func (f *ruleFixture) restartAfterPause() {
	f.newPausedWorker().Advance(21 * time.Second)
	f.TaskStarted(22*time.Second, f.task(0), f.machineB)
}

// restartDuringPause pauses a machine until after its lease has expired, and starts its task on
// another machine before the paused machine resumes.
func (f *ruleFixture) restartDuringPause() {
	f.newPausedWorker()
	f.TaskStarted(22*time.Second, f.task(0), f.machineB)
}

// newPausedWorker returns a worker that runs a task and is paused until after its lease has
// expired.
func (f *ruleFixture) newPausedWorker() *Worker {
	f.job.Shape = wire.ShapeService
	worker := f.newWorker("n-000007", "a", fixtureMachineTypes[0], 12*time.Second)
	start := wire.Command{Verb: wire.VerbRun, Task: f.task(0), Attempt: 1}
	worker.HandleCommands(0, wire.DirectCommands{FencingToken: 1, Incarnation: 1, Commands: []wire.Command{start}})
	worker.Advance(2 * time.Second)
	worker.Pause(20 * time.Second)
	return worker
}
