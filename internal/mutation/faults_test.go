package mutation_test

// faultMutations remove safeguards whose need was shown by faults injected into simulated
// services.
var faultMutations = []mutation{
	{
		scenario: "a deletion is delayed while its machine runs on, and jobs there are cancelled",
		marker:   "stops-while-releasing",
		operator: remove(),
		test:     "internal/scheduler:^TestCancellationDuringDelayedReleaseOfHungMachine$",
	},
	{
		scenario: "machines hang past their lease, and their deletion is delayed",
		marker:   "release-needs-proof",
		// The mutation treats an unanswered release call as done. The results are values of one type.
		operator: replaceExpr("result == ReleaseRefused"),
		test:     "internal/scheduler:^TestTasksOfHungMachinesRestartOnlyAfterProof$",
	},
	{
		scenario: "a provisioning request without an answer is carried out late, and its machines never come up",
		marker:   "release-machine-that-never-came-up",
		operator: replace(`""`),
		test:     "internal/scheduler:^TestUnexpectedMachinesAreAdoptedOrReleased$",
	},
	{
		scenario: "a malformed retry of an accepted submission comes while the key-value store refuses",
		marker:   "refusal-after-failed-read",
		// refusal is a parameter of the function, so no constant can replace the expression.
		operator: replaceExpr("refusal"),
		test:     "internal/api:^TestIdempotentSubmissionIsNeverInvalid$",
	},
	{
		scenario: "a retry of an accepted submission has become too long",
		marker:   "long-submission-of-known-job",
		operator: keepArgument(2, 3),
		test:     "internal/api:^TestIdempotentSubmissionIsNeverInvalid$",
	},
	{
		scenario: "one-task jobs arrive four a second and are cancelled as they start",
		marker:   "stop-is-sent-at-once",
		operator: remove(),
		test:     "internal/scheduler:^TestNoStartAfterConfirmedCancellation$",
	},
}
