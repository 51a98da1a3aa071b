package wire_test

import (
	"reflect"
	"testing"

	"github.com/yarrowgap/yarrowgap/internal/golden"
	"github.com/yarrowgap/yarrowgap/wire"
)

// goldenMessages lists every message. json is set for those that are also encoded as JSON.
var goldenMessages = []struct {
	name    string
	message any
	json    bool
}{
	{"job", &wire.Job{}, true},
	{"job-view", &wire.JobView{}, true},
	{"job-state", &wire.JobStateReply{}, true},
	{"error", &wire.ErrorReply{}, true},
	{"heartbeat", &wire.Heartbeat{}, true},
	{"heartbeat-task", &wire.TaskStatus{}, true},
	{"heartbeat-reply", &wire.HeartbeatReply{}, true},
	{"command", &wire.Command{}, true},
	{"direct-commands", &wire.DirectCommands{}, true},
	{"redirect", &wire.Redirect{}, true},
	{"machine-type", &wire.MachineType{}, true},
	{"machine-type-list", &wire.MachineTypeList{}, true},
	{"provision-request", &wire.ProvisionRequest{}, true},
	{"machine-names", &wire.MachineNames{}, true},
	{"listed-machine", &wire.ListedMachine{}, true},
	{"machine-list", &wire.MachineList{}, true},
	{"kv-item", &wire.KeyValue{}, false},
	{"kv-page", &wire.RangeReply{}, false},
	{"kv-condition", &wire.Compare{}, false},
	{"kv-change", &wire.Op{}, false},
	{"kv-transaction", &wire.Txn{}, false},
	{"kv-transaction-reply", &wire.TxnReply{}, false},
	{"kv-lease-request", &wire.LeaseRequest{}, false},
	{"kv-lease", &wire.LeaseReply{}, false},
	{"kv-log-entry", &wire.WatchEvent{}, false},
	{"kv-changes", &wire.WatchReply{}, false},
}

func TestMessageEncodingsMatchGoldenFiles(t *testing.T) {
	var messages []any
	for _, m := range goldenMessages {
		golden.CheckEncoding(t, m.name, golden.CBOR, m.message)
		if m.json {
			golden.CheckEncoding(t, m.name, golden.JSON, m.message)
		}
		messages = append(messages, m.message)
	}
	golden.CheckCoverage(t, messages...)
}

// TestSubmissionMatchesGoldenFile covers the decoding of submissions, which uses a struct with
// its own field tags, separate from those of Job.
func TestSubmissionMatchesGoldenFile(t *testing.T) {
	deadline := 900.5
	job := &wire.Job{
		ID: "run-000412", Class: "train", Team: "vision", Shape: wire.ShapeGang, Priority: wire.PriorityUrgent, Tasks: 16,
		CPUs: 8.5, GPUs: 1.5, MemoryGB: 64.5, Image: "img-07", ImageGB: 6.5, MachineTypes: []string{"g8", "g16"},
		Zone: "zone-a", SameZone: true, SpreadZones: true, Spot: true,
		EstimatedRunS: 240.5, CheckpointIntervalS: 30.5, CheckpointSaveS: 4.5, DeadlineS: &deadline,
	}
	submission := golden.CheckBytes(t, "submission.cbor", encode(t, job))
	parsed, err := wire.ParseJob(submission)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(parsed, job) {
		t.Errorf("parsed as %+v, want %+v", parsed, job)
	}
	if id := wire.JobIDOf(submission); id != job.ID {
		t.Errorf("JobIDOf returned %q, want %q", id, job.ID)
	}
}

// TestProtocolConstantsMatchGoldenFile covers the protocol's constants and the format of task
// names.
func TestProtocolConstantsMatchGoldenFile(t *testing.T) {
	golden.CheckLines(t, "words.txt",
		wire.ContentType, wire.MaxBody, wire.MaxTasks,
		wire.ShapeArray, wire.ShapeService, wire.ShapeGang,
		wire.PriorityProduction, wire.PriorityUrgent, wire.PriorityNormal, wire.PriorityIdle,
		wire.JobPending, wire.JobRunning, wire.JobDone, wire.JobCancelled,
		wire.MachineStarting, wire.MachineRunning, wire.MachineFailed,
		wire.TaskFetching, wire.TaskRunning, wire.TaskCheckpointing, wire.TaskExited,
		wire.CauseDone, wire.CauseStopped, wire.CauseError, wire.CauseNoCapacity, wire.CauseDuplicate, wire.CauseUnknown,
		wire.VerbRun, wire.VerbStop, wire.VerbForget,
		wire.TaskName("run-000412", 3),
	)
}
