package controller

import (
	"testing"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Watch answers that arrive out of order never revert the replica to an older state.
func TestReplicaIgnoresOlderWatchAnswers(t *testing.T) {
	raw := func(cancelled bool) wire.Raw {
		b, err := wire.Marshal(records.Job{Job: wire.Job{ID: "run-000001", Tasks: 1}, Cancelled: cancelled})
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	r := scheduler.NewReplica()
	r.Reset(nil, 10)
	set := wire.WatchEvent{Set: records.JobKey("run-000001"), Value: raw(false), ModRevision: 11}
	cancel := wire.WatchEvent{Set: records.JobKey("run-000001"), Value: raw(true), ModRevision: 12}
	r.Apply(wire.WatchReply{Revision: 12, Events: []wire.WatchEvent{set, cancel}})
	if touched, _ := r.Apply(wire.WatchReply{Revision: 11, Events: []wire.WatchEvent{set}}); len(touched) != 0 || !r.Live["run-000001"].Record.Cancelled {
		t.Error("an older answer reverted a cancellation")
	}
	r.Apply(wire.WatchReply{Revision: 13, Events: []wire.WatchEvent{{Delete: records.JobKey("run-000001"), ModRevision: 13}}})
	if touched, _ := r.Apply(wire.WatchReply{Revision: 12, Events: []wire.WatchEvent{set, cancel}}); len(touched) != 0 || r.Live["run-000001"] != nil {
		t.Error("an older answer restored a deleted job")
	}
	if _, unreadable := r.Apply(wire.WatchReply{Revision: 14, Events: []wire.WatchEvent{{Set: records.JobKey("run-000002"), Value: raw(false), ModRevision: 14}}}); len(unreadable) != 1 {
		t.Error("a record under another job's key was accepted")
	}
}

// A job that does not exist is read once, and then known to be absent until a change creates it:
// otherwise each query about a job that nobody submitted would cost the key-value store a read.
func TestReplicaCachesAbsentJobs(t *testing.T) {
	raw, err := wire.Marshal(records.Job{Job: wire.Job{ID: "run-000001", Tasks: 1}})
	if err != nil {
		t.Fatal(err)
	}
	set := wire.WatchEvent{Set: records.JobKey("run-000001"), Value: raw, ModRevision: 11}
	r := scheduler.NewReplica()
	r.Reset(nil, 10)
	r.MarkAbsent("run-000001")
	r.MarkAbsent("run-000002")
	if !r.Absent("run-000001") || r.Absent("run-000003") {
		t.Error("an absent job is not known to be absent, or an unknown job is")
	}
	r.Apply(wire.WatchReply{Revision: 11, Events: []wire.WatchEvent{set}})
	if r.Absent("run-000001") || !r.Absent("run-000002") {
		t.Error("a submitted job is still absent, or its submission cleared the absence of another job")
	}
	r.MarkAbsent("run-000001") // by a read that was sent before the job was submitted
	if r.Absent("run-000001") {
		t.Error("a live job is absent")
	}
	r.Reset(nil, 20)
	if r.Absent("run-000002") {
		t.Error("a job is still absent after a reset, which skips changes")
	}
}
