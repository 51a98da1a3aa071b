package guards_test

// Meetings of reports, commands and machines.
const (
	reportFile = "internal/core/report.go"
	batchFile  = "internal/core/batch.go"
	fleetFile  = "internal/core/fleet.go"
	meetingsOf = "internal/core:^TestReportMeetings$/"
	proofTest  = "internal/core:^TestProofOfAbsence$"
	adoptTest  = "internal/core:^TestUnexpectedMachine$"
)

// reportGuards are those of what reports prove, of commands that are on their way, and
// of what a leader that ends leaves to the next.
var reportGuards = []guard{
	{
		meeting: "an old report arrives after newer ones",
		file:    reportFile,
		cut:     "fresh := r.Newer(m.session, m.tick)",
		put:     "fresh := true",
		test:    meetingsOf + "after_newer_ones",
	},
	{
		meeting: "an old report reaches every controller just as a new leader begins",
		file:    reportFile,
		cut:     "if r.Token < l.term<<tuning.FenceBits|a.needFence {",
		put:     "if false {",
		test:    meetingsOf + "just_as_a_new_leader_begins",
	},
	{
		meeting: "a report is held back until a new leader has acted",
		file:    reportFile,
		cut:     "if r.Token < l.term<<tuning.FenceBits|a.needFence {",
		put:     "if false {",
		test:    meetingsOf + "held_back",
	},
	{
		meeting: "a late copy is the first that a new leader hears of a machine",
		file:    reportFile,
		cut:     "r.Token == 0 && m.ours) {",
		put:     "r.Token == 0) {",
		test:    "internal/core:^TestLateCopiesOfReports$",
	},
	{
		meeting: "a late copy comes from a machine that was given back",
		file:    reportFile,
		cut:     "if l.gone[r.Machine] {",
		put:     "if false {",
		test:    "internal/core:^TestLateCopiesOfReports$",
	},
	{
		meeting: "a direct answer is held up and newer reports overtake it",
		file:    "internal/core/commands.go",
		cut:     "		if r.Newer(m.session, m.tick) {\n			l.takeReport(m, r, false)",
		put:     "		if true {\n			l.takeReport(m, r, false)",
		test:    meetingsOf + "a_command_or_its_answer",
	},
	{
		meeting: "a copy of a start arrives after its attempt was forgotten",
		file:    "internal/core/commands.go",
		cut:     "if len(forgets) > 0 && m.directUsed {",
		put:     "if false {",
		test:    meetingsOf + "a_command_or_its_answer",
	},
	{
		meeting: "a start is held up past its stop, and no token is ever raised",
		file:    "internal/core/counters.go",
		cut:     "	m.fence = min(m.fence+1, counterMost) // watchCounters has ended the term long before\n	m.directUsed = false",
		put:     "	m.directUsed = false",
		test:    meetingsOf + "a_command_or_its_answer",
	},
	{
		meeting: "a start that is still on its way is stopped",
		file:    "internal/core/attempt.go",
		cut:     "		l.raise(a.m)\n		a.needFence = a.m.fence",
		put:     "		a.needFence = a.m.fence",
		test:    "internal/core:^TestHeldStartIsRefusedAfterItsStop$",
	},
	{
		meeting: "a report under a token below the start's fence",
		file:    reportFile,
		cut:     "<<tuning.FenceBits|a.needFence {",
		put:     "<<tuning.FenceBits {",
		test:    proofTest,
	},
	{
		meeting: "a report comes while the call with the start is out",
		file:    reportFile,
		cut:     "	if a.calling {\n		return false",
		put:     "	if false {\n		return false",
		test:    proofTest,
	},
	{
		meeting: "a direct answer overtakes the answer that took the start",
		file:    reportFile,
		cut:     "if a.replyTick != 0 && !(checkin && r.Tick > a.replyTick) {",
		put:     "if a.replyTick != 0 && r.Tick <= a.replyTick {",
		test:    proofTest,
	},
	{
		meeting: "the report whose answer took the start does not list it",
		file:    reportFile,
		cut:     "!(checkin && r.Tick > a.replyTick) {",
		put:     "!checkin {",
		test:    proofTest,
	},
	{
		meeting: "a new attempt meets an ended one of its task",
		file:    "internal/core/commands.go",
		cut:     "if e, ok := m.exited[a.ref]; ok && e.attempt != a.number {",
		put:     "if e, ok := m.exited[a.ref]; ok && e.attempt != a.number && false {",
		test:    "internal/core:^TestNoStartBesideAnEndedAttempt$",
	},
	{
		meeting: "machines get work at once while writes lag, and the leader ends",
		file:    "internal/core/commands.go",
		cut:     "if !a.recorded || a.halt ||",
		put:     "if a.halt ||",
		test:    meetingsOf + "writes_lag",
	},
	{
		meeting: "a leader ends while machines with long tasks can't be reached",
		file:    batchFile,
		cut:     "recorded: true, sent: true,",
		put:     "recorded: true, sent: false,",
		test:    meetingsOf + "long_tasks",
	},
	{
		meeting: "a leader ends before a cancellation has reached deaf machines",
		file:    "internal/core/recovery.go",
		cut:     "e.JobLive = !j.cancelled && !j.archived",
		put:     "e.JobLive = !j.archived",
		test:    meetingsOf + "long_tasks",
	},
	{
		meeting: "a machine's reports arrive, and nothing reaches it",
		file:    "internal/core/commands.go",
		cut:     "l.markUnreachable(a.m, \"a start is not acknowledged\")",
		put:     "_ = tuning.UnreachableAfter",
		test:    "internal/core:^TestDeafMachine$",
	},
	{
		meeting: "a session ends though it was answered",
		file:    reportFile,
		cut:     "l.markUnreachable(m, \"its lease ran out although it was answered\")",
		put:     "_ = m",
		test:    "internal/core:^TestSessionLostThoughAnswered$",
	},
	{
		meeting: "workers open no connections, and the leader ends",
		file:    batchFile,
		cut:     "recorded: true, sent: true,",
		put:     "recorded: true, sent: false,",
		test:    meetingsOf + "workers_open_no_connections",
	},
	{
		meeting: "workers open no connections, and their sessions end",
		file:    "internal/core/commands.go",
		cut:     "Session: max(1, m.session), Commands: cmds",
		put:     "Session: 1, Commands: cmds",
		test:    meetingsOf + "workers_open_no_connections",
	},
	{
		meeting: "machines that nobody expected come up, and the leader ends",
		file:    batchFile,
		cut:     "recorded: true, sent: true,",
		put:     "recorded: true, sent: false,",
		test:    meetingsOf + "nobody_expected",
	},
	{
		meeting: "machines open no connections, and only questions tell of them",
		file:    fleetFile,
		cut:     "if quiet > l.overdueReport() || !m.confirmed || m.unreachableSince > 0 || waiting && m.seenToken < l.token(m) {",
		put:     "if quiet < 0 {",
		test:    "internal/core:^TestMuteMachineUnderANewLeader$",
	},
	{
		meeting: "machines open no connections, and answer direct commands",
		file:    "internal/core/commands.go",
		cut:     "		l.heardAny = now.Mono\n		m.heardAt = now.Mono\n		delete",
		put:     "		delete",
		test:    "internal/core:^TestMuteMachineUnderANewLeader$",
	},
	{
		meeting: "a done task is listed again and again while its job's others run",
		file:    "internal/core/outcomes.go",
		cut:     "index >= j.spec.Tasks || j.done.Has(index) || j.service {",
		put:     "index >= j.spec.Tasks || j.service {",
		test:    "internal/core:^TestEndsFarApartAcrossLeaders$",
	},
	{
		meeting: "a leader ends between a task's end and the write of it",
		file:    "internal/core/commands.go",
		cut:     "ref.index < j.spec.Tasks && !j.saved.Has(ref.index) && !j.service",
		put:     "ref.index < j.spec.Tasks && !j.done.Has(ref.index) && !j.service",
		test:    "internal/core:^TestEndsFarApartAcrossLeaders$",
	},
	{
		meeting: "an unexpected machine has a cancelled job's task",
		file:    "internal/core/recovery.go",
		cut:     "e.JobLive = !j.cancelled && !j.archived",
		put:     "e.JobLive = !j.archived",
		test:    adoptTest,
	},
	{
		meeting: "an unexpected machine has a task that is done",
		file:    "internal/core/recovery.go",
		cut:     "e.TaskDone = j.done.Has(a.ref.index)",
		put:     "",
		test:    adoptTest,
	},
	{
		meeting: "an unexpected machine has a task that is elsewhere too",
		file:    "internal/core/recovery.go",
		cut:     "e.Duplicate = l.hasDuplicate(a, e.Recorded && sighting == recovery.Active)",
		put:     "",
		test:    adoptTest,
	},
	{
		meeting: "an unexpected machine's task is not written down",
		file:    reportFile,
		cut:     "	l.attach(a)\n	l.record(a)",
		put:     "	l.attach(a)",
		test:    adoptTest,
	},
	{
		meeting: "another machine answers at a machine's address",
		file:    "internal/core/commands.go",
		cut:     "if r != nil && r.Machine != m.name {",
		put:     "if false {",
		test:    "internal/core:^TestAnswerOfAnotherMachine$",
	},
	{
		meeting: "a report under a later leader's token reaches an earlier one",
		file:    reportFile,
		cut:     "l.out.Resign = \"a worker has seen a higher token\"",
		put:     "l.heardAny = l.now.Mono",
		test:    "internal/core:^TestOvertaken$",
	},
	{
		meeting: "a worker's absurd token",
		file:    reportFile,
		cut:     "case term > l.term+tuning.TermAhead:",
		put:     "case false:",
		test:    "internal/core:^TestOvertaken$",
	},
}
