package guards_test

// nodeGuards are those of the nodes: what they know, and what they tell whom.
var nodeGuards = []guard{
	{
		meeting: "the leader may have missed cancellations for longer than leaves time for one",
		file:    "internal/node/workers.go",
		cut:     "if n.leader != nil && n.entitled() {",
		put:     "if n.leader != nil {",
		test:    "internal/node:^TestLeaderAnswersAsLongAsItKnows$",
	},
	{
		meeting: "a peer that starts anew forgets which cancellations it told",
		file:    "internal/node/asof.go",
		cut:     "if !p.begun.Before(n.knownAt) {",
		put:     "if false {",
		test:    "internal/node:^TestKnowledge$",
	},
	{
		meeting: "a release gets no answer while jobs on the machine are cancelled",
		file:    "internal/core/report.go",
		cut:     "reply.Commands = l.halts(m)",
		put:     "",
		test:    "internal/core:^TestCancelledOnAMachineBeingReleased$",
	},
}
