package core

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/recovery"
	"github.com/yarrowgap/yarrowgap/internal/store"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// batch is a durable value that holds attempts. Batches are written once and
// deleted when nothing needs them; their names are never used twice. So a write
// or deletion that is carried out late can only bring back an old batch, which
// makes a later leader wait for a report, and never takes a record away that is
// still needed: an attempt leaves a batch only when it is gone or when a later
// batch with it is known to be written.
type batch struct {
	key     string
	live    map[*attempt]bool // what needs it
	size    int               // how many attempts were written
	at      time.Duration
	writing bool
	ghosts  bool // it names a machine that is gone: a new leader would look for it
	names   []string
}

// record has an attempt written with the next batch.
func (l *Leader) record(a *attempt) {
	if !a.queued {
		a.queued = true
		l.toRecord = append(l.toRecord, a)
	}
}

// unneed takes an attempt out of a batch.
func (l *Leader) unneed(b *batch, a *attempt) {
	delete(b.live, a)
	l.dropEmpty(b)
}

func (l *Leader) dropEmpty(b *batch) {
	if len(b.live) > 0 || b.writing || l.batches[b.key] != b {
		return
	}
	delete(l.batches, b.key)
	for _, n := range b.names {
		if m := l.machines[n]; m != nil {
			delete(m.batches, b)
		}
	}
	l.obsoleteKeys = append(l.obsoleteKeys, b.key)
}

// gatherBatches writes attempts that wait for their record, those of the highest
// rank first. Batches are spaced, so that what is placed meanwhile shares one.
func (l *Leader) gatherBatches(t *txn) {
	if len(l.toRecord) == 0 || l.now.Mono < l.nextBatch || !l.room(t, 1) {
		return
	}
	queue := l.toRecord[:0]
	for _, a := range l.toRecord {
		if a.m.tasks[a.ref] == a {
			queue = append(queue, a)
		} else {
			a.queued = false
		}
	}
	clear(l.toRecord[len(queue):])
	rank := func(a *attempt) int {
		switch {
		case a.recorded:
			return 9 // only moved, to be rid of an old batch
		case a.job == nil || a.sent:
			return 8 // adopted: it runs already
		}
		return a.job.rank
	}
	slices.SortFunc(queue, func(a, b *attempt) int {
		if c := cmp.Compare(rank(a), rank(b)); c != 0 {
			return c
		}
		if c := strings.Compare(a.m.name, b.m.name); c != 0 {
			return c
		}
		return cmp.Compare(a.number, b.number)
	})
	at := 0
	for at < len(queue) && l.room(t, 1) {
		w := newBatchWriter(min(int(float64(l.cfg.ValueBytes)*(1-tuning.ValueSlack)), tuning.BatchBytes))
		for at < len(queue) && w.add(queue[at]) {
			queue[at].queued = false
			at++
		}
		if len(w.list) == 0 {
			break // never: one attempt always fits
		}
		l.nextID++
		b := &batch{key: store.BatchKey(l.term, l.nextID), live: map[*attempt]bool{}, size: len(w.list), at: l.now.Mono, writing: true}
		for _, a := range w.list {
			b.live[a] = true
		}
		for m := range w.machines {
			b.names = append(b.names, m.name)
			m.batches[b] = true
		}
		l.batches[b.key] = b
		t.t.If = append(t.t.If, wire.Condition{Key: b.key})
		t.t.Apply = append(t.t.Apply, wire.Change{Set: b.key, Value: w.finish()})
		t.bytes += w.size
		t.state.batches = append(t.state.batches, b)
	}
	l.toRecord = append([]*attempt(nil), queue[at:]...)
	l.nextBatch = l.now.Mono + time.Duration(float64(time.Second)/(l.cfg.WriteRate*tuning.BatchShare))
}

// batchWritten takes the outcome of a batch's write.
func (l *Leader) batchWritten(b *batch, res CommitResult, bad map[string]bool) {
	b.writing = false
	for a := range b.live {
		if a.m.tasks[a.ref] != a && !a.awaitsSave() {
			delete(b.live, a) // gone meanwhile
		}
	}
	switch {
	case res == CommitDone:
		for a := range b.live {
			for _, old := range a.batches {
				l.unneed(old, a)
			}
			a.batches = []*batch{b}
			if !a.recorded {
				a.recorded = true
				l.pushDue[a.m.name] = true
			}
		}
		l.dropEmpty(b)
	case res == CommitUnknown || bad[b.key]:
		// It may be there, or come yet. What it holds is written again under
		// another name; until then this one is kept track of.
		for a := range b.live {
			a.batches = append(a.batches, b)
			if !a.recorded {
				l.record(a)
			}
		}
		b.ghosts = true
		l.dropEmpty(b)
	default:
		for a := range b.live {
			if !a.recorded {
				l.record(a)
			}
		}
		clear(b.live)
		delete(l.batches, b.key)
		for _, n := range b.names {
			if m := l.machines[n]; m != nil {
				delete(m.batches, b)
			}
		}
	}
}

