package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// assignmentBatch is a durable value that holds attempts. Batches are written once and
// deleted when nothing needs them; their names are never used twice. So a write
// or deletion that is carried out late can only bring back an old batch, which
// makes a later leader wait for a report, and never takes a record away that is
// still needed: an attempt leaves a batch only when it is gone or when a later
// batch with it is known to be written.
type assignmentBatch struct {
	key                  string
	neededBy             map[*attempt]bool // what needs it
	attemptCount         int               // how many attempts were written
	createdAt            time.Duration
	writeInFlight        bool
	namesReleasedMachine bool // it names a machine that is gone: a new leader would look for it
	machineNames         []string
}

// queueAssignment has an attempt written with the next batch.
func (s *Scheduler) queueAssignment(a *attempt) {
	if !a.assignment.queued {
		a.assignment.queued = true
		s.persister.unrecorded = append(s.persister.unrecorded, a)
	}
}

// removeFromBatch takes an attempt out of a batch.
func (s *Scheduler) removeFromBatch(b *assignmentBatch, a *attempt) {
	delete(b.neededBy, a)
	s.deleteBatchIfUnneeded(b)
}

func (s *Scheduler) deleteBatchIfUnneeded(b *assignmentBatch) {
	if len(b.neededBy) > 0 || b.writeInFlight || s.persister.batches[b.key] != b {
		return
	}
	delete(s.persister.batches, b.key)
	for _, n := range b.machineNames {
		if m := s.cluster.machines[n]; m != nil {
			delete(m.batches, b)
		}
	}
	s.persister.obsoleteKeys = append(s.persister.obsoleteKeys, b.key)
}

// addAssignmentBatches writes attempts that wait for their record, those of the highest
// rank first. Batches are spaced, so that what is placed meanwhile shares one.
func (s *Scheduler) addAssignmentBatches(t *transaction) {
	if len(s.persister.unrecorded) == 0 || s.now.Mono < s.persister.nextBatchAt || !s.canAddChanges(t, 1) {
		return
	}
	queue := s.persister.unrecorded[:0]
	for _, a := range s.persister.unrecorded {
		if a.machine.tasks[a.ref] == a {
			queue = append(queue, a)
		} else {
			a.assignment.queued = false
		}
	}
	clear(s.persister.unrecorded[len(queue):])
	priority := func(a *attempt) int {
		switch {
		case a.assignment.durable:
			return 9 // only moved, to be rid of an old batch
		case a.job == nil || a.start.sent:
			return 8 // adopted: it runs already
		}
		return a.job.rank
	}
	slices.SortFunc(queue, func(a, b *attempt) int {
		if c := cmp.Compare(priority(a), priority(b)); c != 0 {
			return c
		}
		if c := strings.Compare(a.machine.name, b.machine.name); c != 0 {
			return c
		}
		return cmp.Compare(a.number, b.number)
	})
	next := 0
	for next < len(queue) && s.canAddChanges(t, 1) {
		encoder := newBatchEncoder(min(int(float64(s.settings.MaxValueBytes)*(1-tuning.ValueSizeMargin)), tuning.MaxBatchBytes))
		for next < len(queue) && encoder.add(queue[next]) {
			queue[next].assignment.queued = false
			next++
		}
		if len(encoder.attempts) == 0 {
			break // never: one attempt always fits
		}
		s.nextEffectID++
		b := &assignmentBatch{key: records.BatchKey(s.term, s.nextEffectID), neededBy: map[*attempt]bool{}, attemptCount: len(encoder.attempts), createdAt: s.now.Mono, writeInFlight: true}
		for _, a := range encoder.attempts {
			b.neededBy[a] = true
		}
		for m := range encoder.machineIndex {
			b.machineNames = append(b.machineNames, m.name)
			m.batches[b] = true
		}
		s.persister.batches[b.key] = b
		t.request.If = append(t.request.If, wire.Compare{Key: b.key})
		t.request.Then = append(t.request.Then, wire.Op{Set: b.key, Value: encoder.finish()})
		t.bytes += encoder.size
		t.contents.batches = append(t.contents.batches, b)
	}
	s.persister.unrecorded = append([]*attempt(nil), queue[next:]...)
	s.persister.nextBatchAt = s.now.Mono + time.Duration(float64(time.Second)/(s.settings.WriteRate*tuning.BatchWriteShare))
}

