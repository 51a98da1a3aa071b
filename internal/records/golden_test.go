package records_test

import (
	"testing"

	"github.com/yarrowgap/yarrowgap/internal/golden"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/wire"
)

// TestRecordEncodingsMatchGoldenFiles covers every stored record, so that records written by
// earlier versions stay readable.
func TestRecordEncodingsMatchGoldenFiles(t *testing.T) {
	records := map[string]any{
		"leader":        &records.Leader{},
		"live-job":      &records.Job{},
		"ended-job":     &records.EndedJob{},
		"done-bits":     &records.BitmapChunk{},
		"batch":         &records.Batch{},
		"batch-machine": &records.BatchMachine{},
		"machine":       &records.LegacyMachine{}, // the layout before batches
		"machine-task":  &records.LegacyAssignment{},
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
		records.JobsPrefix, records.LiveJobPrefix, records.EndedJobPrefix, records.BitmapPrefix, records.BatchPrefix,
		records.LegacyMachinePrefix, records.LeaderKey, records.LeaderPrefix, records.MachineTypePrefix,
		records.JobKey(job), records.EndedJobKey(job), records.BitmapKey(job, 3),
		records.LegacyMachineKey("machine-7"), records.BatchKey(5, 11),
	)
}

// TestBitmapEncodingMatchesGoldenFile covers the encoding of every chunk of a bitmap.
func TestBitmapEncodingMatchesGoldenFile(t *testing.T) {
	done := records.NewBitmap(wire.MaxTasks)
	for task := 0; task < wire.MaxTasks; task += 4999 {
		done.Add(task)
	}
	var chunks []any
	for chunk := range done.ChunkCount() {
		chunks = append(chunks, done.EncodeChunk(chunk))
	}
	golden.CheckLines(t, "bitmap.txt", chunks...)
}
