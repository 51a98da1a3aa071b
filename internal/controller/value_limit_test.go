package controller

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/wire"
)

// drawRecord draws the record of a new job with the given limit on its number of tasks.
func drawRecord(t *rapid.T, maxTasks int) *records.Job {
	text := func(label string) string {
		return rapid.StringOfN(rapid.RuneFrom([]rune("ab-0<\"\u00e4")), 1, 40, 60).Draw(t, label)
	}
	job := wire.Job{
		ID: "run-000412", Class: text("class"), Team: text("team"), Shape: wire.ShapeArray, Priority: wire.PriorityNormal,
		Tasks: rapid.IntRange(1, maxTasks).Draw(t, "tasks"), CPUs: 4, MemoryGB: 29, Image: text("image"), ImageGB: 1.25,
		EstimatedRunS: 25.5, CheckpointIntervalS: 20, CheckpointSaveS: 4, CreatedAtMilli: 1796377206000,
	}
	for range rapid.IntRange(0, 8).Draw(t, "types") {
		job.MachineTypes = append(job.MachineTypes, text("type"))
	}
	return &records.Job{Job: job}
}

// Guards against an accepted job whose progress or cancellation does not fit the limit on values
// later, and against refusing jobs of few tasks for the size of a bitmap that they never have.
func TestAcceptedRecordsFitValueLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record := drawRecord(t, wire.MaxTasks)
		limit := rapid.IntRange(1<<10, 4<<10).Draw(t, "limit")
		final := *record
		final.Cancelled = true
		done := records.NewBitmap(record.Job.Tasks)
		for task := range record.Job.Tasks {
			done.Add(task)
		}
		final.Done = done.EncodeChunk(0)
		size := wire.JSONSize(final)
		if fits := !exceedsValueLimit(record, limit); fits != (size <= records.MaxBytes(limit)) {
			t.Fatalf("a record of at most %d bytes counts as fitting %d bytes: %v", size, limit, fits)
		}
		if chunk := wire.JSONSize(records.BitmapChunk{Done: final.Done}); chunk > records.MaxBytes(2<<10) {
			t.Fatalf("a chunk takes %d bytes", chunk)
		}
	})
}

// Guards against jobs of the users' pages that get 400 under the announced limit of 2 KiB.
func TestOrdinaryJobsFitTwoKiB(t *testing.T) {
	deadline := 1800.0
	job := wire.Job{
		ID: "run-000412", Class: strings.Repeat("c", 16), Team: strings.Repeat("t", 20), Shape: wire.ShapeArray, Priority: wire.PriorityProduction,
		Tasks: wire.MaxTasks, CPUs: 4, GPUs: 1, MemoryGB: 29.5, Image: strings.Repeat("i", 20), ImageGB: 1.25, Zone: "narva", SpreadZones: true, Spot: true,
		EstimatedRunS: 123.456, CheckpointIntervalS: 20, CheckpointSaveS: 4, DeadlineS: &deadline, CreatedAtMilli: 1796377206000,
	}
	if exceedsValueLimit(&records.Job{Job: job}, 2<<10) {
		t.Errorf("refused: %d bytes without completed tasks", wire.JSONSize(records.Job{Job: job}))
	}
	job.Tasks = 400
	job.MachineTypes = []string{strings.Repeat("m", 100), strings.Repeat("m", 100), strings.Repeat("m", 100)}
	if exceedsValueLimit(&records.Job{Job: job}, 2<<10) {
		t.Errorf("refused with 400 tasks: %d bytes without completed tasks", wire.JSONSize(records.Job{Job: job}))
	}
}
