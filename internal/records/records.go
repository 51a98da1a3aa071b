// Package records holds the layouts and keys of what is stored in the key-value store.
package records

import (
	"errors"
	"fmt"

	"github.com/yarrowgap/yarrowgap/wire"
)

// ErrInconsistent means that a record decodes, but cannot be what was written.
var ErrInconsistent = errors.New("inconsistent record")

// Job is a live job: what was submitted, and its progress.
type Job struct {
	Job       wire.Job `cbor:"job" json:"job"`
	Cancelled bool     `cbor:"cancelled,omitempty" json:"cancelled,omitempty"`
	// Done has a bit for each of the first tuning.TasksPerBitmap tasks, in base64;
	// further tasks have theirs under BitmapKey.
	Done string `cbor:"done,omitempty" json:"done,omitempty"`
}

// EndedJob is the permanent record of a job that has ended.
type EndedJob struct {
	State string `cbor:"standing" json:"standing"`
	Done  int    `cbor:"done" json:"done"`
	Tasks int    `cbor:"tasks" json:"tasks"`
	Class string `cbor:"class,omitempty" json:"class,omitempty"`
}

// BitmapChunk is a chunk of done bits after the first, which is in the job itself.
type BitmapChunk struct {
	Done string `cbor:"done" json:"done"`
}

// AssignedTask is a task of a LegacyMachine.
type AssignedTask struct {
	Index   int    `cbor:"i" json:"i"`
	Attempt uint64 `cbor:"a" json:"a"`
}

// Batch holds attempts that were assigned together, with the machines that have them. It is
// immutable; it is deleted when none of its attempts is left, or those left have been
// written again in another batch. One value for many machines, and none of it written
// twice, keeps within the write rate.
type Batch struct {
	Base     uint64         `cbor:"base" json:"base"` // the lowest attempt
	Types    []string       `cbor:"types" json:"types"`
	Zones    []string       `cbor:"zones" json:"zones"`
	Jobs     []string       `cbor:"jobs" json:"jobs"`
	Images   []string       `cbor:"images,omitempty" json:"images,omitempty"`
	Machines []BatchMachine `cbor:"machines" json:"machines"`
}

// BatchMachine is a machine in a batch. Type, zone, images and jobs are indices of the
// batch's lists.
type BatchMachine struct {
	Name    string `cbor:"n" json:"n"`
	Type    int    `cbor:"t" json:"t"`
	Zone    int    `cbor:"z" json:"z"`
	Spot    bool   `cbor:"s,omitempty" json:"s,omitempty"`
	Address string `cbor:"a" json:"a"`
	Images  []int  `cbor:"i,omitempty" json:"i,omitempty"`
	Runs    []Run  `cbor:"r" json:"r"`
}

// Run is a sequence of consecutive tasks of a job, with consecutive attempts. It is stored as
// an array; the constants name its elements.
type Run [4]uint64

// Elements of a Run.
const (
	RunJob          = iota // an index of the batch's jobs
	RunFirstTask           // the first task's index
	RunTasks               // the number of tasks
	RunFirstAttempt        // the first task's attempt, above the batch's base
)

// DecodeBatch reads a batch and checks what reconciliation relies on. A batch that fails
// must not be taken for an empty one.
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

// consistent reports whether all indices of the machine are within the batch's lists.
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
		job, firstTask, tasks := run[RunJob], run[RunFirstTask], run[RunTasks]
		if job >= uint64(len(b.Jobs)) || firstTask >= wire.MaxTasks || tasks == 0 || tasks > wire.MaxTasks-firstTask {
			return false
		}
	}
	return true
}

func validIndex(list []string, index int) bool { return index >= 0 && index < len(list) }

// LegacyMachine is a machine with all attempts that it may have been sent, in the layout
// before batches.
type LegacyMachine struct {
	Type    string                    `cbor:"type" json:"type"`
	Zone    string                    `cbor:"zone" json:"zone"`
	Spot    bool                      `cbor:"spot,omitempty" json:"spot,omitempty"`
	Address string                    `cbor:"address" json:"address"`
	Tasks   map[string][]AssignedTask `cbor:"tasks,omitempty" json:"tasks,omitempty"`
	Images  []string                  `cbor:"images,omitempty" json:"images,omitempty"`
}

// Leader names the leader. Boot tells its process from its predecessors.
type Leader struct {
	Node string `cbor:"node" json:"node"`
	Addr string `cbor:"addr" json:"addr"`
	Boot uint64 `cbor:"boot" json:"boot"`
}

// DecodeJob reads a live job and checks what reconciliation relies on.
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
