package store_test

import (
	"testing"

	"github.com/yarrowgap/yarrowgap/internal/golden"
	"github.com/yarrowgap/yarrowgap/internal/store"
	"github.com/yarrowgap/yarrowgap/wire"
)

// TestRecordEncodingsMatchGoldenFiles covers every stored record, so that what an
// earlier version has stored stays readable.
func TestRecordEncodingsMatchGoldenFiles(t *testing.T) {
	records := map[string]any{
		"leader":        &store.Leader{},
		"live-job":      &store.Job{},
		"ended-job":     &store.EndedJob{},
		"done-bits":     &store.BitmapChunk{},
		"batch":         &store.Batch{},
		"batch-machine": &store.BatchMachine{},
		"machine":       &store.LegacyMachine{}, // the layout before batches
		"machine-task":  &store.AssignedTask{},
		"machine-type":  &wire.MachineType{},
	}
	var all []any
	for name, record := range records {
		golden.CheckEncoding(t, name, golden.CBOR, record)
		golden.CheckEncoding(t, name, golden.JSON, record)
		all = append(all, record)
	}
	golden.CheckCoverage(t, all...)
}

func TestKeysMatchGoldenFile(t *testing.T) {
	const job = "run-000412"
	golden.CheckLines(t, "keys.txt",
		store.JobsPrefix, store.LiveJobPrefix, store.EndedJobPrefix, store.BitmapPrefix, store.BatchPrefix,
		store.LegacyMachinePrefix, store.LeaderKey, store.LeaderPrefix, store.MachineTypePrefix,
		store.JobKey(job), store.EndedJobKey(job), store.BitmapKey(job, 3),
		store.LegacyMachineKey("machine-7"), store.BatchKey(5, 11),
	)
}

// TestBitmapEncodingMatchesGoldenFile covers the text form of both chunks of a set.
func TestBitmapEncodingMatchesGoldenFile(t *testing.T) {
	done := store.NewBitmap(wire.MaxTasks)
	for task := 0; task < wire.MaxTasks; task += 4999 {
		done.Add(task)
	}
	var chunks []any
	for chunk := range done.ChunkCount() {
		chunks = append(chunks, done.EncodeChunk(chunk))
	}
	golden.CheckLines(t, "bitmap.txt", chunks...)
}
