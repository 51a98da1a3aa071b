package simulator

import (
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// placementRuleCases are the cases of the rules on where and how often tasks run.
var placementRuleCases = []ruleCase{
	{RuleRanTwice, "a task starts while it is on another machine",
		func(f *ruleFixture) { f.TaskStarted(0, f.task(0), f.machineA); f.TaskStarted(1, f.task(0), f.machineB) },
		func(f *ruleFixture) {
			f.TaskStarted(0, f.task(0), f.machineA)
			f.TaskRemoved(f.task(0), f.machineA.Name)
			f.TaskStarted(1, f.task(0), f.machineB)
		}},
	{RuleRanTwice, "a machine is paused until after its lease has expired and its task starts elsewhere",
		func(f *ruleFixture) { f.restartDuringPause() }, func(f *ruleFixture) { f.restartAfterPause() }},
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
	{RuleWrongPlace, "a machine type that the job does not allow",
		func(f *ruleFixture) { f.job.MachineTypes = []string{"gpu"}; f.TaskStarted(0, f.task(0), f.machineA) },
		func(f *ruleFixture) { f.job.MachineTypes = []string{"gpu"}; f.TaskStarted(0, f.task(0), f.gpuMachine) }},
	{RuleWrongPlace, "a zone that the job does not allow",
		func(f *ruleFixture) { f.job.Zone = "a"; f.TaskStarted(0, f.task(0), f.machineB) },
		func(f *ruleFixture) { f.job.Zone = "a"; f.TaskStarted(0, f.task(0), f.machineA) }},
	{RuleWrongPlace, "a spot machine for a job that does not allow one",
		func(f *ruleFixture) { f.machineA.Spot = true; f.TaskStarted(0, f.task(0), f.machineA) },
		func(f *ruleFixture) {
			f.machineA.Spot, f.job.Spot = true, true
			f.TaskStarted(0, f.task(0), f.machineA)
		}},
	{RuleWrongPlace, "tasks that must be in the same zone are in two",
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
	{RuleNothingRan, "no task was started",
		func(f *ruleFixture) { f.CheckAnythingRan(time.Second) },
		func(f *ruleFixture) { f.TaskStarted(0, f.task(0), f.machineA); f.CheckAnythingRan(time.Second) }},
}
