// Package records defines the records that are stored in the key-value store, and their keys.
package records

import (
	"errors"
	"fmt"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// ErrInconsistent means that a record can be decoded, but has contents that are never written.
var ErrInconsistent = errors.New("inconsistent record")

// MaxBytes returns the size in JSON that a record may have under a limit on values. It leaves a
// margin, because the store may measure sizes differently, and room for the rest of a transaction.
func MaxBytes(maxValueBytes int) int {
	return min(int(float64(maxValueBytes)*(1-tuning.ValueSizeMargin)), tuning.MaxTxnBytes-tuning.MaxTxnKeyBytes)
}

// Job is the record of a live job: the submission and the job's progress.
type Job struct {
	Job       wire.Job `cbor:"job" json:"job"`
	Cancelled bool     `cbor:"cancelled,omitempty" json:"cancelled,omitempty"`
	// Done is the first chunk of the bitmap of done tasks, see Bitmap.EncodeChunk. It covers
	// the first tuning.TasksPerBitmap tasks; the chunks of further tasks are stored under
	// BitmapKey.
	Done string `cbor:"done,omitempty" json:"done,omitempty"`
}

// AsCancelled returns the record of the job after its cancellation. If that takes more than maxBytes
// in JSON, parts are left out that nobody needs once no further task is placed, as few as possible:
// the record may have been stored when the key-value store had a higher limit.
func (j Job) AsCancelled(maxBytes int) Job {
	j.Cancelled = true
	for _, omit := range []func(){
		func() { j.Done = "" },
		func() { j.Job.MachineTypes = nil },
		func() { j.Job.Image = "" },
		func() { j.Job.Zone = "" },
		func() { j.Job.Class = "" },
	} {
		if wire.JSONSize(j) <= maxBytes {
			break
		}
		omit()
	}
	return j
}

// EndedJob is the permanent record of a job that has ended. Done is the number of tasks that
// were done.
type EndedJob struct {
	State string `cbor:"standing" json:"standing"`
	Done  int    `cbor:"done" json:"done"`
	Tasks int    `cbor:"tasks" json:"tasks"`
	Class string `cbor:"class,omitempty" json:"class,omitempty"`
}

// BitmapChunk is a chunk of a job's done bitmap after the first chunk, which is part of Job.
type BitmapChunk struct {
	Done string `cbor:"done" json:"done"`
}

// LegacyAssignment is an attempt of a task in a LegacyMachine.
type LegacyAssignment struct {
	Index   int    `cbor:"i" json:"i"`
	Attempt uint64 `cbor:"a" json:"a"`
}

// Batch records attempts that were assigned together, grouped by machine. It is immutable. It is
// deleted once each of its attempts is gone or has been written again in another batch. Storing
// the attempts of many machines in one value that is never rewritten keeps the number of writes
// within the key-value store's write rate.
type Batch struct {
	Base     uint64         `cbor:"base" json:"base"` // the lowest attempt number
	Types    []string       `cbor:"types" json:"types"`
	Zones    []string       `cbor:"zones" json:"zones"`
	Jobs     []string       `cbor:"jobs" json:"jobs"`
	Images   []string       `cbor:"images,omitempty" json:"images,omitempty"`
	Machines []BatchMachine `cbor:"machines" json:"machines"`
}

// BatchMachine is a machine in a batch. Its type, zone and images, and the jobs of its runs, are
// indices into the batch's lists.
type BatchMachine struct {
	Name    string `cbor:"n" json:"n"`
	Type    int    `cbor:"t" json:"t"`
	Zone    int    `cbor:"z" json:"z"`
	Spot    bool   `cbor:"s,omitempty" json:"s,omitempty"`
	Address string `cbor:"a" json:"a"`
	Images  []int  `cbor:"i,omitempty" json:"i,omitempty"`
	Runs    []Run  `cbor:"r" json:"r"`
}

// Run is a sequence of consecutive tasks of a job with consecutive attempt numbers. It is stored
// as an array; the constants below are the indices of its elements.
type Run [4]uint64

// Elements of a Run.
const (
	RunJobIndex     = iota // index of the job in the batch's Jobs
	RunFirstTask           // index of the first task
	RunTaskCount           // number of tasks
	RunFirstAttempt        // attempt number of the first task, relative to the batch's Base
)

// DecodeBatch decodes a batch and checks the invariants that reconciliation relies on. Callers
// must not treat a batch that cannot be decoded as an empty one.
func DecodeBatch(value wire.Raw) (*Batch, error) {
	batch := &Batch{}
	if err := wire.Unmarshal(value, batch); err != nil {
		return nil, fmt.Errorf("decode batch: %w", err)
	}
	for i := range batch.Machines {
		if machine := &batch.Machines[i]; !batch.consistent(machine) {
			return nil, fmt.Errorf("decode batch: machine %q: %w", machine.Name, ErrInconsistent)
		}
	}
	return batch, nil
}

// consistent reports whether the machine has a name and runs, all its indices are within the
// batch's lists, and its tasks are within wire.MaxTasks.
func (b *Batch) consistent(machine *BatchMachine) bool {
	if machine.Name == "" || !validIndex(b.Types, machine.Type) || !validIndex(b.Zones, machine.Zone) || len(machine.Runs) == 0 {
		return false
	}
	for _, image := range machine.Images {
		if !validIndex(b.Images, image) {
			return false
		}
	}
	for _, run := range machine.Runs {
		job, firstTask, tasks := run[RunJobIndex], run[RunFirstTask], run[RunTaskCount]
		if job >= uint64(len(b.Jobs)) || firstTask >= wire.MaxTasks || tasks == 0 || tasks > wire.MaxTasks-firstTask {
			return false
		}
	}
	return true
}

func validIndex(list []string, index int) bool { return index >= 0 && index < len(list) }

// LegacyMachine is the record of a machine in the layout before batches. Tasks holds, by job ID,
// all attempts that may have been sent to the machine.
type LegacyMachine struct {
	Type    string                        `cbor:"type" json:"type"`
	Zone    string                        `cbor:"zone" json:"zone"`
	Spot    bool                          `cbor:"spot,omitempty" json:"spot,omitempty"`
	Address string                        `cbor:"address" json:"address"`
	Tasks   map[string][]LegacyAssignment `cbor:"tasks,omitempty" json:"tasks,omitempty"`
	Images  []string                      `cbor:"images,omitempty" json:"images,omitempty"`
}

// Leader identifies the leader. BootID distinguishes its process from earlier processes of the
// same controller.
type Leader struct {
	Node   string `cbor:"node" json:"node"`
	Addr   string `cbor:"addr" json:"addr"`
	BootID uint64 `cbor:"boot" json:"boot"`
}

// DecodeJob decodes a live job and checks the invariants that reconciliation relies on.
func DecodeJob(item wire.KeyValue) (*Job, error) {
	job := &Job{}
	if err := wire.Unmarshal(item.Value, job); err != nil {
		return nil, fmt.Errorf("decode %s: %w", item.Key, err)
	}
	if JobKey(job.Job.ID) != item.Key || job.Job.Tasks < 1 || job.Job.Tasks > wire.MaxTasks {
		return nil, fmt.Errorf("decode %s: %w", item.Key, ErrInconsistent)
	}
	return job, nil
}
