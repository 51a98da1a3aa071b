package mutation_test

// Tests that several rows use.
const (
	probeBudgetTest = "internal/scheduler:^TestStatusProbesAreSpacedByCPUShare$"
)

// loadMutations remove safeguards against the load of a failover: the leader's lease, which must
// outlast it, and the limits of connections, requests and status probes.
var loadMutations = []mutation{
	{
		scenario: "all workers come to a new leader whose processor share is small",
		marker:   "leader-lease-by-share",
		operator: keepArgument(0, 2),
		test:     "internal/controller:^TestLeaderLeaseOutlastsFailoverLoad$",
	},
	{
		scenario: "all of several thousand workers come to a new leader whose processor share suffices for a thousand",
		marker:   "cpu-share-by-fleet",
		operator: keepArgument(0, 2),
		test:     "internal/controller:^TestLeaderLeaseOutlastsFailoverLoad$",
	},
	{
		scenario: "a leader that has no free socket refuses its peers' connections",
		marker:   "watch-needs-connection",
		operator: setCondition(false),
		test:     "internal/controller:^TestRefusedConnectionIsNoBrokenConnection$",
	},
	{
		scenario: "two leaders fail soon after each other, and the workers' leases are short",
		marker:   "leader-lease-bound",
		operator: keepArgument(0, 2),
		test:     "internal/controller:^TestLeaderLeaseOutlastsFailoverLoad$",
	},
	{
		scenario: "a new leader with a small processor share probes thousands of machines",
		marker:   "status-probe-budget",
		operator: setCondition(true),
		test:     probeBudgetTest,
	},
	{
		scenario: "machines wait for their turn to be probed while others miss heartbeats",
		marker:   "status-probe-rotation",
		operator: replace("0", argument(0, 1), index(), term(0, 3)),
		test:     probeBudgetTest,
	},
	{
		scenario: "a worker that is about to send a heartbeat is probed as well",
		marker:   "no-status-probe-before-heartbeat",
		operator: replace("false"),
		test:     "internal/scheduler:^TestNoStatusProbeWhereHeartbeatIsExpectedSoon$",
	},
	{
		scenario: "more connections come than sockets or memory hold",
		marker:   "connection-bound",
		operator: alwaysTrue(),
		test:     "cmd/yarrowgap:^TestConnectionsOverLimitAreClosed$",
	},
	{
		scenario: "workers take the last connections, and a load balancer checks the health",
		marker:   "reserved-connections",
		operator: replace("false"),
		test:     "cmd/yarrowgap:^TestWorkersTakeConnectionsReservedForHealthChecks$",
	},
	{
		scenario: "outages in series isolate a controller, and a load balancer checks its health",
		marker:   "withdrawals-bound",
		operator: replace("true"),
		test:     "internal/controller:^TestIsolationsInSeriesKeepControllerOutOfService$",
	},
	{
		scenario: "sockets are many and memory is small",
		marker:   "connections-by-memory",
		operator: remove(),
		test:     "internal/config:^TestCapacityLimits$",
	},
	{
		scenario: "hundreds of heartbeats arrive at once, and the leader's lease is to be renewed",
		marker:   "request-slots",
		operator: setCondition(true),
		test:     "internal/httpserver:^TestConcurrentRequestLimit$",
	},
	{
		scenario: "a request's header does not end",
		marker:   "header-size-limit",
		operator: replace("1 << 30"),
		test:     "internal/httpserver:^TestConnectionReuse$/endless_header",
	},
	{
		scenario: "a refused client still sends its body, and a reset overtakes the reply",
		marker:   "linger-after-refusal",
		operator: setCondition(false),
		test:     "internal/httpserver:^TestConnectionStaysOpenWhileRejectedBodyIsSent$",
	},
}