// foldBatches has what is left of old batches written again, a value at a time,
// so that neither the records nor a new leader's reading grow with what is over.
func (l *Leader) foldBatches() {
	if len(l.toRecord) > 0 || l.budget < l.cfg.WriteRate*tuning.WriteShare/2 {
		return
	}
	var old []*batch
	for _, b := range l.batches {
		if b.writing || l.now.Mono-b.at < tuning.RecordFlush {
			continue
		}
		if b.ghosts || len(l.batches) > tuning.BatchesKept && len(b.live)*4 <= b.size {
			old = append(old, b)
		}
	}
	slices.SortFunc(old, func(a, b *batch) int {
		if c := cmp.Compare(len(a.live), len(b.live)); c != 0 {
			return c
		}
		return strings.Compare(a.key, b.key)
	})
	n := 0
	for _, b := range old {
		if n += len(b.live); n > tuning.FoldAttempts && n > len(b.live) {
			return
		}
		for a := range b.live {
			if !a.awaitsSave() {
				l.record(a)
			}
		}
	}
}

// addRecord takes over attempts from a record. What is recorded may run, or may
// yet be started by a command of an earlier leader, so it stays until its worker
// reports under our token.
func (l *Leader) addRecord(it wire.Item) {
	b := &batch{key: it.Key, live: map[*attempt]bool{}, at: l.now.Mono}
	l.batches[b.key] = b
	if name, ok := strings.CutPrefix(it.Key, store.MachinePrefix); ok {
		var rec store.MachineRecord // the layout before batches
		if err := wire.Unmarshal(it.Value, &rec); err != nil {
			l.unreadable(b, err)
			return
		}
		m := l.recovered(b, name, rec.Type, rec.Zone, rec.Spot, rec.Address, rec.Images)
		for _, id := range slices.Sorted(maps.Keys(rec.Tasks)) {
			for _, x := range rec.Tasks[id] {
				l.recoverAttempt(b, m, taskRef{id, x.Index}, x.Attempt)
			}
		}
	} else {
		rec, err := store.DecodeBatch(it.Value)
		if err != nil {
			l.unreadable(b, err)
			return
		}
		for _, x := range rec.Machines {
			var images []string
			for _, i := range x.Images {
				images = append(images, rec.Images[i])
			}
			m := l.recovered(b, x.Name, rec.Types[x.Type], rec.Zones[x.Zone], x.Spot, x.Address, images)
			for _, r := range x.Runs {
				for k := range r[2] {
					l.recoverAttempt(b, m, taskRef{rec.Jobs[r[0]], int(r[1] + k)}, rec.Base+r[3]+k)
				}
			}
		}
	}
	b.size = len(b.live)
	l.dropEmpty(b)
}

// unreadable deals with a record that cannot be decoded: any task that no other
// record has may be running by its word. See proveUnreadable.
func (l *Leader) unreadable(b *batch, err error) {
	delete(l.batches, b.key)
	l.dark = append(l.dark, b.key)
	l.line(false, "record unreadable: jobs that it may be about wait for every machine's report", "key", b.key, "err", err.Error())
}

// inUnreadableRecord reports whether a record that cannot be read may be about the job: none of it
// is placed, and if it is cancelled it is not over, until that is settled. A later leader
// would not know of an ended job's tasks whose limit they count for, and nothing of one
// whose tasks nobody has seen is known to be gone.
func (l *Leader) inUnreadableRecord(j *job) bool { return len(l.dark) > 0 && j.recovered }

// proveUnreadable ends the wait for what unreadable records may have held: when
// the cloud's list is of our term and all that it has was heard under our token.
func (l *Leader) proveUnreadable() {
	if len(l.dark) == 0 || l.listedAt-l.startedAt <= 3*l.cfg.ListLag {
		return
	}
	for _, m := range l.machines {
		if !m.confirmed && m.rentedAt < l.startedAt {
			return
		}
	}
	l.obsoleteKeys = append(l.obsoleteKeys, l.dark...)
	l.dark = nil
	l.dirtyPlace = true
}