// batchWritten takes the outcome of a batch's write.
func (s *Scheduler) batchWritten(b *assignmentBatch, result CommitResult, conflicting map[string]bool) {
	b.writeInFlight = false
	for a := range b.neededBy {
		if a.machine.tasks[a.ref] != a && !a.awaitsDurableCompletion() {
			delete(b.neededBy, a) // gone meanwhile
		}
	}
	switch {
	case result == CommitDone:
		for a := range b.neededBy {
			for _, old := range a.assignment.batches {
				s.removeFromBatch(old, a)
			}
			a.assignment.batches = []*assignmentBatch{b}
			if !a.assignment.durable {
				a.assignment.durable = true
				s.dispatcher.markDue(a.machine)
			}
		}
		s.deleteBatchIfUnneeded(b)
	case result == CommitUnknown || conflicting[b.key]:
		// It may be there, or come yet. What it holds is written again under
		// another name; until then this one is kept track of.
		for a := range b.neededBy {
			a.assignment.batches = append(a.assignment.batches, b)
			if !a.assignment.durable {
				s.queueAssignment(a)
			}
		}
		b.namesReleasedMachine = true
		s.deleteBatchIfUnneeded(b)
	default:
		for a := range b.neededBy {
			if !a.assignment.durable {
				s.queueAssignment(a)
			}
		}
		clear(b.neededBy)
		delete(s.persister.batches, b.key)
		for _, n := range b.machineNames {
			if m := s.cluster.machines[n]; m != nil {
				delete(m.batches, b)
			}
		}
	}
}

// compactBatches has what is left of old batches written again, a value at a time,
// so that neither the records nor a new leader's reading grow with what is over.
func (s *Scheduler) compactBatches() {
	if len(s.persister.unrecorded) > 0 || s.persister.writeBudget < s.settings.WriteRate*tuning.StoreWriteRateShare/2 {
		return
	}
	var candidates []*assignmentBatch
	for _, b := range s.persister.batches {
		if b.writeInFlight || s.now.Mono-b.createdAt < tuning.BatchRewriteAge {
			continue
		}
		if b.namesReleasedMachine || len(s.persister.batches) > tuning.BatchCompactionThreshold && len(b.neededBy)*4 <= b.attemptCount {
			candidates = append(candidates, b)
		}
	}
	slices.SortFunc(candidates, func(a, b *assignmentBatch) int {
		if c := cmp.Compare(len(a.neededBy), len(b.neededBy)); c != 0 {
			return c
		}
		return strings.Compare(a.key, b.key)
	})
	n := 0
	for _, b := range candidates {
		if n += len(b.neededBy); n > tuning.MaxCompactedAttempts && n > len(b.neededBy) {
			return
		}
		for a := range b.neededBy {
			if !a.awaitsDurableCompletion() {
				s.queueAssignment(a)
			}
		}
	}
}

