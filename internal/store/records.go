package store

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
	JobsPrefix    = "job/" // both of the next two: what a watch covers
	JobPrefix     = "job/live/"
	EndedPrefix   = "job/ended/"
	BitsPrefix    = "bits/"
	BatchPrefix   = "assigned/"
	MachinePrefix = "machine/" // an earlier layout: read, never written
	LeaderKey     = "lead/leader"
	LeaderPrefix  = "lead/"
	TypesPrefix   = "type/" // a key each: together they may not fit one value
)

// JobKey and its like name the key of a record.
func JobKey(id string) string             { return JobPrefix + id }
func EndedKey(id string) string           { return EndedPrefix + id }
func MachineKey(name string) string       { return MachinePrefix + name }
func BatchKey(term, n uint64) string      { return fmt.Sprintf("%s%d-%d", BatchPrefix, term, n) }
func BitsKey(id string, chunk int) string { return fmt.Sprintf("%s%s/%d", BitsPrefix, id, chunk) }

// JobRecord is a live job: what was submitted and how far it is.
type JobRecord struct {
	Job       wire.Job `cbor:"job" json:"job"`
	Cancelled bool     `cbor:"cancelled,omitempty" json:"cancelled,omitempty"`
	// Done has a bit for each of the first tuning.BitmapTasks tasks, in base64;
	// further tasks have theirs under BitsKey.
	Done string `cbor:"done,omitempty" json:"done,omitempty"`
}

// EndedRecord is what is remembered of a job for good.
type EndedRecord struct {
	State string `cbor:"standing" json:"standing"`
	Done  int    `cbor:"done" json:"done"`
	Tasks int    `cbor:"tasks" json:"tasks"`
	Class string `cbor:"class,omitempty" json:"class,omitempty"`
}

// BitsRecord is a further chunk of done bits.
type BitsRecord struct {
	Done string `cbor:"done" json:"done"`
}

// Assigned is a task in a machine's record.
type Assigned struct {
	Index   int    `cbor:"i" json:"i"`
	Attempt uint64 `cbor:"a" json:"a"`
}

// BatchRecord holds attempts that were assigned together, with the machines that
// have them. It is written once and never changed; when nothing of it is left, or
// what is left has been written again elsewhere, it is deleted. One value for many
// machines, and nothing of it written twice: that is what the write rate allows.
type BatchRecord struct {
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
func DecodeBatch(v wire.Raw) (*BatchRecord, error) {
	b := &BatchRecord{}
	if err := wire.Unmarshal(v, b); err != nil {
		return nil, err
	}
	for i := range b.Machines {
		m := &b.Machines[i]
		ok := m.Name != "" && m.Type >= 0 && m.Type < len(b.Types) && m.Zone >= 0 && m.Zone < len(b.Zones) && len(m.Runs) > 0
		for _, im := range m.Images {
			ok = ok && im >= 0 && im < len(b.Images)
		}
		for _, r := range m.Runs {
			ok = ok && r[0] < uint64(len(b.Jobs)) && r[1] < wire.MaxTasks && r[2] > 0 && r[2] <= wire.MaxTasks-r[1]
		}
		if !ok {
			return nil, fmt.Errorf("machine %q: inconsistent", m.Name)
		}
	}
	return b, nil
}

// MachineRecord is a machine with all that it may have been told to start, in
// the layout before batches.
type MachineRecord struct {
	Type    string                `cbor:"type" json:"type"`
	Zone    string                `cbor:"zone" json:"zone"`
	Spot    bool                  `cbor:"spot,omitempty" json:"spot,omitempty"`
	Address string                `cbor:"address" json:"address"`
	Tasks   map[string][]Assigned `cbor:"tasks,omitempty" json:"tasks,omitempty"`
	Images  []string              `cbor:"images,omitempty" json:"images,omitempty"`
}

// LeaderRecord names the leader. Boot tells a process from its predecessors.
type LeaderRecord struct {
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

const chunkBytes = tuning.BitmapTasks / 8

// Chunks is how many values hold the set.
func (b Bitmap) Chunks() int { return max(1, (len(b)+chunkBytes-1)/chunkBytes) }

// Encode gives chunk k as text. An empty chunk is empty text.
func (b Bitmap) Encode(k int) string {
	part := b[min(len(b), k*chunkBytes):min(len(b), (k+1)*chunkBytes)]
	n := len(part)
	for n > 0 && part[n-1] == 0 {
		n--
	}
	return base64.RawStdEncoding.EncodeToString(part[:n])
}

// Merge adds the members of chunk k in s to the set.
func (b Bitmap) Merge(k int, s string) error {
	raw, err := base64.RawStdEncoding.DecodeString(s)
	if err != nil {
		return err
	}
	at := k * chunkBytes
	if len(raw) > chunkBytes || at+len(raw) > len(b) {
		return fmt.Errorf("bitmap chunk %d: too long", k)
	}
	for i, x := range raw {
		b[at+i] |= x
	}
	return nil
}

// DecodeJob reads a job's record and checks what recovery relies on.
func DecodeJob(it wire.Item) (*JobRecord, error) {
	r := &JobRecord{}
	if err := wire.Unmarshal(it.Value, r); err != nil {
		return nil, err
	}
	if JobKey(r.Job.ID) != it.Key || r.Job.Tasks < 1 || r.Job.Tasks > wire.MaxTasks {
		return nil, fmt.Errorf("record %s: inconsistent", it.Key)
	}
	return r, nil
}

// IDOf takes the id out of a key with the prefix.
func IDOf(prefix, key string) string { return strings.TrimPrefix(key, prefix) }
