package scheduler

import (
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// Places in a run of records.BatchMachine: consecutive tasks of a job whose attempts have
// consecutive numbers.
const (
	runJob = iota
	runFirstTask
	runLength
	runFirstAttempt
)

// Parts of a batch take at most this many bytes in JSON, beside names: what surrounds the
// lists, a machine's fields, and a run with an attempt's twenty digits.
const (
	batchOverheadBytes = 160
	batchMachineBytes  = 60
	batchRunBytes      = 48
	batchNameBytes     = 4
)

// batchEncoder fills a batch with attempts up to a size.
type batchEncoder struct {
	machines                   []records.BatchMachine // runs have whole attempt numbers until finish
	machineIndex               map[*machine]int
	types, zones, jobs, images nameTable
	attempts                   []*attempt
	size, limit                int // in bytes; size is an upper bound
}

func newBatchEncoder(limit int) *batchEncoder {
	return &batchEncoder{machineIndex: map[*machine]int{}, size: batchOverheadBytes, limit: limit}
}

// add takes one more attempt, unless it would not fit. The first always does.
func (e *batchEncoder) add(a *attempt) bool {
	if !e.extendLastRun(a) {
		cost := e.costOf(a)
		if e.size+cost > e.limit && len(e.attempts) > 0 {
			return false
		}
		e.size += cost
		m := e.machineOf(a)
		m.Runs = append(m.Runs, [4]uint64{
			runJob: uint64(e.jobs.place(a.ref.jobID)), runFirstTask: uint64(a.ref.index), runLength: 1, runFirstAttempt: a.number,
		})
	}
	e.attempts = append(e.attempts, a)
	return true
}

// extendLastRun adds the attempt to its machine's last run if it continues that, which takes
// no more bytes.
func (e *batchEncoder) extendLastRun(a *attempt) bool {
	at, known := e.machineIndex[a.machine]
	if !known {
		return false
	}
	runs := e.machines[at].Runs
	last := &runs[len(runs)-1]
	if e.jobs.names[last[runJob]] != a.ref.jobID || last[runFirstTask]+last[runLength] != uint64(a.ref.index) || last[runFirstAttempt]+last[runLength] != a.number {
		return false
	}
	last[runLength]++
	return true
}

// costOf is how many bytes the attempt takes at most, with a run of its own.
func (e *batchEncoder) costOf(a *attempt) int {
	cost := batchRunBytes + e.jobs.costOf(a.ref.jobID)
	m := a.machine
	if _, known := e.machineIndex[m]; known {
		return cost
	}
	images := recordedImages(m)
	cost += batchMachineBytes + len(m.name) + len(m.address) + batchNameBytes*len(images)
	cost += e.types.costOf(m.machineType) + e.zones.costOf(m.zone)
	for _, image := range images {
		cost += e.images.costOf(image.name)
	}
	return cost
}

// machineOf gives the entry of the attempt's machine, which it adds if need be.
func (e *batchEncoder) machineOf(a *attempt) *records.BatchMachine {
	m := a.machine
	at, known := e.machineIndex[m]
	if !known {
		entry := records.BatchMachine{Name: m.name, Type: e.types.place(m.machineType), Zone: e.zones.place(m.zone), Spot: m.spot, Address: m.address}
		for _, image := range recordedImages(m) {
			entry.Images = append(entry.Images, e.images.place(image.name))
		}
		at = len(e.machines)
		e.machineIndex[m] = at
		e.machines = append(e.machines, entry)
	}
	return &e.machines[at]
}

// recordedImages are the images of a machine that records name: the latest.
func recordedImages(m *machine) []cachedImage {
	return m.images[max(0, len(m.images)-tuning.MaxRecordedImages):]
}

// finish gives the batch, with attempt numbers relative to the lowest. Nothing can be added
// afterwards.
func (e *batchEncoder) finish() records.Batch {
	base := e.attempts[0].number
	for _, a := range e.attempts {
		base = min(base, a.number)
	}
	for i := range e.machines {
		for k := range e.machines[i].Runs {
			e.machines[i].Runs[k][runFirstAttempt] -= base
		}
	}
	return records.Batch{
		Base: base, Types: e.types.names, Zones: e.zones.names, Jobs: e.jobs.names, Images: e.images.names, Machines: e.machines,
	}
}

// nameTable gives each distinct name a place in a list.
type nameTable struct {
	names  []string
	places map[string]int
}

// place gives a name's place, and adds the name if it has none.
func (t *nameTable) place(name string) int {
	if at, ok := t.places[name]; ok {
		return at
	}
	if t.places == nil {
		t.places = map[string]int{}
	}
	at := len(t.names)
	t.places[name] = at
	t.names = append(t.names, name)
	return at
}

// costOf is how many bytes the name would add at most.
func (t *nameTable) costOf(name string) int {
	if _, ok := t.places[name]; ok {
		return 0
	}
	return len(name) + batchNameBytes
}