// restoreAssignments takes over attempts from a record. What is recorded may run, or may
// yet be started by a command of an earlier leader, so it stays until its worker
// reports under our token.
func (s *Scheduler) restoreAssignments(item wire.KeyValue) {
	b := &assignmentBatch{key: item.Key, neededBy: map[*attempt]bool{}, createdAt: s.now.Mono}
	s.persister.batches[b.key] = b
	if name, ok := strings.CutPrefix(item.Key, records.LegacyMachinePrefix); ok {
		var record records.LegacyMachine // the layout before batches
		if err := wire.Unmarshal(item.Value, &record); err != nil {
			s.noteUnreadableRecord(b, err)
			return
		}
		m := s.restoreMachine(b, name, record.Type, record.Zone, record.Spot, record.Address, record.Images)
		for _, id := range slices.Sorted(maps.Keys(record.Tasks)) {
			for _, x := range record.Tasks[id] {
				s.restoreAttempt(b, m, taskRef{id, x.Index}, x.Attempt)
			}
		}
	} else {
		record, err := records.DecodeBatch(item.Value)
		if err != nil {
			s.noteUnreadableRecord(b, err)
			return
		}
		for _, x := range record.Machines {
			var images []string
			for _, i := range x.Images {
				images = append(images, record.Images[i])
			}
			m := s.restoreMachine(b, x.Name, record.Types[x.Type], record.Zones[x.Zone], x.Spot, x.Address, images)
			for _, r := range x.Runs {
				for k := range r[2] {
					s.restoreAttempt(b, m, taskRef{record.Jobs[r[0]], int(r[1] + k)}, record.Base+r[3]+k)
				}
			}
		}
	}
	b.attemptCount = len(b.neededBy)
	s.deleteBatchIfUnneeded(b)
}

// noteUnreadableRecord deals with a record that cannot be decoded: any task that no other
// record has may be running by its word. See resolveUnreadableRecords.
func (s *Scheduler) noteUnreadableRecord(b *assignmentBatch, err error) {
	delete(s.persister.batches, b.key)
	s.persister.unreadableRecords = append(s.persister.unreadableRecords, b.key)
	s.log(false, "record unreadable: jobs that it may be about wait for every machine's report", "key", b.key, "err", err.Error())
}

// mayBeInUnreadableRecord reports whether a record that cannot be read may be about the job: none of it
// is placed, and if it is cancelled it is not over, until that is settled. A later leader
// would not know of an ended job's tasks whose limit they count for, and nothing of one
// whose tasks nobody has seen is known to be gone.
func (s *Scheduler) mayBeInUnreadableRecord(j *job) bool {
	return len(s.persister.unreadableRecords) > 0 && j.recovered
}

// resolveUnreadableRecords ends the wait for what unreadable records may have held: when
// the cloud's list is of our term and all that it has was heard under our token.
func (s *Scheduler) resolveUnreadableRecords() {
	if len(s.persister.unreadableRecords) == 0 || s.autoscaler.listedAt-s.startedAt <= 3*s.settings.CloudListLag {
		return
	}
	for _, m := range s.cluster.machines {
		if !m.confirmed && m.cloud.provisionedAt < s.startedAt {
			return
		}
	}
	s.persister.obsoleteKeys = append(s.persister.obsoleteKeys, s.persister.unreadableRecords...)
	s.persister.unreadableRecords = nil
	s.placement.due = true
}

func (s *Scheduler) restoreMachine(b *assignmentBatch, name, machineType, zone string, spot bool, address string, images []string) *machine {
	m := s.cluster.machines[name]
	if m == nil {
		m = s.addMachine(name, machineType, zone, spot, address)
		m.phase, m.upAt = machineUp, s.now.Mono
		// It reported in an earlier term, so the cloud lists it, but for the
		// list's lag; a few more lists make up for that.
		m.cloud.listed, m.cloud.missedLists = true, -tuning.MissingListThreshold
		s.reconciler.ExpectMachine(name)
	}
	for _, im := range images {
		if !m.hasImage(im) {
			m.images = append(m.images, cachedImage{name: im})
		}
	}
	b.machineNames = append(b.machineNames, name)
	m.batches[b] = true
	return m
}

func (s *Scheduler) restoreAttempt(b *assignmentBatch, m *machine, ref taskRef, number uint64) {
	j := s.cluster.jobs[ref.jobID]
	if j != nil && (ref.index >= j.spec.Tasks || j.progress.done.Has(ref.index)) {
		return
	}
	if known := m.tasks[ref]; known != nil {
		switch {
		case known.number == number:
			b.neededBy[known] = true
			known.assignment.batches = append(known.assignment.batches, b)
			return
		case known.number > number:
			return // placed there again only after this one was proven gone
		}
		s.reconciler.UnexpectAttempt(m.name)
		s.detach(known)
	}
	a := &attempt{
		ref: ref, job: j, machine: m, number: number, placedAt: s.now.Mono,
		assignment: assignmentState{durable: true, batches: []*assignmentBatch{b}},
		//mutation:recovered-attempt-counts-as-sent
		start: startState{sent: true},
	}
	b.neededBy[a] = true
	s.attach(a)
	a.reconciliation.class = reconcile.MissingUnproven
	s.reconciler.ExpectAttempt(m.name)
	if j == nil || j.cancelled {
		s.cluster.obsoleteAttempts = append(s.cluster.obsoleteAttempts, a)
	}
}

