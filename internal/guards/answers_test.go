package guards_test

// answersGuards are those of what users are told, at all nodes, whatever becomes of the
// transactions.
var answersGuards = []guard{
	{
		meeting: "users ask at all nodes right after a job was accepted",
		file:    "internal/node/queries.go",
		cut:     "if at, err = n.fresh(ctx); err != nil {",
		put:     "if at = time.Now(); err != nil {",
		test:    "internal/api:^TestNoNodeTellsAnOlderAnswer$",
	},
	{
		meeting: "a question comes while an earlier one's read is out",
		file:    "internal/node/replica.go",
		cut: `		c := n.next
		n.next = nil
		if c == nil {
			n.active = false
			n.syncMu.Unlock()
			return
		}
		n.syncMu.Unlock()
		c.err = n.syncOnce()
`,
		put: `		c := n.next
		if c == nil {
			n.active = false
			n.syncMu.Unlock()
			return
		}
		n.syncMu.Unlock()
		c.err = n.syncOnce()
		n.syncMu.Lock()
		n.next = nil
		n.syncMu.Unlock()
`,
		test: "internal/api:^TestQuestionsShareNoEarlierRead$",
	},
	{
		meeting: "a submission is carried out after the job was cancelled",
		file:    "internal/node/submissions.go",
		cut:     "If:    []wire.Condition{{Key: store.JobKey(job.ID)}, {Key: store.EndedKey(job.ID)}},",
		put:     "If:    []wire.Condition{{Key: store.EndedKey(job.ID)}},",
		test:    "internal/api:^TestLateWritesChangeNothing$/^submission_after_a_cancellation$",
	},
	{
		meeting: "a submission is carried out after the job has ended as cancelled",
		file:    "internal/node/submissions.go",
		cut:     "If:    []wire.Condition{{Key: store.JobKey(job.ID)}, {Key: store.EndedKey(job.ID)}},",
		put:     "If:    []wire.Condition{{Key: store.JobKey(job.ID)}},",
		test:    "internal/api:^TestLateWritesChangeNothing$/^submission_after_the_end_of_a_cancelled_job$",
	},
	{
		meeting: "a submission is carried out after the job is done",
		file:    "internal/node/submissions.go",
		cut:     "If:    []wire.Condition{{Key: store.JobKey(job.ID)}, {Key: store.EndedKey(job.ID)}},",
		put:     "If:    []wire.Condition{{Key: store.JobKey(job.ID)}},",
		test:    "internal/api:^TestLateWritesChangeNothing$/^submission_after_the_end_of_a_done_job$",
	},
	{
		meeting: "a cancellation is carried out after the job is done",
		file:    "internal/node/users.go",
		cut:     "If:    []wire.Condition{{Key: store.JobKey(id), Stamp: live.Stamp}},",
		put:     "",
		test:    "internal/api:^TestLateWritesChangeNothing$/^cancellation_after_the_end$",
	},
	{
		meeting: "a cancellation meets the end of a job's last task",
		file:    "internal/node/users.go",
		cut:     "If:    []wire.Condition{{Key: store.JobKey(id), Stamp: live.Stamp}},",
		put:     "",
		test:    "internal/api:^TestCancellationMeetsTheEnd$",
	},
	{
		meeting: "the end of a done job is carried out after its cancellation",
		file:    "internal/core/flush.go",
		cut: `		t.t.If = append(t.t.If, wire.Condition{Key: store.JobKey(j.id), Stamp: j.stamp})
		t.t.Apply = append(t.t.Apply,
			wire.Change{Delete`,
		put: `		t.t.Apply = append(t.t.Apply,
			wire.Change{Delete`,
		test: "internal/api:^TestLateWritesChangeNothing$/^end_of_a_done_job_after_a_cancellation$",
	},
	{
		meeting: "the end of a job's last task meets its cancellation",
		file:    "internal/core/flush.go",
		cut: `		t.t.If = append(t.t.If, wire.Condition{Key: store.JobKey(j.id), Stamp: j.stamp})
		t.t.Apply = append(t.t.Apply,
			wire.Change{Delete`,
		put: `		t.t.Apply = append(t.t.Apply,
			wire.Change{Delete`,
		test: "internal/api:^TestCancellationMeetsTheEnd$",
	},
	{
		meeting: "done bits are written after a cancellation",
		file:    "internal/core/flush.go",
		cut: `				t.t.If = append(t.t.If, wire.Condition{Key: store.JobKey(j.id), Stamp: j.stamp})
				t.t.Apply = append(t.t.Apply, wire.Change{Set: store.JobKey`,
		put:  `				t.t.Apply = append(t.t.Apply, wire.Change{Set: store.JobKey`,
		test: "internal/api:^TestLateWritesChangeNothing$/^done_bits_after_a_cancellation$",
	},
	{
		meeting: "a submission is repeated whose answer was lost, after a cancellation",
		file:    "internal/node/submissions.go",
		cut:     "If:    []wire.Condition{{Key: store.JobKey(job.ID)}, {Key: store.EndedKey(job.ID)}},",
		put:     "",
		test:    "internal/api:^TestNoOlderAnswerWhereAnswersAreLost$",
	},
	{
		meeting: "a known job's submission is repeated with a malformed body while the state service is away",
		file:    "internal/node/submissions.go",
		cut: `	case err != nil:
		return n.pass(forwarded, fwd, err)
	case found:
		return Answer{Status: http.StatusOK, State: &wire.JobState{ID: id, State: v.State}}
	case refusal`,
		put: `	case err == nil && found:
		return Answer{Status: http.StatusOK, State: &wire.JobState{ID: id, State: v.State}}
	case refusal`,
		test: "internal/api:^TestOddSubmissions$",
	},
	{
		meeting: "a known job's submission is repeated with another body, that can never run",
		file:    "internal/node/submissions.go",
		cut:     "return n.unlessKnown(ctx, job.ID, verdict, fwd, forwarded)",
		put:     "return verdict",
		test:    "internal/api:^TestOddSubmissions$",
	},
	{
		meeting: "a known job's submission is repeated with a body that is too long",
		file:    "internal/node/submissions.go",
		cut:     `return n.unlessKnown(ctx, job.ID, refuse(http.StatusBadRequest, "the job's description is too long"), fwd, forwarded)`,
		put:     `return refuse(http.StatusBadRequest, "the job's description is too long")`,
		test:    "internal/api:^TestOddSubmissions$",
	},
	{
		meeting: "a submission with an amount that is no number",
		file:    "wire/job.go",
		cut:     "!finite(*p) || ",
		put:     "",
		test:    "internal/api:^TestOddSubmissions$",
	},
	{
		meeting: "a submission lacks a field that may not be left out",
		file:    "wire/job.go",
		cut: `	flag := func(field string, p *bool) bool {
		if p == nil {
			fail(field, "missing")`,
		put: `	flag := func(field string, p *bool) bool {
		if p == nil {`,
		test: "internal/api:^TestOddSubmissions$",
	},
	{
		meeting: "a job comes and ends while a read of its absence is out, and the copy is reset",
		file:    "internal/node/queries.go",
		cut:     "if n.replica.Resets == resets {",
		put:     "if _ = resets; true {",
		test:    "internal/node:^TestAbsenceIsNotNotedAcrossAReset$",
	},
	{
		meeting: "a full read of the live jobs is overtaken by changes",
		file:    "internal/node/replica.go",
		cut: `		if epoch < n.replica.Epoch {
			return
		}
`,
		put:  "",
		test: "internal/node:^TestFullReadThatIsOvertaken$",
	},
	{
		meeting: "a process stands still between a read and its answer",
		file:    "internal/node/queries.go",
		cut:     "time.Since(at) < tuning.AnswerWithin {",
		put:     "!at.IsZero() {",
		test:    "internal/node:^TestKnownReadsAgainAfterAStandstill$",
	},
	{
		meeting: "answers to reads of changes overtake each other",
		file:    "internal/core/replica.go",
		cut:     "if e.Stamp <= r.Epoch {",
		put:     "if false {",
		test:    "internal/node:^TestReplicaKeepsTheLatest$",
	},
	{
		meeting: "a job that was absent comes in changes that a reset passes over",
		file:    "internal/core/replica.go",
		cut:     "clear(r.absent) // changes were passed over",
		put:     "",
		test:    "internal/node:^TestReplicaKnowsWhatIsMissing$",
	},
	{
		meeting: "a peer decides a copy of a submission after the job has ended",
		file:    "internal/node/submissions.go",
		cut:     "If:    []wire.Condition{{Key: store.JobKey(job.ID)}, {Key: store.EndedKey(job.ID)}},",
		put:     "If:    []wire.Condition{{Key: store.JobKey(job.ID)}},",
		test:    "internal/api:^TestLateWritesChangeNothing$/^a_peer's_copy_of_a_submission_after_the_end$",
	},
	{
		meeting: "a leader's batch is written after its term",
		file:    "internal/core/flush.go",
		cut:     "t: wire.Txn{If: []wire.Condition{{Key: store.LeaderKey, Stamp: leaderStamp}}}",
		put:     "",
		test:    "internal/api:^TestLateWritesChangeNothing$/^a_batch_after_its_leader's_term$",
	},
	{
		meeting: "a peer refuses a copy of a submission for good that was accepted meanwhile",
		file:    "internal/node/submissions.go",
		cut:     "ok && a.State != nil {",
		put:     "ok {",
		test:    "internal/node:^TestPeersRefusalDoesNotUndoAcceptance$",
	},
}
