// Package records holds the layouts and keys of what is stored in the key-value store.
package records

import (
	"encoding/base64"
	"fmt"
	"math/bits"
	"strings"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Keys. Live jobs, their further bitmaps, ended jobs, machines, types and the
// leader have a prefix each, so that a restart reads only what lives.
const (
	JobsPrefix          = "job/" // both of the next two: what a watch covers
	LiveJobPrefix       = "job/live/"
	EndedJobPrefix      = "job/ended/"
	BitmapPrefix        = "bits/"
	BatchPrefix         = "assigned/"
	LegacyMachinePrefix = "machine/" // an earlier layout: read, never written
	LeaderKey           = "lead/leader"
	LeaderPrefix        = "lead/"
	MachineTypePrefix   = "type/" // a key each: together they may not fit one value
)

// JobKey and its like name the key of a record.
func JobKey(id string) string               { return LiveJobPrefix + id }
func EndedJobKey(id string) string          { return EndedJobPrefix + id }
func LegacyMachineKey(name string) string   { return LegacyMachinePrefix + name }
func BatchKey(term, number uint64) string   { return fmt.Sprintf("%s%d-%d", BatchPrefix, term, number) }
func BitmapKey(id string, chunk int) string { return fmt.Sprintf("%s%s/%d", BitmapPrefix, id, chunk) }

// Job is a live job: what was submitted and how far it is.
type Job struct {
	Job       wire.Job `cbor:"job" json:"job"`
	Cancelled bool     `cbor:"cancelled,omitempty" json:"cancelled,omitempty"`
	// Done has a bit for each of the first tuning.TasksPerBitmap tasks, in base64;
	// further tasks have theirs under BitmapKey.
	Done string `cbor:"done,omitempty" json:"done,omitempty"`
}

// EndedJob is what is remembered of a job for good.
type EndedJob struct {
	State string `cbor:"standing" json:"standing"`
	Done  int    `cbor:"done" json:"done"`
	Tasks int    `cbor:"tasks" json:"tasks"`
	Class string `cbor:"class,omitempty" json:"class,omitempty"`
}

// BitmapChunk is a further chunk of done bits.
type BitmapChunk struct {
	Done string `cbor:"done" json:"done"`
}

// AssignedTask is a task in a machine's record.
type AssignedTask struct {
	Index   int    `cbor:"i" json:"i"`
	Attempt uint64 `cbor:"a" json:"a"`
}

// Batch holds attempts that were assigned together, with the machines that
// have them. It is written once and never changed; when nothing of it is left, or
// what is left has been written again elsewhere, it is deleted. One value for many
// machines, and nothing of it written twice: that is what the write rate allows.
type Batch struct {
	Base     uint64         `cbor:"base" json:"base"` // the lowest attempt
	Types    []string       `cbor:"types" json:"types"`
	Zones    []string       `cbor:"zones" json:"zones"`
	Jobs     []string       `cbor:"jobs" json:"jobs"`
	Images   []string       `cbor:"images,omitempty" json:"images,omitempty"`
	Machines []BatchMachine `cbor:"machines" json:"machines"`
}

// BatchMachine is a machine in a batch. Type, zone, images and jobs are places
// in the batch's lists.
type BatchMachine struct {
	Name    string `cbor:"n" json:"n"`
	Type    int    `cbor:"t" json:"t"`
	Zone    int    `cbor:"z" json:"z"`
	Spot    bool   `cbor:"s,omitempty" json:"s,omitempty"`
	Address string `cbor:"a" json:"a"`
	Images  []int  `cbor:"i,omitempty" json:"i,omitempty"`
	// Runs are job, first task, number of tasks, and the first task's attempt
	// above Base; the next task has the next attempt, and so on.
	Runs [][4]uint64 `cbor:"r" json:"r"`
}

// DecodeBatch reads a batch and checks what recovery relies on. A batch that
// fails is not to be taken for an empty one.
func DecodeBatch(value wire.Raw) (*Batch, error) {
	batch := &Batch{}
	if err := wire.Unmarshal(value, batch); err != nil {
		return nil, err
	}
	for i := range batch.Machines {
		m := &batch.Machines[i]
		ok := m.Name != "" && m.Type >= 0 && m.Type < len(batch.Types) && m.Zone >= 0 && m.Zone < len(batch.Zones) && len(m.Runs) > 0
		for _, image := range m.Images {
			ok = ok && image >= 0 && image < len(batch.Images)
		}
		for _, r := range m.Runs {
			ok = ok && r[0] < uint64(len(batch.Jobs)) && r[1] < wire.MaxTasks && r[2] > 0 && r[2] <= wire.MaxTasks-r[1]
		}
		if !ok {
			return nil, fmt.Errorf("machine %q: inconsistent", m.Name)
		}
	}
	return batch, nil
}

// LegacyMachine is a machine with all that it may have been told to start, in
// the layout before batches.
type LegacyMachine struct {
	Type    string                    `cbor:"type" json:"type"`
	Zone    string                    `cbor:"zone" json:"zone"`
	Spot    bool                      `cbor:"spot,omitempty" json:"spot,omitempty"`
	Address string                    `cbor:"address" json:"address"`
	Tasks   map[string][]AssignedTask `cbor:"tasks,omitempty" json:"tasks,omitempty"`
	Images  []string                  `cbor:"images,omitempty" json:"images,omitempty"`
}

// Leader names the leader. Boot tells a process from its predecessors.
type Leader struct {
	Node string `cbor:"node" json:"node"`
	Addr string `cbor:"addr" json:"addr"`
	Boot uint64 `cbor:"boot" json:"boot"`
}

// Bitmap is a set of task indices below a fixed number.
type Bitmap []byte

// NewBitmap makes an empty set for n tasks.
func NewBitmap(n int) Bitmap { return make(Bitmap, (n+7)/8) }

// Has reports whether i is in the set.
func (b Bitmap) Has(i int) bool { return i>>3 < len(b) && b[i>>3]&(1<<(i&7)) != 0 }

// Add puts i into the set.
func (b Bitmap) Add(i int) { b[i>>3] |= 1 << (i & 7) }

// Count is the size of the set.
func (b Bitmap) Count() int {
	n := 0
	for _, x := range b {
		n += bits.OnesCount8(x)
	}
	return n
}

const chunkBytes = tuning.TasksPerBitmap / 8

// ChunkCount is how many values hold the set.
func (b Bitmap) ChunkCount() int { return max(1, (len(b)+chunkBytes-1)/chunkBytes) }

// EncodeChunk gives chunk k as text. An empty chunk is empty text.
func (b Bitmap) EncodeChunk(chunk int) string {
	part := b[min(len(b), chunk*chunkBytes):min(len(b), (chunk+1)*chunkBytes)]
	n := len(part)
	for n > 0 && part[n-1] == 0 {
		n--
	}
	return base64.RawStdEncoding.EncodeToString(part[:n])
}

// MergeChunk adds the members of chunk k in s to the set.
func (b Bitmap) MergeChunk(chunk int, text string) error {
	raw, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return err
	}
	offset := chunk * chunkBytes
	if len(raw) > chunkBytes || offset+len(raw) > len(b) {
		return fmt.Errorf("bitmap chunk %d: too long", chunk)
	}
	for i, x := range raw {
		b[offset+i] |= x
	}
	return nil
}

// DecodeJob reads a job's record and checks what recovery relies on.
func DecodeJob(item wire.KeyValue) (*Job, error) {
	job := &Job{}
	if err := wire.Unmarshal(item.Value, job); err != nil {
		return nil, err
	}
	if JobKey(job.Job.ID) != item.Key || job.Job.Tasks < 1 || job.Job.Tasks > wire.MaxTasks {
		return nil, fmt.Errorf("record %s: inconsistent", item.Key)
	}
	return job, nil
}

// IDFromKey takes the id out of a key with the prefix.
func IDFromKey(prefix, key string) string { return strings.TrimPrefix(key, prefix) }
