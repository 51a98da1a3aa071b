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
		"leader":        &store.LeaderRecord{},
		"live-job":      &store.JobRecord{},
		"ended-job":     &store.EndedRecord{},
		"done-bits":     &store.BitsRecord{},
		"batch":         &store.BatchRecord{},
		"batch-machine": &store.BatchMachine{},
		"machine":       &store.MachineRecord{}, // the layout before batches
		"machine-task":  &store.Assigned{},
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
		store.JobsPrefix, store.JobPrefix, store.EndedPrefix, store.BitsPrefix, store.BatchPrefix,
		store.MachinePrefix, store.LeaderKey, store.LeaderPrefix, store.TypesPrefix,
		store.JobKey(job), store.EndedKey(job), store.BitsKey(job, 3),
		store.MachineKey("machine-7"), store.BatchKey(5, 11),
	)
}

// TestBitmapEncodingMatchesGoldenFile covers the text form of both chunks of a set.
func TestBitmapEncodingMatchesGoldenFile(t *testing.T) {
	done := store.NewBitmap(wire.MaxTasks)
	for task := 0; task < wire.MaxTasks; task += 4999 {
		done.Add(task)
	}
	var chunks []any
	for chunk := range done.Chunks() {
		chunks = append(chunks, done.Encode(chunk))
	}
	golden.CheckLines(t, "bitmap.txt", chunks...)
}
