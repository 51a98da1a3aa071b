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
		file:    "internal/core/returns.go",
		cut:     "	if res != ReleaseDone {\n",
		put:     "	if res == ReleaseRefused {\n",
		test:    "internal/core:^TestHungMachinesTasksStartElsewhereOnlyByProof$",
	},
	{
		meeting: "a rental without an answer is carried out late, and its machines never come up",
		file:    "internal/core/returns.go",
		cut:     "return \"never came up\"",
		put:     "return \"\"",
		test:    "internal/core:^TestUnexpectedMachinesAreReturned$",
	},
	{
		meeting: "a malformed repeat of an accepted submission comes while the state service refuses",
		file:    "internal/node/submissions.go",
		cut:     "	case err != nil:\n		return n.pass(forwarded, fwd, err)\n	case found:",
		put:     "	case err != nil:\n		return refusal\n	case found:",
		test:    "internal/api:^TestRepeatedSubmissionIsNeverCalledMalformed$",
	},
	{
		meeting: "a repeat of an accepted submission has become too long",
		file:    "internal/node/submissions.go",
		cut:     "return n.unlessKnown(ctx, job.ID, refuse(http.StatusBadRequest, \"the job's description is too long\"), fwd, forwarded)",
		put:     "return refuse(http.StatusBadRequest, \"the job's description is too long\")",
		test:    "internal/api:^TestRepeatedSubmissionIsNeverCalledMalformed$",
	},
	{
		meeting: "jobs of one task come four a second and are cancelled as they start",
		file:    "internal/core/attempt.go",
		cut:     "	l.pushDue[a.m.name] = true // with all other stops of this input\n",
		put:     "",
		test:    "internal/core:^TestNothingStartsAfterAConfirmedCancellation$",
	},
}
