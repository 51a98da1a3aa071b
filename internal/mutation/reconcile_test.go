package mutation_test

// reconcileMutations remove safeguards of the reconciliation after a restart of all controllers.
var reconcileMutations = []mutation{
	{
		scenario: "all controllers restart while fifty machines work: the reconciler",
		marker:   "reconciliation-enabled",
		operator: replace("false"),
		test:     "internal/api:^TestCommandsAfterColdRestart$",
	},
	{
		scenario: "all controllers restart, and peers have been up for long when machines are late",
		marker:   "survived-from-election",
		// The age is computed as of now instead of the election. The expression names only the
		// standard library.
		operator: replaceExpr("time.Now()", operand(1, 2), term(0, 3), receiver()),
		test:     "internal/api:^TestCommandsAfterColdRestart$",
	},
	{
		scenario: "a task completes and the controllers fail before it is recorded as done",
		marker:   "keep-attempt-until-saved",
		operator: remove(),
		test:     "internal/scheduler:^TestCompletedTaskKeepsAssignmentUntilSaved$",
	},
	{
		scenario: "a task completes, the controllers fail, and it is recorded as done then",
		marker:   "release-saved-attempt",
		operator: remove(),
		test:     "internal/scheduler:^TestCompletedTaskKeepsAssignmentUntilSaved$",
	},
	{
		scenario: "a recorded task of a job that has ended runs on",
		marker:   "stop-obsolete-attempts",
		operator: remove(),
		test:     "internal/scheduler:^TestAttemptOfEndedJobIsStopped$",
	},
	{
		scenario: "no machine is up for long, then the cloud lists the first one",
		marker:   "isolation-clock-reset",
		operator: remove(),
		test:     "internal/scheduler:^TestNoIsolationBeforeFirstMachine$",
	},
	{
		scenario: "work waits while machines with free capacity are unconfirmed: provisioning",
		marker:   "provisioning-counts-unconfirmed-capacity",
		operator: remove(),
		test:     "internal/scheduler:^TestNoScaleOutOrPreemptionForUnconfirmedCapacity$",
	},
	{
		scenario: "work waits while machines with free capacity are unconfirmed: preemption",
		marker:   "preemption-counts-unconfirmed-capacity",
		operator: dropOperands(2, 1),
		test:     "internal/scheduler:^TestNoScaleOutOrPreemptionForUnconfirmedCapacity$",
	},
	{
		scenario: "a machine is late after a cold restart",
		marker:   "reconciliation-holds-release",
		operator: dropOperands(4, 1),
		test:     "internal/scheduler:^TestLateMachineKeepsWorkUntilLeaseExpiry$",
	},
	{
		scenario: "a task without a record runs, and others may",
		marker:   "reconciliation-holds-recovered-work",
		operator: setCondition(false),
		test:     "internal/scheduler:^TestUnrecordedTaskHoldsRecoveredWork$",
	},
	{
		scenario: "half of a fleet is gone",
		marker:   "replacement-pace",
		operator: replace("false"),
		test:     "internal/scheduler:^TestCloudCallsArePacedDuringReconciliation$",
	},
	{
		scenario: "two machines report the same recorded task",
		marker:   "first-reported-duplicate-stays",
		operator: setCondition(false),
		test:     "internal/scheduler:^TestFirstOfTwoReportedAttemptsIsKept$",
	},
	{
		scenario: "a machine reports a task without a record while its team is at its quota limit",
		marker:   "unrecorded-attempt-over-limit",
		operator: remove(),
		test:     "internal/scheduler:^TestUnrecordedTaskIsAdoptedOrStopped$",
	},
	{
		scenario: "a machine reports a task without a record where its job does not allow it",
		marker:   "unrecorded-attempt-placement",
		operator: replace("true"),
		test:     "internal/scheduler:^TestUnrecordedTaskIsAdoptedOrStopped$",
	},
	{
		scenario: "thousands of machines use up a term's counters",
		marker:   "counter-check",
		operator: remove(),
		test:     "internal/scheduler:^TestFencingCountersStayWithinTerm$",
	},
	{
		scenario: "thousands of machines use up a term's counters within one round",
		marker:   "counter-check-in-round",
		operator: dropOperands(3, 1),
		test:     "internal/scheduler:^TestFencingCountersStayWithinTerm$",
	},
	{
		scenario: "a machine's fencing token reaches the next term's",
		marker:   "fencing-counter-raised",
		operator: keepArgument(0, 2),
		test:     "internal/scheduler:^TestFencingCountersStayWithinTerm$",
	},
	{
		scenario: "a duplicate heartbeat: each attempt is counted once",
		marker:   "duplicate-inventory",
		operator: remove(),
		test:     "internal/reconcile:^TestReconciliationOfGeneratedInventories$",
	},
}
