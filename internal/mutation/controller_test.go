package mutation_test

// controllerMutations remove safeguards of the controllers: what they know of cancellations, and
// what they confirm to workers, peers and users.
var controllerMutations = []mutation{
	{
		scenario: "the leader may have missed cancellations for longer than leaves time for one",
		marker:   "heartbeat-needs-cancellation-watermark",
		operator: setCondition(true),
		test:     "internal/controller:^TestLeaderAnswersHeartbeatsUntilWatermarkIsTooOld$",
	},
	{
		scenario: "a restarted peer has lost the cancellations it confirmed",
		marker:   "peer-restart-bounds-watermark",
		operator: setCondition(false),
		test:     "internal/controller:^TestCancellationWatermarkIsNeverAheadOfConfirmations$",
	},
	{
		scenario: "a release call goes unanswered while jobs on the machine are cancelled",
		marker:   "stops-while-releasing",
		operator: remove(),
		test:     "internal/scheduler:^TestReleasingMachineStillStopsCancelledTasks$",
	},
	{
		scenario: "a stop is lost, and then commands no longer reach the machine",
		marker:   "renewal-repeats-stops",
		operator: dropOperands(7, 4, 5, 6),
		test:     "internal/scheduler:^TestEveryLeaseRenewalStopsCancelledTasks$",
	},
	{
		scenario: "a new leader renews a lease before the machine has reported under its fencing token",
		marker:   "stops-before-confirmation",
		// There are no constants of this type, and nil would be encoded as null.
		operator: replaceExpr("[]wire.Command{}"),
		test:     "internal/scheduler:^TestEveryLeaseRenewalStopsCancelledTasks$",
	},
	{
		scenario: "a job is cancelled while a record that may concern it is unreadable",
		marker:   "end-waits-for-unreadable-records",
		operator: dropOperands(3, 1, 2),
		test:     "internal/scheduler:^TestCancellationWaitsForUnreadableRecord$",
	},
	{
		scenario: "a job is cancelled while a record that may concern it is unreadable, and followers keep workers alive",
		marker:   "watermark-waits-for-unreadable-records",
		operator: dropOperands(3, 2),
		test:     "internal/scheduler:^TestCancellationWaitsForUnreadableRecord$",
	},
}
