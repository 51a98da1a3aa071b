package mutation_test

// Tests that several rows use.
const (
	messageFaultsTest     = "internal/scheduler:^TestCombinedMessageFaults$/"
	lateCopiesTest        = "internal/scheduler:^TestLateCopiesOfStartsHaveNoEffect$/"
	absenceProofTest      = "internal/scheduler:^TestEachConditionDefeatsProofOfAbsence$"
	unexpectedMachineTest = "internal/scheduler:^TestUnexpectedMachineIsAdopted$"
)

// heartbeatMutations remove safeguards of what heartbeats prove, of commands in flight, and of
// the state that a new leader recovers from a failed one.
var heartbeatMutations = []mutation{
	{
		scenario: "a delayed heartbeat arrives after newer ones",
		marker:   "heartbeat-sequence",
		operator: replace("true"),
		test:     messageFaultsTest + "after_newer_ones",
	},
	{
		scenario: "a delayed heartbeat reaches every controller just as a new leader takes over",
		marker:   "absence-needs-fencing-token",
		operator: replace("false"),
		test:     messageFaultsTest + "just_as_a_new_leader_begins",
	},
	{
		scenario: "a heartbeat is delayed until a new leader has acted",
		marker:   "absence-needs-fencing-token",
		operator: replace("false"),
		test:     messageFaultsTest + "held_back",
	},
	{
		scenario: "a duplicate heartbeat is the first that a new leader receives from a machine",
		marker:   "confirm-only-own-new-machines",
		operator: dropOperands(5, 4),
		test:     "internal/scheduler:^TestDuplicateLateHeartbeatsAreIgnored$",
	},
	{
		scenario: "a duplicate heartbeat comes from a machine that was released",
		marker:   "heartbeat-of-released-machine",
		operator: setCondition(false),
		test:     "internal/scheduler:^TestDuplicateLateHeartbeatsAreIgnored$",
	},
	{
		scenario: "a direct reply is delayed and newer heartbeats overtake it",
		marker:   "direct-reply-sequence",
		operator: setCondition(true),
		test:     messageFaultsTest + "a_command_or_its_answer",
	},
	{
		scenario: "a duplicate start arrives after its attempt was forgotten",
		marker:   "forget-raises-fencing-token",
		operator: setCondition(false),
		test:     messageFaultsTest + "a_command_or_its_answer",
	},
	{
		scenario: "a late copy of a start that was executed arrives after a forget",
		marker:   "forget-raises-fencing-token",
		operator: setCondition(false),
		test:     lateCopiesTest + "after_a_forget",
	},
	{
		scenario: "a late copy of a start by a direct call arrives after a forget",
		marker:   "copies-of-replies",
		operator: dropOperands(2, 0),
		test:     lateCopiesTest + "after_a_forget",
	},
	{
		scenario: "a late copy of a start by a reply arrives after its task has moved",
		marker:   "copies-of-replies",
		operator: dropOperands(2, 1),
		test:     lateCopiesTest + "a_moved_task",
	},
	{
		scenario: "a late copy of a start arrives after its task was cancelled",
		marker:   "forget-raises-fencing-token",
		operator: setCondition(false),
		test:     lateCopiesTest + "a_cancelled_task",
	},
	{
		scenario: "a late copy of a start arrives although the fencing token was raised",
		marker:   "fencing-counter-raised",
		operator: remove(),
		test:     lateCopiesTest + "a_moved_task",
	},
	{
		scenario: "a late copy of an earlier leader's start arrives",
		marker:   "fencing-token-has-term",
		operator: replace("1", argument(0, 2)),
		test:     lateCopiesTest + "a_new_leader",
	},
	{
		scenario: "a late copy of a start arrives after all controllers were back within a second",
		marker:   "fencing-token-has-term",
		operator: replace("1", argument(0, 2)),
		test:     lateCopiesTest + "a_controller_back",
	},
	{
		scenario: "a late copy of a start arrives after a later attempt has ended on the machine",
		marker:   "start-after-forget",
		operator: setCondition(false),
		test:     lateCopiesTest + "a_task_that_is_back",
	},
	{
		scenario: "a late copy of a start arrives after its machine was back within a second",
		marker:   "forget-raises-fencing-token",
		operator: setCondition(false),
		test:     lateCopiesTest + "a_machine_back",
	},
	{
		scenario: "a start is delayed past its stop, and no fencing token is ever raised",
		marker:   "fencing-counter-raised",
		operator: remove(),
		test:     messageFaultsTest + "a_command_or_its_answer",
	},
	{
		scenario: "a start that is still in flight is stopped",
		marker:   "stop-raises-fencing-token",
		operator: remove(),
		test:     "internal/scheduler:^TestDelayedStartIsFencedAfterStop$",
	},
	{
		scenario: "a heartbeat carries a fencing token below the one the start needs",
		marker:   "absence-needs-fencing-token",
		operator: replace("0", term(1, 2), argument(1, 2)),
		test:     absenceProofTest,
	},
	{
		scenario: "a heartbeat arrives while the call with the start is in flight",
		marker:   "absence-needs-finished-call",
		operator: replace("false"),
		test:     absenceProofTest,
	},
	{
		scenario: "a direct reply overtakes the heartbeat reply that carried the start",
		marker:   "absence-needs-next-heartbeat",
		operator: dropOperands(3, 1),
		test:     absenceProofTest,
	},
	{
		scenario: "the heartbeat whose reply carried the start does not list it",
		marker:   "absence-needs-next-heartbeat",
		operator: dropOperands(3, 2),
		test:     absenceProofTest,
	},
	{
		scenario: "a new attempt meets an ended one of its task",
		marker:   "start-after-forget",
		operator: setCondition(false),
		test:     "internal/scheduler:^TestNoDispatchBesideEndedAttempt$",
	},
	{
		scenario: "machines get work at once while writes lag, and the leader fails",
		marker:   "start-after-record",
		operator: dropOperands(7, 0),
		test:     messageFaultsTest + "writes_lag",
	},
	{
		scenario: "a leader fails while machines with long tasks are unreachable",
		marker:   "recovered-attempt-counts-as-sent",
		operator: replace("false", element(0, 1)),
		test:     messageFaultsTest + "long_tasks",
	},
	{
		scenario: "a leader fails before a cancellation has reached unreachable machines",
		marker:   "recovered-attempt-of-cancelled-job",
		operator: dropOperands(2, 0),
		test:     messageFaultsTest + "long_tasks",
	},
	{
		scenario: "a one-way partition: a machine's heartbeats arrive, and no command reaches it",
		marker:   "unacknowledged-start-marks-unreachable",
		operator: remove(),
		test:     "internal/scheduler:^TestUnreachableMachineGetsNoWorkAndIsReleased$",
	},
	{
		scenario: "an incarnation ends by lease expiry although its heartbeats were answered",
		marker:   "lost-incarnation-marks-unreachable",
		operator: remove(),
		test:     "internal/scheduler:^TestLeaseExpiryDespiteRepliesMarksMachineUnreachable$",
	},
	{
		scenario: "workers open no connections, and the leader fails",
		marker:   "recovered-attempt-counts-as-sent",
		operator: replace("false", element(0, 1)),
		test:     messageFaultsTest + "workers_open_no_connections",
	},
	{
		scenario: "workers open no connections, and their incarnations end",
		marker:   "direct-call-incarnation",
		operator: keepArgument(0, 2, element(1, 3)),
		test:     messageFaultsTest + "workers_open_no_connections",
	},
	{
		scenario: "unexpected machines come up, and the leader fails",
		marker:   "recovered-attempt-counts-as-sent",
		operator: replace("false", element(0, 1)),
		test:     messageFaultsTest + "nobody_expected",
	},
	{
		scenario: "machines open no connections, and only status probes tell of them",
		marker:   "status-probe-when-overdue",
		operator: setCondition(false),
		test:     "internal/scheduler:^TestMachineWithoutHeartbeatsIsDrivenByStatusProbes$",
	},
	{
		scenario: "machines open no connections, and answer direct calls",
		marker:   "direct-reply-counts-as-heartbeat",
		operator: remove(),
		test:     "internal/scheduler:^TestMachineWithoutHeartbeatsIsDrivenByStatusProbes$",
	},
	{
		scenario: "a done task is listed again and again while its job's other tasks run",
		marker:   "done-counted-once",
		operator: dropOperands(3, 1),
		test:     "internal/scheduler:^TestSpreadCompletionsSurviveFailovers$",
	},
	{
		scenario: "a leader fails between a task's end and the write of it",
		marker:   "forget-after-durable-end",
		// The mutation confuses two sets of the same type: tasks durably recorded as done, and
		// tasks that are done.
		operator: replaceName("saved", "done"),
		test:     "internal/scheduler:^TestSpreadCompletionsSurviveFailovers$",
	},
	{
		scenario: "an unexpected machine runs a task of a cancelled job",
		marker:   "recovered-attempt-of-cancelled-job",
		operator: dropOperands(2, 0),
		test:     unexpectedMachineTest,
	},
	{
		scenario: "an unexpected machine runs a task that is done",
		marker:   "recovered-attempt-of-done-task",
		operator: remove(),
		test:     unexpectedMachineTest,
	},
	{
		scenario: "an unexpected machine runs a task that runs elsewhere too",
		marker:   "recovered-attempt-duplicate",
		operator: remove(),
		test:     unexpectedMachineTest,
	},
	{
		scenario: "an unexpected machine's task is not recorded",
		marker:   "record-unexpected-attempt",
		operator: remove(),
		test:     unexpectedMachineTest,
	},
	{
		scenario: "another machine answers at a machine's address",
		marker:   "direct-reply-of-another-machine",
		operator: setCondition(false),
		test:     "internal/scheduler:^TestReplyFromReusedAddressIsIgnored$",
	},
	{
		scenario: "a heartbeat under a later leader's fencing token reaches an earlier leader",
		marker:   "resign-on-higher-fencing-token",
		operator: remove(),
		test:     "internal/scheduler:^TestHigherFencingTokenEndsLeadership$",
	},
	{
		scenario: "a worker sends an absurd fencing token",
		marker:   "ignore-absurd-fencing-token",
		operator: setCondition(false),
		test:     "internal/scheduler:^TestHigherFencingTokenEndsLeadership$",
	},
}
