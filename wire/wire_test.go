package wire_test

import (
	"errors"
	"math"
	"os"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/yarrowgap/yarrowgap/internal/fixedseed"
	"github.com/yarrowgap/yarrowgap/wire"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m)) }

// validSubmission returns a valid submission with every field, as a map that tests can modify.
func validSubmission() map[string]any {
	return map[string]any{
		"uid": "run-000412", "docket": "train", "crew": "vision", "shape": "batch", "rank": "urgent", "shifts": 16,
		"cpus": 8.0, "gpus": 1.0, "memory_gb": 64.0, "kit": "img-07", "pull_gb": 6.2, "breeds": []string{"g8"},
		"pasture": nil, "together": true, "scatter": false, "loaners": true,
		"reckon_s": 240.0, "tally_s": 30.0, "stow_s": 4.0, "due_s": 900.0,
	}
}

func encode(t interface{ Fatal(...any) }, v any) []byte {
	b, err := wire.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestJobRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		amount := rapid.Float64Range(0, 1e6)
		submission := validSubmission()
		submission["shifts"] = rapid.IntRange(1, wire.MaxTasks).Draw(t, "tasks")
		for _, k := range []string{"cpus", "gpus", "memory_gb", "pull_gb", "reckon_s", "tally_s", "stow_s", "due_s"} {
			submission[k] = amount.Draw(t, k)
			if rapid.Bool().Draw(t, k+" whole") {
				submission[k] = int(submission[k].(float64)) // an amount may be encoded as an integer
			}
		}
		for _, k := range []string{"docket", "crew", "kit"} {
			submission[k] = rapid.StringMatching(`[a-z0-9-]{1,40}`).Draw(t, k)
		}
		if rapid.Bool().Draw(t, "omit") {
			delete(submission, "pasture")
			delete(submission, "due_s")
			submission["later"] = map[string]any{"unknown": true}
		}
		j, err := wire.ParseJob(encode(t, submission))
		if err != nil {
			t.Fatal(err)
		}
		decoded := &wire.Job{}
		if err := wire.Unmarshal(encode(t, j), decoded); err != nil || !reflect.DeepEqual(j, decoded) {
			t.Fatalf("%v: %+v became %+v", err, j, decoded)
		}
		if j.Tasks != submission["shifts"].(int) || j.Class != submission["docket"] || (j.DeadlineS == nil) != (submission["due_s"] == nil) {
			t.Fatalf("%v was parsed as %+v", submission, j)
		}
	})
}

func TestInvalidJobErrorNamesField(t *testing.T) {
	for field, values := range map[string][]any{
		"uid":       {nil, "", "run-1", "run-00041x", "job-000412", "run-000412/3", 7},
		"docket":    {nil, "", strings.Repeat("x", 300)},
		"shape":     {nil, "loop"},
		"rank":      {nil, "high"},
		"shifts":    {nil, 0, -1, 100_001, "many", 1.5},
		"cpus":      {nil, -1, math.NaN(), math.Inf(1), "8"},
		"memory_gb": {nil, math.Inf(-1), true},
		"kit":       {nil, ""},
		"breeds":    {"g8", []any{1}, make([]string, 100)},
		"together":  {nil, 1},
		"due_s":     {-5, math.NaN()},
	} {
		for _, v := range values {
			submission := validSubmission()
			submission[field] = v
			if j, err := wire.ParseJob(encode(t, submission)); err == nil {
				t.Errorf("%s = %v was accepted: %+v", field, v, j)
			} else if fieldErr := (*wire.FieldError)(nil); !strings.Contains(err.Error(), field) || errors.As(err, &fieldErr) && fieldErr.Field != field {
				t.Errorf("%s = %v: the error does not name the field: %v", field, v, err)
			}
		}
	}
}

func TestUnmarshalRejectsDuplicateKeysAndTrailingBytes(t *testing.T) {
	b := encode(t, validSubmission())
	if _, err := wire.ParseJob(append(b[:len(b):len(b)], 0xf6)); err == nil {
		t.Error("trailing bytes were accepted")
	}
	if err := wire.Unmarshal([]byte{0xa2, 0x61, 'a', 1, 0x61, 'a', 2}, &map[string]int{}); err == nil {
		t.Error("a map with a duplicate key was accepted")
	}
}

func FuzzParseJob(f *testing.F) {
	f.Add(encode(f, validSubmission()))
	f.Add([]byte{0xa0})
	f.Add([]byte{0xbf, 0xff})
	f.Add([]byte{0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		j, err := wire.ParseJob(b)
		if err != nil {
			return
		}
		if !wire.ValidJobID(j.ID) || j.Tasks < 1 || j.Tasks > wire.MaxTasks || !(j.CPUs >= 0) || wire.PriorityOrder(j.Priority) < 0 {
			t.Errorf("accepted an invalid job: %+v", j)
		}
		if wire.JobIDOf(b) != j.ID {
			t.Errorf("JobIDOf returned %q, ParseJob %q", wire.JobIDOf(b), j.ID)
		}
	})
}

func FuzzHeartbeat(f *testing.F) {
	heartbeat := wire.Heartbeat{Machine: "n-000231", Address: "10.1.0.232:9000", Incarnation: 1, Sequence: 88,
		Tasks: []wire.TaskStatus{{Task: "run-000412/3", Attempt: 2, State: wire.TaskRunning}}}
	f.Add(encode(f, heartbeat))
	f.Add([]byte{0xa1, 0x63, 'r', 'i', 'g', 0xf6})
	f.Fuzz(func(t *testing.T, b []byte) {
		var heartbeat wire.Heartbeat
		if wire.Unmarshal(b, &heartbeat) != nil || heartbeat.Validate() != nil {
			return
		}
		if heartbeat.Incarnation == 0 || heartbeat.Machine == "" {
			t.Errorf("accepted an invalid heartbeat: %+v", heartbeat)
		}
		for _, task := range heartbeat.Tasks {
			id, index, ok := wire.ParseTaskName(task.Task)
			if !ok || !wire.ValidJobID(id) || index < 0 {
				t.Errorf("accepted an invalid task name %q", task.Task)
			}
		}
	})
}
