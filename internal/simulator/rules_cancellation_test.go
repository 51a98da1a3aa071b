package simulator

import "time"

// Cases of the rule on cancelled jobs.
var cancellationRuleCases = []ruleCase{
	{RuleRanCancelled, "a task is on a machine when the time is over",
		func(f *ruleFixture) {
			f.TaskStarted(0, f.task(0), f.machineA)
			f.cancel()
			f.CheckCancelled(time.Second + fixtureCancelGrace + 1)
		},
		func(f *ruleFixture) {
			f.TaskStarted(0, f.task(0), f.machineA)
			f.cancel()
			f.CheckCancelled(time.Second + fixtureCancelGrace)
		}},
	{RuleRanCancelled, "a task starts when the time is over",
		func(f *ruleFixture) {
			f.cancel()
			f.TaskStarted(time.Second+fixtureCancelGrace+1, f.task(0), f.machineA)
		},
		func(f *ruleFixture) {
			f.cancel()
			f.TaskStarted(time.Second+fixtureCancelGrace, f.task(0), f.machineA)
		}},
	{RuleRanCancelled, "a machine hangs for longer than a cancellation has",
		func(f *ruleFixture) {
			f.TaskStarted(0, f.task(0), f.machineA)
			f.cancel()
			f.machineA.Pause(2 * time.Second)
			f.machineA.Pause(time.Second + fixtureCancelGrace)
			f.CheckCancelled(time.Second + fixtureCancelGrace + 1)
		},
		func(f *ruleFixture) {
			f.TaskStarted(0, f.task(0), f.machineA)
			f.cancel()
			f.machineA.Pause(2 * time.Second)
			f.TaskRemoved(f.task(0), f.machineA.Name) // it was released
			f.CheckCancelled(time.Second + fixtureCancelGrace + 1)
		}},
}
