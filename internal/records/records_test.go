package records_test

import (
	"errors"
	"math"
	"os"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/yarrowgap/yarrowgap/internal/fixedseed"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/wire"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m)) }

// A bitmap survives being split into encoded chunks, and each chunk fits into the smallest value
// limit.
func TestBitmapChunksRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, wire.MaxTasks).Draw(t, "tasks")
		b := records.NewBitmap(n)
		members := rapid.SliceOfN(rapid.IntRange(0, n-1), 0, 200).Draw(t, "done")
		want := map[int]bool{}
		for _, i := range members {
			b.Add(i)
			want[i] = true
		}
		got := records.NewBitmap(n)
		for chunk := 0; chunk < b.ChunkCount(); chunk++ {
			encoded := b.EncodeChunk(chunk)
			if len(encoded) > 1500 {
				t.Fatalf("chunk %d takes %d bytes, want at most 1500", chunk, len(encoded))
			}
			if err := got.MergeChunk(chunk, encoded); err != nil {
				t.Fatal(err)
			}
		}
		if got.Count() != len(want) {
			t.Fatalf("%d members after the round trip, want %d", got.Count(), len(want))
		}
		for i := range want {
			if !got.Has(i) {
				t.Fatalf("task %d is missing after the round trip", i)
			}
		}
	})
}

// Bitmap chunks that are too long or malformed, and incomplete job records, are rejected.
func TestDecodingRejectsInconsistentRecords(t *testing.T) {
	big := records.NewBitmap(5000)
	big.Add(4999)
	small := records.NewBitmap(16)
	if err := small.MergeChunk(0, big.EncodeChunk(0)); err == nil {
		t.Error("a bitmap of 5000 tasks was merged into one of 16")
	}
	if err := small.MergeChunk(0, "not base64!"); err == nil {
		t.Error("a chunk that is not base64 was merged")
	}
	if _, err := records.DecodeJob(wire.KeyValue{Key: records.JobKey("run-000001"), Value: wire.Raw{0xa0}}); err == nil {
		t.Error("an empty job record was accepted")
	}
}

// A batch with an invalid machine is rejected as a whole: reconciliation must not take the
// remaining machines for the complete batch.
func TestDecodeBatchRejectsInconsistentMachines(t *testing.T) {
	valid := func() records.Batch {
		return records.Batch{
			Base: 7, Types: []string{"box"}, Zones: []string{"a"}, Jobs: []string{"run-000001"}, Images: []string{"i"},
			Machines: []records.BatchMachine{{Name: "n-1", Images: []int{0}, Runs: []records.Run{{0, 3, 2, 0}}}},
		}
	}
	for _, test := range []struct {
		name   string
		change func(*records.BatchMachine)
		valid  bool
	}{
		{"valid", func(*records.BatchMachine) {}, true},
		{"no name", func(m *records.BatchMachine) { m.Name = "" }, false},
		{"unknown type", func(m *records.BatchMachine) { m.Type = 1 }, false},
		{"negative type", func(m *records.BatchMachine) { m.Type = -1 }, false},
		{"unknown zone", func(m *records.BatchMachine) { m.Zone = 1 }, false},
		{"unknown image", func(m *records.BatchMachine) { m.Images[0] = 1 }, false},
		{"no runs", func(m *records.BatchMachine) { m.Runs = nil }, false},
		{"unknown job", func(m *records.BatchMachine) { m.Runs[0][records.RunJobIndex] = 1 }, false},
		{"no tasks", func(m *records.BatchMachine) { m.Runs[0][records.RunTaskCount] = 0 }, false},
		{"task out of range", func(m *records.BatchMachine) { m.Runs[0][records.RunFirstTask] = wire.MaxTasks }, false},
		{"tasks out of range", func(m *records.BatchMachine) { m.Runs[0][records.RunTaskCount] = wire.MaxTasks }, false},
		{"tasks overflow", func(m *records.BatchMachine) { m.Runs[0][records.RunTaskCount] = math.MaxUint64 }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			batch := valid()
			test.change(&batch.Machines[0])
			raw, err := wire.Marshal(batch)
			if err != nil {
				t.Fatal(err)
			}
			_, err = records.DecodeBatch(raw)
			if test.valid && err != nil || !test.valid && !errors.Is(err, records.ErrInconsistent) {
				t.Errorf("DecodeBatch returned error: %v", err)
			}
		})
	}
}

// Guards against cancellations that the key-value store rejects as too large: the record of a
// cancelled job omits what is not needed, and nothing more.
func TestRecordOfCancelledJobIsMadeSmaller(t *testing.T) {
	job := records.Job{Done: strings.Repeat("A", 1000), Job: wire.Job{
		ID: "run-000001", Class: "train", Team: "red", Shape: wire.ShapeService, Priority: wire.PriorityNormal, Tasks: 3, CPUs: 2,
		Image: strings.Repeat("i", 200), Zone: "a", MachineTypes: []string{strings.Repeat("t", 200)},
	}}
	full := job.AsCancelled(4096)
	if !full.Cancelled || full.Done != job.Done || full.Job.Image != job.Job.Image || len(full.Job.MachineTypes) != 1 {
		t.Errorf("with room for all: %+v", full)
	}
	withoutDone := job.AsCancelled(wire.JSONSize(full) - 1)
	if withoutDone.Done != "" || len(withoutDone.Job.MachineTypes) != 1 {
		t.Errorf("with room for all but the completed tasks: %+v", withoutDone)
	}
	smallest := job.AsCancelled(0)
	want := records.Job{Cancelled: true, Job: job.Job}
	want.Job.Image, want.Job.Zone, want.Job.Class, want.Job.MachineTypes = "", "", "", nil
	if !reflect.DeepEqual(smallest, want) {
		t.Errorf("smallest record: %+v, want %+v", smallest, want)
	}
	raw, err := wire.Marshal(smallest)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := records.DecodeJob(wire.KeyValue{Key: records.JobKey("run-000001"), Value: raw}); err != nil {
		t.Errorf("the smallest record is unreadable: %v", err)
	}
	if job.Cancelled || job.Done == "" || job.Job.MachineTypes == nil {
		t.Error("the original record was changed")
	}
}
