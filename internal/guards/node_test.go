package guards_test

// nodeGuards are those of the nodes: what they know, and what they tell whom.
var nodeGuards = []guard{
	{
		meeting: "the leader may have missed cancellations for longer than leaves time for one",
		file:    "internal/node/workers.go",
		cut:     "if n.leader != nil && n.mayRenewLeases() {",
		put:     "if n.leader != nil {",
		test:    "internal/node:^TestLeaderAnswersAsLongAsItKnows$",
	},
	{
		meeting: "a peer that starts anew forgets which cancellations it told",
		file:    "internal/node/confirmations.go",
		cut:     "if !p.begun.Before(n.knownAt) {",
		put:     "if false {",
		test:    "internal/node:^TestKnowledge$",
	},
	{
		meeting: "a release gets no answer while jobs on the machine are cancelled",
		file:    "internal/core/report.go",
		cut:     "reply.Commands = l.halts(m, true)",
		put:     "",
		test:    "internal/core:^TestCancelledOnAMachineBeingReleased$",
	},
	{
		meeting: "a stop is lost, and then nothing reaches the machine any more",
		file:    "internal/core/commands.go",
		cut:     " || renewal && a.job != nil && a.job.cancelled",
		put:     "",
		test:    "internal/core:^TestEachRenewalStopsWhatIsCancelled$",
	},
	{
		meeting: "a new leader renews a lease before it has heard the machine under its token",
		file:    "internal/core/commands.go",
		cut:     "	cmds := l.halts(m, true)\n",
		put:     "	cmds := []wire.Command{}\n",
		test:    "internal/core:^TestEachRenewalStopsWhatIsCancelled$",
	},
	{
		meeting: "a job is cancelled while a record that may be about it cannot be read",
		file:    "internal/core/flush.go",
		cut:     " || j.cancelled && l.inUnreadableRecord(j)",
		put:     "",
		test:    "internal/core:^TestCancelledWithAnUnreadableRecord$",
	},
	{
		meeting: "the same, and other nodes keep workers alive",
		file:    "internal/core/cancellations.go",
		cut:     "j.nActive > 0 || l.inUnreadableRecord(j)",
		put:     "j.nActive > 0",
		test:    "internal/core:^TestCancelledWithAnUnreadableRecord$",
	},
}
