package guards_test

// standinGuards are those that stand-ins as harsh as the page have shown to be needed.
var standinGuards = []guard{
	{
		meeting: "a deletion is held back while its machine goes on, and jobs there are cancelled",
		file:    "internal/core/report.go",
		cut:     "reply.Commands = l.halts(m, true)",
		put:     "",
		test:    "internal/core:^TestCancelledWhileItsMachineIsBeingReleased$",
	},
	{
		meeting: "machines hang past their lease, and their deletion is held back",
		file:    "internal/core/fleet.go",
		cut:     "	if res != ReleaseDone {\n",
		put:     "	if res == ReleaseRefused {\n",
		test:    "internal/core:^TestHungMachinesTasksStartElsewhereOnlyByProof$",
	},
	{
		meeting: "a rental without an answer is carried out late, and its machines never come up",
		file:    "internal/core/fleet.go",
		cut:     "return \"never came up\"",
		put:     "return \"\"",
		test:    "internal/core:^TestUnexpectedMachinesAreReturned$",
	},
}
