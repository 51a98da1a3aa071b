package scheduler

import (
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Upper bounds in bytes of the parts of a batch in JSON, to which the protocol's size limits
// refer, without the names themselves.
const (
	batchOverheadBytes = 160 // everything outside the lists
	batchMachineBytes  = 60  // the fields of a machine
	batchRunBytes      = 48  // a run, with twenty digits for the attempt number
	batchNameBytes     = 4   // quotes and separator of a name, or the index of an image
)

// batchEncoder fills a batch with attempts up to a size limit.
type batchEncoder struct {
	machines                   []records.BatchMachine // attempt numbers in runs are absolute until finish
	machineIndex               map[*machine]int
	types, zones, jobs, images nameTable
	attempts                   []*attempt
	size, limit                int  // in bytes; size is an upper bound
	omitImages                 bool // the machines' images do not fit
}

func newBatchEncoder(limit int) *batchEncoder {
	return &batchEncoder{machineIndex: map[*machine]int{}, size: batchOverheadBytes, limit: limit}
}

// add adds an attempt and reports whether it fits within the limit. The first attempt is always
// added. If it does not fit with its machine's images, the batch has none: users choose their names,
// and a new leader only uses them to place tasks where their images are.
func (e *batchEncoder) add(a *attempt) bool {
	if !e.extendLastRun(a) {
		bytes := e.maxAttemptBytes(a)
		if e.size+bytes > e.limit {
			if len(e.attempts) > 0 {
				return false
			}
			//mutation:batch-without-images
			e.omitImages = true
			bytes = e.maxAttemptBytes(a)
		}
		e.size += bytes
		entry := e.machineEntry(a)
		entry.Runs = append(entry.Runs, records.Run{
			records.RunJobIndex: uint64(e.jobs.intern(a.ref.jobID)), records.RunFirstTask: uint64(a.ref.index), records.RunTaskCount: 1, records.RunFirstAttempt: a.number,
		})
	}
	e.attempts = append(e.attempts, a)
	return true
}

// extendLastRun adds the attempt to the last run of its machine if it is the next one in that
// run. The upper bound of the batch's size stays the same, since batchRunBytes covers any length
// of a run.
func (e *batchEncoder) extendLastRun(a *attempt) bool {
	index, known := e.machineIndex[a.machine]
	if !known {
		return false
	}
	runs := e.machines[index].Runs
	last := &runs[len(runs)-1]
	if e.jobs.names[last[records.RunJobIndex]] != a.ref.jobID || last[records.RunFirstTask]+last[records.RunTaskCount] != uint64(a.ref.index) || last[records.RunFirstAttempt]+last[records.RunTaskCount] != a.number {
		return false
	}
	last[records.RunTaskCount]++
	return true
}

// hasSingleRun reports whether all attempts are in one run.
func (e *batchEncoder) hasSingleRun() bool {
	return len(e.machines) == 1 && len(e.machines[0].Runs) == 1
}

// maxAttemptBytes returns an upper bound of the bytes that an attempt with a new run adds.
func (e *batchEncoder) maxAttemptBytes(a *attempt) int {
	bytes := batchRunBytes + e.jobs.maxNameBytes(a.ref.jobID)
	m := a.machine
	if _, known := e.machineIndex[m]; known {
		return bytes
	}
	images := e.recordedImages(m)
	bytes += batchMachineBytes + wire.JSONTextSize(m.name) + wire.JSONTextSize(m.address) + batchNameBytes*len(images)
	bytes += e.types.maxNameBytes(m.machineType) + e.zones.maxNameBytes(m.zone)
	for _, image := range images {
		bytes += e.images.maxNameBytes(image.name)
	}
	return bytes
}

// machineEntry returns the entry of the attempt's machine, and adds it if it is missing.
func (e *batchEncoder) machineEntry(a *attempt) *records.BatchMachine {
	m := a.machine
	index, known := e.machineIndex[m]
	if !known {
		entry := records.BatchMachine{Name: m.name, Type: e.types.intern(m.machineType), Zone: e.zones.intern(m.zone), Spot: m.spot, Address: m.address}
		for _, image := range e.recordedImages(m) {
			entry.Images = append(entry.Images, e.images.intern(image.name))
		}
		index = len(e.machines)
		e.machineIndex[m] = index
		e.machines = append(e.machines, entry)
	}
	return &e.machines[index]
}

// recordedImages returns the images of a machine that are recorded: the most recently used
// ones.
func (e *batchEncoder) recordedImages(m *machine) []cachedImage {
	if e.omitImages {
		return nil
	}
	return m.images[max(0, len(m.images)-tuning.MaxRecordedImages):]
}

// finish returns the batch, with attempt numbers relative to the lowest. No attempt can be
// added afterwards.
func (e *batchEncoder) finish() records.Batch {
	base := e.attempts[0].number
	for _, a := range e.attempts {
		base = min(base, a.number)
	}
	for i := range e.machines {
		for k := range e.machines[i].Runs {
			e.machines[i].Runs[k][records.RunFirstAttempt] -= base
		}
	}
	return records.Batch{
		Base: base, Types: e.types.names, Zones: e.zones.names, Jobs: e.jobs.names, Images: e.images.names, Machines: e.machines,
	}
}

// nameTable lists distinct names, which records refer to by index.
type nameTable struct {
	names   []string
	indexes map[string]int
}

// intern returns the index of a name, and adds the name if it is new.
func (t *nameTable) intern(name string) int {
	if index, ok := t.indexes[name]; ok {
		return index
	}
	if t.indexes == nil {
		t.indexes = map[string]int{}
	}
	index := len(t.names)
	t.indexes[name] = index
	t.names = append(t.names, name)
	return index
}

// maxNameBytes returns an upper bound of the bytes that a name adds to the list.
func (t *nameTable) maxNameBytes(name string) int {
	if _, ok := t.indexes[name]; ok {
		return 0
	}
	//mutation:escaped-name-size
	return wire.JSONTextSize(name) + batchNameBytes
}
