package simulator

import "time"

// cancellationRuleCases are the cases of the rule on cancelled jobs.
var cancellationRuleCases = []ruleCase{
	{RuleRanCancelled, "a task is on a machine after the grace period",
		func(f *ruleFixture) {
			f.TaskStarted(0, f.task(0), f.machineA)
			f.cancelJob()
			f.CheckCancelled(time.Second + fixtureCancelGrace + 1)
		},
		func(f *ruleFixture) {
			f.TaskStarted(0, f.task(0), f.machineA)
			f.cancelJob()
			f.CheckCancelled(time.Second + fixtureCancelGrace)
		}},
	{RuleRanCancelled, "a task starts after the grace period",
		func(f *ruleFixture) {
			f.cancelJob()
			f.TaskStarted(time.Second+fixtureCancelGrace+1, f.task(0), f.machineA)
		},
		func(f *ruleFixture) {
			f.cancelJob()
			f.TaskStarted(time.Second+fixtureCancelGrace, f.task(0), f.machineA)
		}},
	{RuleRanCancelled, "a machine is paused for longer than the grace period",
		func(f *ruleFixture) {
			f.TaskStarted(0, f.task(0), f.machineA)
			f.cancelJob()
			f.machineA.Pause(2 * time.Second)
			f.machineA.Pause(time.Second + fixtureCancelGrace)
			f.CheckCancelled(time.Second + fixtureCancelGrace + 1)
		},
		func(f *ruleFixture) {
			f.TaskStarted(0, f.task(0), f.machineA)
			f.cancelJob()
			f.machineA.Pause(2 * time.Second)
			f.TaskRemoved(f.task(0), f.machineA.Name) // the machine was released
			f.CheckCancelled(time.Second + fixtureCancelGrace + 1)
		}},
}
