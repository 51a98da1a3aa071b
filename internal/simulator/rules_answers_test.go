package simulator

import (
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// onlyJob returns a function that reports whether a job is the given one.
func onlyJob(id string) func(string) bool { return func(other string) bool { return other == id } }

func anyJob(string) bool { return true }

// answersRuleCases are the cases of the rules on answers to users.
var answersRuleCases = []ruleCase{
	{RuleForgotten, "an accepted job gets 404",
		func(f *ruleFixture) { f.QueryAnswered(time.Second, 2*time.Second, f.job.ID, "") },
		func(f *ruleFixture) { f.StateConfirmed(time.Second, "run-000009", "") }},
	{RuleForgotten, "an ended job gets 404",
		func(f *ruleFixture) {
			f.cancelJob()
			f.QueryAnswered(2*time.Second, 2*time.Second, f.job.ID, "")
		},
		func(f *ruleFixture) { f.cancelJob() }},
	{RuleForgotten, "a repeated submission gets 400",
		func(f *ruleFixture) { f.SubmissionRefused(time.Second, f.job.ID, 400) },
		func(f *ruleFixture) { f.SubmissionRefused(time.Second, "run-000009", 400) }},
	{RuleForgotten, "a repeated submission gets 422",
		func(f *ruleFixture) { f.SubmissionRefused(time.Second, f.job.ID, 422) },
		func(f *ruleFixture) { f.SubmissionRefused(time.Second, f.job.ID, 503) }},
	{RuleForgotten, "all polls fail for 90 s while most others are answered",
		func(f *ruleFixture) {
			f.poll(0, 90*time.Second, onlyJob(f.job.ID), f.job.ID, "run-000009", "run-000010")
		},
		func(f *ruleFixture) {
			f.poll(0, 85*time.Second, onlyJob(f.job.ID), f.job.ID, "run-000009", "run-000010")
		}},
	{RuleForgotten, "all polls fail for 90 s while those of the only other job are answered, not while they fail too",
		func(f *ruleFixture) { f.poll(0, 90*time.Second, onlyJob(f.job.ID), f.job.ID, "run-000009") },
		func(f *ruleFixture) { f.poll(0, 200*time.Second, anyJob, f.job.ID, "run-000009") }},
	{RuleForgotten, "no answer for 75 s once the faults have ended",
		func(f *ruleFixture) {
			f.FaultsEnded(10 * time.Second)
			f.poll(10*time.Second, 85*time.Second, anyJob, f.job.ID)
		},
		func(f *ruleFixture) {
			f.FaultsEnded(10 * time.Second)
			f.poll(10*time.Second, 80*time.Second, anyJob, f.job.ID)
		}},
	{RuleInvented, "nobody submitted the job",
		func(f *ruleFixture) { f.StateConfirmed(time.Second, "run-000009", wire.JobPending) },
		func(f *ruleFixture) { f.StateConfirmed(time.Second, f.job.ID, wire.JobPending) }},
	{RuleNotDone, "a job is reported as done before all of its tasks have completed",
		func(f *ruleFixture) { f.reportDone(2) }, func(f *ruleFixture) { f.reportDone(3) }},
	{RuleWentBack, "a job that was done is running",
		func(f *ruleFixture) {
			f.reportDone(3)
			f.QueryAnswered(2*time.Second, 2*time.Second, f.job.ID, wire.JobRunning)
		},
		func(f *ruleFixture) { f.reportDone(3); f.QueryAnswered(0, 2*time.Second, f.job.ID, wire.JobRunning) }}, // sent before the job ended
	{RuleWentBack, "a job that was cancelled is done",
		func(f *ruleFixture) { f.cancelJob(); f.reportDone(3) },
		func(f *ruleFixture) { f.CancelRequested(f.job.ID); f.reportDone(3) }},
	{RuleWentBack, "a cancelled job is pending at another node",
		func(f *ruleFixture) {
			f.cancelJob()
			f.QueryAnswered(time.Second, 2*time.Second, f.job.ID, wire.JobPending)
		},
		func(f *ruleFixture) {
			f.cancelJob()
			f.QueryAnswered(time.Second-1, 2*time.Second, f.job.ID, wire.JobPending)
		}},
	{RuleWentBack, "a job is cancelled that its user has not cancelled",
		func(f *ruleFixture) { f.StateConfirmed(time.Second, f.job.ID, wire.JobCancelled) },
		func(f *ruleFixture) {
			f.CancelRequested(f.job.ID)
			f.StateConfirmed(time.Second, f.job.ID, wire.JobCancelled)
		}},
	{RuleAccepted, "a field is missing",
		func(f *ruleFixture) {
			f.SubmissionAccepted(time.Second, f.job.ID, submissionFields(f.job, map[string]any{"loaners": nil}))
		},
		func(f *ruleFixture) {
			f.SubmissionAccepted(time.Second, f.job.ID, submissionFields(f.job, map[string]any{"due_s": nil}))
		}},
	{RuleAccepted, "no machine type fits",
		func(f *ruleFixture) { f.submitSecondJob(func(j *wire.Job) { j.GPUs, j.Zone = 1, "b" }) },
		func(f *ruleFixture) { f.submitSecondJob(func(j *wire.Job) { j.GPUs, j.Zone = 1, "a" }) }},
	{RuleAccepted, "no type is allowed",
		func(f *ruleFixture) { f.submitSecondJob(func(j *wire.Job) { j.MachineTypes = []string{} }) },
		func(f *ruleFixture) { f.submitSecondJob(func(j *wire.Job) { j.MachineTypes = nil }) }},
	{RuleAccepted, "a service above its team's limit",
		func(f *ruleFixture) { f.submitSecondJob(func(j *wire.Job) { j.Shape, j.Tasks = wire.ShapeService, 5 }) },
		func(f *ruleFixture) { f.submitSecondJob(func(j *wire.Job) { j.Tasks = 5 }) }}, // an array needs room for one task
	{RuleAccepted, "an unknown team",
		func(f *ruleFixture) { f.submitSecondJob(func(j *wire.Job) { j.Team = "green" }) },
		func(f *ruleFixture) { f.submitSecondJob(func(*wire.Job) {}) }},
}
