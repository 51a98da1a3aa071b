package mutation_test

// userAPIMutations remove safeguards of the answers that users get at all controllers, whether
// transactions commit, fail or commit late.
var userAPIMutations = []mutation{
	{
		scenario: "users query all controllers right after a job was accepted",
		marker:   "query-reads-fresh",
		// The replica counts as read now without a read. The expression names only the standard
		// library.
		operator: replaceExpr("time.Now(), nil", initializer()),
		test:     "internal/api:^TestAnswersNeverGoBackAcrossControllers$",
	},
	{
		scenario: "a query comes while an earlier one's read is in flight",
		marker:   "query-joins-no-earlier-read",
		// The field for the next call is cleared after the read instead of before it, under the
		// same lock.
		operator: moveAfter(4, -2, 2),
		test:     "internal/api:^TestQueriesDoNotShareAnEarlierRead$",
	},
	{
		scenario: "a submission commits late, after the job was cancelled",
		marker:   "submission-conditions",
		operator: dropElement(0, 2),
		test:     "internal/api:^TestDelayedWritesAreRejected$/^submission_after_a_cancellation$",
	},
	{
		scenario: "a submission commits late, after the job has ended as cancelled",
		marker:   "submission-conditions",
		operator: dropElement(1, 2),
		test:     "internal/api:^TestDelayedWritesAreRejected$/^submission_after_the_end_of_a_cancelled_job$",
	},
	{
		scenario: "a submission commits late, after the job is done",
		marker:   "submission-conditions",
		operator: dropElement(1, 2),
		test:     "internal/api:^TestDelayedWritesAreRejected$/^submission_after_the_end_of_a_done_job$",
	},
	{
		scenario: "a cancellation commits late, after the job is done",
		marker:   "cancellation-conditions",
		operator: remove(),
		test:     "internal/api:^TestDelayedWritesAreRejected$/^cancellation_after_the_end$",
	},
	{
		scenario: "a cancellation races with the end of a job's last task",
		marker:   "cancellation-conditions",
		operator: remove(),
		test:     "internal/api:^TestCancellationConcurrentWithCompletion$",
	},
	{
		scenario: "the end of a done job commits late, after its cancellation",
		marker:   "job-end-conditions",
		operator: remove(),
		test:     "internal/api:^TestDelayedWritesAreRejected$/^end_of_a_done_job_after_a_cancellation$",
	},
	{
		scenario: "the end of a job's last task races with its cancellation",
		marker:   "job-end-conditions",
		operator: remove(),
		test:     "internal/api:^TestCancellationConcurrentWithCompletion$",
	},
	{
		scenario: "done bits commit late, after a cancellation",
		marker:   "progress-conditions",
		operator: remove(),
		test:     "internal/api:^TestDelayedWritesAreRejected$/^done_bits_after_a_cancellation$",
	},
	{
		scenario: "a submission whose reply was lost is retried after a cancellation",
		marker:   "submission-conditions",
		operator: remove(),
		test:     "internal/api:^TestAnswersNeverGoBackWhenStoreResponsesAreLost$",
	},
	{
		scenario: "a known job's submission is retried with a malformed body while the key-value store is down",
		marker:   "refusal-needs-read",
		operator: remove(),
		test:     "internal/api:^TestInvalidSubmissionsAreRejected$",
	},
	{
		scenario: "a known job's submission is retried with another body, that can never run",
		marker:   "unfit-submission-of-known-job",
		operator: keepArgument(2, 3),
		test:     "internal/api:^TestInvalidSubmissionsAreRejected$",
	},
	{
		scenario: "a known job's submission is retried with a body that is too long",
		marker:   "long-submission-of-known-job",
		operator: keepArgument(2, 3),
		test:     "internal/api:^TestInvalidSubmissionsAreRejected$",
	},
	{
		scenario: "a submission is a gang of several tasks, which never starts",
		marker:   "gang-unsupported",
		operator: setCondition(false),
		test:     "internal/api:^TestInvalidSubmissionsAreRejected$",
	},
	{
		scenario: "a submission has an amount that is not a number",
		marker:   "amount-is-finite",
		operator: dropOperands(3, 0),
		test:     "internal/api:^TestInvalidSubmissionsAreRejected$",
	},
	{
		scenario: "a submission lacks a required flag",
		marker:   "required-flag",
		operator: remove(),
		test:     "internal/api:^TestInvalidSubmissionsAreRejected$",
	},
	{
		scenario: "a job is created and ends while a read of its absence is in flight, and the replica is reset",
		marker:   "absence-across-reset",
		operator: setCondition(true),
		test:     "internal/controller:^TestAbsentJobNotCachedAcrossReplicaReset$",
	},
	{
		scenario: "a full read of the live jobs is overtaken by changes",
		marker:   "full-read-order",
		operator: remove(),
		test:     "internal/controller:^TestReloadOvertakenByWatchKeepsNewerState$",
	},
	{
		scenario: "a process pause between a read and its reply",
		marker:   "reply-staleness",
		operator: replace("true", operand(1, 2)),
		test:     "internal/controller:^TestLookUpJobReadsAgainAfterProcessPause$",
	},
	{
		scenario: "an answer is held up until the user was told the job's final state by another controller",
		marker:   "expired-answer",
		operator: setCondition(true),
		test:     "internal/controller:^TestExpiredAnswerIsNotGiven$",
	},
	{
		scenario: "a peer's answer to a forwarded request is held up",
		marker:   "age-of-forwarded-answer",
		// The age counts from the arrival of the answer.
		operator: replaceName("sentAt", "now"),
		test:     "internal/controller:^TestNoAnswerIsOlderThanFinalOne$",
	},
	{
		scenario: "an answer is held up for less than its maximum age",
		marker:   "final-answer-delay",
		operator: dropElement(0, 1),
		test:     "internal/controller:^TestNoAnswerIsOlderThanFinalOne$",
	},
	{
		scenario: "the key-value store's answer to a read is held up",
		marker:   "age-since-sending",
		// The age counts from the arrival of the answer.
		operator: replaceName("sentAt", "time.Now()"),
		test:     "internal/controller:^TestAgeOfReadCountsFromItsRequest$",
	},
	{
		scenario: "the second of two reads that show a job to be absent is held up",
		marker:   "absence-since-first-read",
		// The age counts from the arrival of the second answer.
		operator: replaceName("notLiveAt", "time.Now()"),
		test:     "internal/controller:^TestAbsenceCountsFromItsFirstRead$",
	},
	{
		scenario: "replies to reads of changes overtake each other",
		marker:   "change-order",
		operator: setCondition(false),
		test:     "internal/controller:^TestReplicaIgnoresOlderWatchAnswers$",
	},
	{
		scenario: "a job known as absent is created in changes that a reset skips",
		marker:   "reset-clears-absences",
		operator: remove(),
		test:     "internal/controller:^TestReplicaCachesAbsentJobs$",
	},
	{
		scenario: "a peer commits a forwarded submission late, after the job has ended",
		marker:   "submission-conditions",
		operator: dropElement(1, 2),
		test:     "internal/api:^TestDelayedWritesAreRejected$/^a_peer's_copy_of_a_submission_after_the_end$",
	},
	{
		scenario: "a leader's transaction commits late, after its leadership term",
		marker:   "transaction-needs-leadership",
		operator: remove(),
		test:     "internal/api:^TestDelayedWritesAreRejected$/^a_batch_after_its_leader's_term$",
	},
	{
		scenario: "a peer refuses a forwarded submission for good that was accepted meanwhile",
		marker:   "peer-refusal",
		operator: dropOperands(2, 1),
		test:     "internal/controller:^TestPeerRefusalDoesNotUndoAcceptance$",
	},
}