func (l *Leader) recovered(b *batch, name, typ, zone string, spot bool, addr string, images []string) *machine {
	m := l.machines[name]
	if m == nil {
		m = l.addMachine(name, typ, zone, spot, addr)
		m.phase, m.upAt = up, l.now.Mono
		// It reported in an earlier term, so the cloud lists it, but for the
		// list's lag; a few more lists make up for that.
		m.listedOnce, m.missing = true, -tuning.MissingLists
		l.recovery.ExpectMachine(name)
	}
	for _, im := range images {
		if !m.has(im) {
			m.images = append(m.images, image{name: im})
		}
	}
	b.names = append(b.names, name)
	m.batches[b] = true
	return m
}

func (l *Leader) recoverAttempt(b *batch, m *machine, ref taskRef, number uint64) {
	j := l.jobs[ref.job]
	if j != nil && (ref.index >= j.spec.Tasks || j.done.Has(ref.index)) {
		return
	}
	if have := m.tasks[ref]; have != nil {
		switch {
		case have.number == number:
			b.live[have] = true
			have.batches = append(have.batches, b)
			return
		case have.number > number:
			return // placed there again only after this one was proven gone
		}
		l.recovery.Unexpect(m.name)
		l.detach(have)
	}
	//mutation:recovered-attempt-counts-as-sent
	a := &attempt{ref: ref, job: j, m: m, number: number, recorded: true, sent: true, placedAt: l.now.Mono, batches: []*batch{b}}
	b.live[a] = true
	l.attach(a)
	a.class = recovery.MissingUnproven
	l.recovery.ExpectAttempt(m.name)
	if j == nil || j.cancelled {
		l.obsolete = append(l.obsolete, a)
	}
}

// batchWriter fills a batch up to a size.
type batchWriter struct {
	rec                        store.BatchRecord
	types, zones, jobs, images map[string]int
	machines                   map[*machine]int
	list                       []*attempt
	size, limit                int
}

// Parts of a batch take at most this many bytes in JSON, beside names: what
// surrounds the lists, a machine's fields, and a run with an attempt's twenty
// digits.
const (
	batchHead    = 160
	batchMachine = 60
	batchRun     = 48
	batchName    = 4
)

func newBatchWriter(limit int) *batchWriter {
	return &batchWriter{types: map[string]int{}, zones: map[string]int{}, jobs: map[string]int{}, images: map[string]int{},
		machines: map[*machine]int{}, size: batchHead, limit: limit}
}

// add takes one more attempt, unless it would not fit.
func (w *batchWriter) add(a *attempt) bool {
	m := a.m
	at, known := w.machines[m]
	if known {
		runs := w.rec.Machines[at].Runs
		if last := &runs[len(runs)-1]; w.rec.Jobs[last[0]] == a.ref.job && last[1]+last[2] == uint64(a.ref.index) && last[3]+last[2] == a.number {
			last[2]++
			w.list = append(w.list, a)
			return true
		}
	}
	images := m.images[max(0, len(m.images)-tuning.ImagesRecorded):]
	cost := batchRun
	name := func(set map[string]int, s string) {
		if _, ok := set[s]; !ok {
			cost += len(s) + batchName
		}
	}
	name(w.jobs, a.ref.job)
	if !known {
		cost += batchMachine + len(m.name) + len(m.addr) + batchName*len(images)
		name(w.types, m.typ)
		name(w.zones, m.zone)
		for _, im := range images {
			name(w.images, im.name)
		}
	}
	if w.size+cost > w.limit && len(w.list) > 0 {
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
		bm := store.BatchMachine{Name: m.name, Type: place(w.types, &w.rec.Types, m.typ), Zone: place(w.zones, &w.rec.Zones, m.zone), Spot: m.spot, Address: m.addr}
		for _, im := range images {
			bm.Images = append(bm.Images, place(w.images, &w.rec.Images, im.name))
		}
		at = len(w.rec.Machines)
		w.machines[m] = at
		w.rec.Machines = append(w.rec.Machines, bm)
	}
	bm := &w.rec.Machines[at]
	bm.Runs = append(bm.Runs, [4]uint64{uint64(place(w.jobs, &w.rec.Jobs, a.ref.job)), uint64(a.ref.index), 1, a.number})
	w.list = append(w.list, a)
	return true
}

func (w *batchWriter) finish() store.BatchRecord {
	base := w.list[0].number
	for _, a := range w.list {
		base = min(base, a.number)
	}
	w.rec.Base = base
	for i := range w.rec.Machines {
		for k := range w.rec.Machines[i].Runs {
			w.rec.Machines[i].Runs[k][3] -= base
		}
	}
	return w.rec
}
