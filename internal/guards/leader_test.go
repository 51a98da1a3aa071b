package guards_test

// leaderGuards are those of changes of leadership and of cancellations.
var leaderGuards = []guard{
	{
		meeting: "jobs are cancelled at a node that recovers as the next leader",
		file:    "internal/node/election.go",
		cut:     "leader.Cancelled(n.now(), n.told.list)",
		put:     "",
		test:    "internal/node:^TestCancelledWhileRecovering$",
	},
	{
		meeting: "a peer's list overtakes a slow answer of the state service",
		file:    "internal/core/leader.go",
		cut:     "j.cancelled = j.cancelled || l.ahead[c.ID]",
		put:     "",
		test:    "internal/core:^TestCancelledBeforeItIsKnown$",
	},
	{
		meeting: "a job is cancelled whose machine is given back, and the cloud does not answer",
		file:    "internal/core/report.go",
		cut:     "return wire.CheckinReply{Token: l.token(m), Commands: l.halts(m)}, true",
		put:     "return wire.CheckinReply{Token: l.token(m)}, true",
		test:    "internal/core:^TestCancelledOnAMachineThatIsGivenBack$",
	},
}
