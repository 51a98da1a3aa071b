package mutation_test

import "go/token"

// placementMutations remove safeguards of quota limits, free capacity and placement.
var placementMutations = []mutation{
	{
		scenario: "a job that missed all its deadlines is alone with large tasks",
		marker:   "aged-share-is-no-bound",
		operator: compare(token.LSS, operand(1, 2)),
		test:     "internal/scheduler:^TestAgedJobShareIsNoUpperBound$",
	},
	{
		scenario: "two jobs wait for the same machine while preemptions there are slow",
		marker:   "reservation-is-kept",
		operator: setCondition(true),
		test:     "internal/scheduler:^TestPreemptedCapacityIsUsed$",
	},
	{
		scenario: "a start is lost repeatedly, and its deadline is far off",
		marker:   "dispatch-retry-bound",
		operator: keepArgument(0, 2),
		test:     "internal/scheduler:^TestLostStartIsRetriedInTime$",
	},
	{
		scenario: "machines with free capacity fetch other jobs' images for minutes",
		marker:   "fetch-wait-bound",
		operator: replace("true", operand(2, 3)),
		test:     "internal/scheduler:^TestWaitForOtherImageFetchesIsBounded$",
	},
	{
		scenario: "production waits for a zone without machines while its team has other work",
		marker:   "reservation-wait-bound",
		operator: setCondition(true),
		test:     "internal/scheduler:^TestUnplaceableProductionReservesNoQuota$",
	},
	{
		scenario: "a gang fits on no set of machines, and reserves them",
		marker:   "reserve-only-if-gang-fits",
		operator: setCondition(false),
		test:     "internal/scheduler:^TestGangThatCannotFitReservesNothing$",
	},
	{
		scenario: "a gang fits on no set of machines, and preempts there",
		marker:   "preempt-only-if-some-fit",
		operator: dropOperands(2, 1),
		test:     "internal/scheduler:^TestGangThatCannotFitReservesNothing$",
	},
	{
		scenario: "a single-zone gang meets one zone with little free capacity and one with enough",
		marker:   "gang-zone-choice",
		operator: setCondition(true),
		test:     "internal/scheduler:^TestGangIsPlacedInTheZoneThatFitsIt$",
	},
	{
		scenario: "one-task jobs arrive four a second, and the key-value store takes few writes",
		marker:   "write-budget",
		operator: dropOperands(3, 2),
		test:     "internal/scheduler:^TestSmallJobsUnderWriteBudgetAndOutage$",
	},
	{
		scenario: "there is more work than capacity, and the largest jobs are starved",
		marker:   "starved-jobs-first",
		operator: replace("false"),
		test:     "internal/scheduler:^TestOverloadStarvesNoJob$",
	},
	{
		scenario: "teams are at their quota limits at a failover",
		marker:   "recovery-reads-assignments",
		operator: remove(),
		test:     "internal/scheduler:^TestQuotaLimitsHoldAcrossFailovers$",
	},
	{
		scenario: "a team is at its quota limit, and stops are lost or delayed",
		marker:   "stop-detaches-unsent-only",
		operator: setCondition(true),
		test:     "internal/scheduler:^TestQuotaLimitsHoldAcrossFailovers$",
	},
	{
		scenario: "a job is cancelled whose machines cannot be probed, at a failover",
		marker:   "cancelled-job-outlives-attempts",
		operator: dropOperands(3, 2),
		test:     "internal/scheduler:^TestQuotaLimitsHoldAcrossFailovers$",
	},
	{
		scenario: "jobs that are bound to a zone lose machines there",
		marker:   "zone-counts-unconfirmed-attempts",
		// Only a condition on the attempt distinguishes confirmed attempts from unconfirmed ones.
		operator: onlyIf("a.start.acknowledged"),
		test:     "internal/scheduler:^TestZonalJobsSurviveMachineLoss$",
	},
	{
		scenario: "a failover while a cancellation is not complete",
		marker:   "recovered-attempt-of-cancelled-job",
		operator: dropOperands(2, 0),
		test:     "internal/scheduler:^TestQuotaLimitsHoldAcrossFailovers$",
	},
	{
		scenario: "jobs that missed all their deadlines remain after an overload",
		marker:   "aged-share-is-no-bound",
		operator: compare(token.LSS, operand(1, 2)),
		test:     "internal/scheduler:^TestOverloadStarvesNoJob$",
	},
}
