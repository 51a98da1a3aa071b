package mutation_test

import "go/token"

// leadershipMutations remove safeguards of failovers and of cancellations.
var leadershipMutations = []mutation{
	{
		scenario: "all controllers are down for longer than a lease, and jobs were cancelled right before",
		marker:   "recover-cancelled-flag",
		operator: replace("false"),
		test:     "internal/scheduler:^TestCombinedLeadershipFaults$/^all_controllers_down$",
	},
	{
		scenario: "the key-value store is slow, and a peer's cancellation list arrives before the watch shows the job",
		marker:   "pending-cancellations",
		operator: remove(),
		test:     "internal/scheduler:^TestCancellationKnownBeforeJob$",
	},
	{
		scenario: "a peer's cancellation list arrives before the watch shows the job, then the key-value store refuses the leader alone and then everybody",
		marker:   "pending-cancellations",
		operator: remove(),
		test:     "internal/scheduler:^TestCombinedLeadershipFaults$/^slow_store_then_outage$",
	},
	{
		scenario: "the key-value store refuses the leader alone and then everybody, and the confirming controller fails or a reply is lost",
		marker:   "peer-cancellations",
		operator: setCondition(false),
		test:     "internal/scheduler:^TestCombinedLeadershipFaults$/^store_outage_and_confirmer_fails$",
	},
	{
		scenario: "jobs are cancelled as the key-value store refuses the leader alone, and everybody a second later",
		marker:   "peer-cancellations",
		operator: setCondition(false),
		test:     "internal/scheduler:^TestCombinedLeadershipFaults$/^store_refuses_leader_then_outage$",
	},
	{
		scenario: "jobs are cancelled during a failover",
		marker:   "recovered-attempt-of-cancelled-job",
		operator: dropOperands(2, 0),
		test:     "internal/scheduler:^TestCombinedLeadershipFaults$/^repeated_failovers$",
	},
	{
		scenario: "jobs are cancelled at a controller that recovers as the next leader",
		marker:   "recovery-applies-own-cancellations",
		operator: remove(),
		test:     "internal/controller:^TestCancellationDuringFailoverIsKept$",
	},
	{
		scenario: "leadership moves back and forth, all controllers fail and one restarts within a second",
		marker:   "recovery-reads-each-assignment",
		operator: remove(),
		test:     "internal/scheduler:^TestCombinedLeadershipFaults$/^alternating_leaders$",
	},
	{
		scenario: "ten leaders in two minutes",
		marker:   "absence-needs-fencing-token",
		operator: replace("false"),
		test:     "internal/scheduler:^TestCombinedLeadershipFaults$/^ten_leaders$",
	},
	{
		scenario: "a zone is partitioned for longer than a lease, and release calls go unanswered",
		marker:   "release-detaches-unsent-only",
		operator: setCondition(true),
		test:     "internal/scheduler:^TestCombinedLeadershipFaults$/^zone_partition$",
	},
	{
		scenario: "a zone is partitioned, and a follower in it keeps its workers alive",
		marker:   "keepalive-bound",
		operator: dropOperands(3, 2),
		test:     "internal/controller:^TestFollowerKeepsWorkersAliveWhilePartitioned$",
	},
	{
		scenario: "a zone is partitioned, and its workers' clocks are slow",
		marker:   "keepalive-drift-margin",
		operator: replace("0", argument(1, 2), term(2, 3)),
		test:     "internal/controller:^TestKeepaliveBoundAllowsForClockDrift$",
	},
	{
		scenario: "a zone is partitioned, and its workers have a fencing token of an earlier term than the follower in it",
		marker:   "keepalive-bound",
		operator: compare(token.LEQ, operand(1, 3)),
		test:     "internal/controller:^TestFollowerKeepsWorkersAliveWhilePartitioned$",
	},
	{
		scenario: "a leader's process pauses while another one leads, and resumes as a zone is partitioned",
		marker:   "lost-leadership-ends-keepalive",
		operator: remove(),
		test:     "internal/controller:^TestKeepaliveRequiresWatermarkOfCurrentLeader$",
	},
	{
		scenario: "a leader with unconfirmed stops is partitioned from the follower that keeps workers alive",
		marker:   "watermark-of-unconfirmed-stops",
		operator: remove(),
		test:     "internal/scheduler:^TestCombinedFaults$/^a_leader_that_no_worker_reaches",
	},
	{
		scenario: "a leader is partitioned from the key-value store and its peers, and its successor learns of cancellations during recovery",
		marker:   "recovered-attempt-of-cancelled-job",
		operator: dropOperands(2, 0),
		test:     "internal/scheduler:^TestCombinedLeadershipFaults$/^leader_partition$",
	},
	{
		scenario: "a job is cancelled while its machine is scaled in, and the cloud does not answer",
		marker:   "stops-while-releasing",
		operator: remove(),
		test:     "internal/scheduler:^TestCancellationOnMachineBeingReleased$",
	},
	{
		scenario: "a job is cancelled while its machine is scaled in, and the key-value store refuses the leader alone and then everybody",
		marker:   "stops-while-releasing",
		operator: remove(),
		test:     "internal/scheduler:^TestCombinedLeadershipFaults$/^release_unanswered$",
	},
}
