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

// validSubmission is a submission with every field, as a map in which tests can break one.
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
		f := validSubmission()
		f["shifts"] = rapid.IntRange(1, wire.MaxTasks).Draw(t, "tasks")
		for _, k := range []string{"cpus", "gpus", "memory_gb", "pull_gb", "reckon_s", "tally_s", "stow_s", "due_s"} {
			f[k] = amount.Draw(t, k)
			if rapid.Bool().Draw(t, k+" whole") {
				f[k] = int(f[k].(float64)) // integers are read where an amount stands
			}
		}
		for _, k := range []string{"docket", "crew", "kit"} {
			f[k] = rapid.StringMatching(`[a-z0-9-]{1,40}`).Draw(t, k)
		}
		if rapid.Bool().Draw(t, "omit") {
			delete(f, "pasture")
			delete(f, "due_s")
			f["later"] = map[string]any{"unknown": true}
		}
		j, err := wire.ParseJob(encode(t, f))
		if err != nil {
			t.Fatal(err)
		}
		again := &wire.Job{}
		if err := wire.Unmarshal(encode(t, j), again); err != nil || !reflect.DeepEqual(j, again) {
			t.Fatalf("%v: %+v became %+v", err, j, again)
		}
		if j.Tasks != f["shifts"].(int) || j.Class != f["docket"] || (j.DeadlineS == nil) != (f["due_s"] == nil) {
			t.Fatalf("%v was read as %+v", f, j)
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
			f := validSubmission()
			f[field] = v
			if j, err := wire.ParseJob(encode(t, f)); err == nil {
				t.Errorf("%s = %v is accepted: %+v", field, v, j)
			} else if fieldErr := (*wire.FieldError)(nil); !strings.Contains(err.Error(), field) || errors.As(err, &fieldErr) && fieldErr.Field != field {
				t.Errorf("%s = %v: the error does not name the field: %v", field, v, err)
			}
		}
	}
}

func TestUnmarshalRejectsDuplicateKeysAndTrailingBytes(t *testing.T) {
	b := encode(t, validSubmission())
	if _, err := wire.ParseJob(append(b[:len(b):len(b)], 0xf6)); err == nil {
		t.Error("trailing bytes are accepted")
	}
	if err := wire.Unmarshal([]byte{0xa2, 0x61, 'a', 1, 0x61, 'a', 2}, &map[string]int{}); err == nil {
		t.Error("a map with the same key twice is accepted")
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
			t.Errorf("accepted: %+v", j)
		}
		if wire.JobIDOf(b) != j.ID {
			t.Errorf("id of the same body: %q and %q", wire.JobIDOf(b), j.ID)
		}
	})
}

func FuzzHeartbeat(f *testing.F) {
	r := wire.Heartbeat{Machine: "n-000231", Address: "10.1.0.232:9000", Incarnation: 1, Sequence: 88,
		Tasks: []wire.TaskStatus{{Task: "run-000412/3", Attempt: 2, State: wire.TaskRunning}}}
	f.Add(encode(f, r))
	f.Add([]byte{0xa1, 0x63, 'r', 'i', 'g', 0xf6})
	f.Fuzz(func(t *testing.T, b []byte) {
		var r wire.Heartbeat
		if wire.Unmarshal(b, &r) != nil || r.Validate() != nil {
			return
		}
		if r.Incarnation == 0 || r.Machine == "" {
			t.Errorf("accepted: %+v", r)
		}
		for _, task := range r.Tasks {
			id, index, ok := wire.ParseTaskName(task.Task)
			if !ok || !wire.ValidJobID(id) || index < 0 {
				t.Errorf("accepted task %q", task.Task)
			}
		}
	})
}
