package mutation_test

// storeLimitMutations remove safeguards against writes that exceed the limits of the key-value
// store.
var storeLimitMutations = []mutation{
	{
		scenario: "the key-value store rejects a transaction as too large",
		marker:   "rejected-transaction-is-not-executed",
		operator: remove(),
		test:     "internal/controller:^TestCommitResults$",
	},
	{
		scenario: "one of several writes in a transaction is too large",
		marker:   "rejected-writes-are-isolated",
		operator: remove(),
		test:     "internal/scheduler:^TestRecordRejectedAloneDelaysNoOtherWrite$",
	},
	{
		scenario: "a batch of assignments is larger than a value may be",
		marker:   "rejected-value-halves-limit",
		operator: remove(),
		test:     "internal/scheduler:^TestWorkGoesOnAfterStoreLowersItsLimits$",
	},
	{
		scenario: "the key-value store rejects one record for ever",
		marker:   "accepted-size-is-no-limit",
		operator: setCondition(false),
		test:     "internal/scheduler:^TestRecordRejectedForEverLowersNoLimit$",
	},
	{
		scenario: "the key-value store rejects all transactions for a while",
		marker:   "lowered-limits-rise",
		operator: remove(),
		test:     "internal/scheduler:^TestLoweredLimitsRiseAgain$",
	},
	{
		scenario: "users name images with characters that JSON escapes",
		marker:   "escaped-name-size",
		operator: replaceExpr("len(name) + batchNameBytes"),
		test:     batchOfUsersNamesTest,
	},
	{
		scenario: "a machine holds images with long names, and values are small",
		marker:   "batch-without-images",
		operator: remove(),
		test:     batchOfUsersNamesTest,
	},
	{
		scenario: "a job's record was stored under a higher limit on values",
		marker:   "large-job-record",
		operator: setCondition(true),
		test:     "internal/scheduler:^TestProgressOfJobOverValueLimitIsStored$",
	},
	{
		scenario: "the completed tasks of a very large job fit no value",
		marker:   "too-large-progress-waits",
		operator: setCondition(true),
		test:     "internal/scheduler:^TestTooLargeProgressDelaysNoOtherJob$",
	},
	{
		scenario: "a user cancels a job whose record is over the store's limit",
		marker:   "smallest-cancellation",
		operator: remove(),
		test:     "internal/controller:^TestRejectedCancellationIsMadeSmaller$",
	},
	{
		scenario: "the key-value store takes on the limits that the settings announce",
		marker:   "announced-store-limits",
		operator: remove(),
		test:     "internal/config:^TestAnnouncedStoreLimitsAreObeyed$",
	},
	{
		scenario: "the key-value store takes fewer writes than the settings say",
		marker:   "refusals-lower-write-rate",
		operator: remove(),
		test:     "internal/scheduler:^TestWriteRateFallsAndRises$",
	},
	{
		scenario: "a transaction has more changes than the key-value store takes in a second",
		marker:   "transaction-within-burst",
		operator: keepArgument(0, 2),
		test:     "internal/scheduler:^TestTransactionStaysWithinBurst$",
	},
	{
		scenario: "one machine type is too large for the key-value store",
		marker:   "rejected-machine-type",
		operator: setCondition(false),
		test:     "internal/controller:^TestRejectedMachineTypeHoldsUpNoOther$",
	},
	{
		scenario: "a job's class takes more than a value may have",
		marker:   "ended-record-without-class",
		operator: remove(),
		test:     "internal/scheduler:^TestEndOfJobWithLongClassIsStored$",
	},
}

const batchOfUsersNamesTest = "internal/scheduler:^TestBatchWithNamesOfUsersFitsValueLimit$"