// batchEncoder fills a batch up to a size.
type batchEncoder struct {
	record                                     records.Batch
	typeIndex, zoneIndex, jobIndex, imageIndex map[string]int
	machineIndex                               map[*machine]int
	attempts                                   []*attempt
	size, limit                                int
}

// Parts of a batch take at most this many bytes in JSON, beside names: what
// surrounds the lists, a machine's fields, and a run with an attempt's twenty
// digits.
const (
	batchOverheadBytes = 160
	batchMachineBytes  = 60
	batchRunBytes      = 48
	batchNameBytes     = 4
)

func newBatchEncoder(limit int) *batchEncoder {
	return &batchEncoder{typeIndex: map[string]int{}, zoneIndex: map[string]int{}, jobIndex: map[string]int{}, imageIndex: map[string]int{},
		machineIndex: map[*machine]int{}, size: batchOverheadBytes, limit: limit}
}

// add takes one more attempt, unless it would not fit.
func (w *batchEncoder) add(a *attempt) bool {
	m := a.machine
	at, known := w.machineIndex[m]
	if known {
		runs := w.record.Machines[at].Runs
		if last := &runs[len(runs)-1]; w.record.Jobs[last[0]] == a.ref.jobID && last[1]+last[2] == uint64(a.ref.index) && last[3]+last[2] == a.number {
			last[2]++
			w.attempts = append(w.attempts, a)
			return true
		}
	}
	images := m.images[max(0, len(m.images)-tuning.MaxRecordedImages):]
	cost := batchRunBytes
	name := func(set map[string]int, s string) {
		if _, ok := set[s]; !ok {
			cost += len(s) + batchNameBytes
		}
	}
	name(w.jobIndex, a.ref.jobID)
	if !known {
		cost += batchMachineBytes + len(m.name) + len(m.address) + batchNameBytes*len(images)
		name(w.typeIndex, m.machineType)
		name(w.zoneIndex, m.zone)
		for _, im := range images {
			name(w.imageIndex, im.name)
		}
	}
	if w.size+cost > w.limit && len(w.attempts) > 0 {
		return false
	}
	w.size += cost
	place := func(set map[string]int, list *[]string, s string) int {
		i, ok := set[s]
		if !ok {
			i = len(*list)
			set[s] = i
			*list = append(*list, s)
		}
		return i
	}
	if !known {
		bm := records.BatchMachine{Name: m.name, Type: place(w.typeIndex, &w.record.Types, m.machineType), Zone: place(w.zoneIndex, &w.record.Zones, m.zone), Spot: m.spot, Address: m.address}
		for _, im := range images {
			bm.Images = append(bm.Images, place(w.imageIndex, &w.record.Images, im.name))
		}
		at = len(w.record.Machines)
		w.machineIndex[m] = at
		w.record.Machines = append(w.record.Machines, bm)
	}
	bm := &w.record.Machines[at]
	bm.Runs = append(bm.Runs, [4]uint64{uint64(place(w.jobIndex, &w.record.Jobs, a.ref.jobID)), uint64(a.ref.index), 1, a.number})
	w.attempts = append(w.attempts, a)
	return true
}

func (w *batchEncoder) finish() records.Batch {
	base := w.attempts[0].number
	for _, a := range w.attempts {
		base = min(base, a.number)
	}
	w.record.Base = base
	for i := range w.record.Machines {
		for k := range w.record.Machines[i].Runs {
			w.record.Machines[i].Runs[k][3] -= base
		}
	}
	return w.record
}
