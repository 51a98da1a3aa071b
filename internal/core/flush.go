package core

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/store"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// maxCommits is how many of the leader's transactions may be out at once; they
// never share a key.
const maxCommits = 4

// txn gathers one transaction of the leader.
type txn struct {
	t     wire.Txn
	state commitState
	bytes int
}

func (l *Leader) newTxn(leaderStamp uint64) *txn {
	return &txn{t: wire.Txn{If: []wire.Condition{{Key: store.LeaderKey, Stamp: leaderStamp}}}}
}

// room reports whether the transaction can take n more changes.
func (l *Leader) room(t *txn, n int) bool {
	return len(t.t.Apply)+n <= l.cfg.TxnOps && t.bytes < 40<<10 &&
		float64(len(t.t.Apply)+n) <= l.budget
}

func (l *Leader) refill() {
	rate := l.cfg.WriteRate * tuning.WriteShare
	l.budget = min(max(rate, float64(l.cfg.TxnOps)), l.budget+(l.now.Mono-l.budgetAt).Seconds()*rate)
	l.budgetAt = l.now.Mono
}

// flush writes what is due, the most urgent first: ended jobs, machines whose
// starts wait for their record, then what can wait.
func (l *Leader) flush() {
	l.refill()
	for len(l.commits) < maxCommits && l.now.Mono >= l.holdOff {
		t := l.newTxn(l.term)
		l.gatherEnded(t)
		l.gatherMachines(t, true)
		l.gatherProgress(t)
		l.gatherMachines(t, false)
		l.gatherDeleted(t)
		if len(t.t.Apply) == 0 {
			return
		}
		l.budget -= float64(len(t.t.Apply))
		l.nextID++
		l.commits[l.nextID] = &t.state
		l.out.Commits = append(l.out.Commits, Commit{ID: l.nextID, Txn: t.t})
	}
}

func (l *Leader) dueJobs(after time.Duration) []*job {
	var out []*job
	for _, j := range l.jobs {
		if j.dirtyAt > 0 && !j.writing && !j.archived && l.now.Mono >= j.blocked && l.now.Mono-j.dirtyAt >= after {
			out = append(out, j)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].id < out[b].id })
	return out
}

func (j *job) over() bool {
	return j.nDone == j.spec.Tasks || j.cancelled && j.nActive == 0
}

func (l *Leader) gatherEnded(t *txn) {
	for _, j := range l.dueJobs(0) {
		if !j.over() {
			continue
		}
		if !l.room(t, 2) {
			return
		}
		state := wire.JobDone
		if j.cancelled {
			state = wire.JobCancelled
		}
		t.t.If = append(t.t.If, wire.Condition{Key: store.JobKey(j.id), Stamp: j.stamp})
		t.t.Apply = append(t.t.Apply,
			wire.Change{Delete: store.JobKey(j.id)},
			wire.Change{Set: store.EndedKey(j.id), Value: store.EndedRecord{State: state, Done: j.nDone, Tasks: j.spec.Tasks, Class: j.spec.Class}})
		t.bytes += 400
		j.writing = true
		t.state.jobs = append(t.state.jobs, jobWrite{j: j, ended: true})
	}
}

// gatherProgress writes done tasks of unfinished jobs.
func (l *Leader) gatherProgress(t *txn) {
	for _, j := range l.dueJobs(tuning.DoneFlush) {
		if j.over() {
			continue
		}
		if j.nDone == j.nSaved {
			j.dirtyAt = 0
			continue
		}
		w := jobWrite{j: j, saved: append(store.Bitmap(nil), j.done...)}
		for k := 0; k < j.done.Chunks(); k++ {
			text := j.done.Encode(k)
			if text == j.saved.Encode(k) {
				continue
			}
			if !l.room(t, 1) {
				break // the rest follows with the next write
			}
			if k == 0 {
				rec := store.JobRecord{Job: j.spec, Cancelled: j.cancelled, Done: text}
				t.t.If = append(t.t.If, wire.Condition{Key: store.JobKey(j.id), Stamp: j.stamp})
				t.t.Apply = append(t.t.Apply, wire.Change{Set: store.JobKey(j.id), Value: rec})
				w.touched = true
			} else {
				key := store.BitsKey(j.id, k)
				t.t.If = append(t.t.If, wire.Condition{Key: key, Stamp: j.chunks[k]})
				t.t.Apply = append(t.t.Apply, wire.Change{Set: key, Value: store.BitsRecord{Done: text}})
				w.chunks = append(w.chunks, k)
			}
			t.bytes += len(text) + 800
		}
		if !w.touched && len(w.chunks) == 0 {
			return
		}
		j.writing = true
		t.state.jobs = append(t.state.jobs, w)
	}
}

// gatherMachines writes machine records: those for which a start waits, or
// those that have been out of date for a while.
func (l *Leader) gatherMachines(t *txn, urgent bool) {
	var due []*machine
	for _, m := range l.machines {
		if !m.dirty || m.writing || m.reading || m.urgent != urgent {
			continue
		}
		if !urgent && l.now.Mono-m.dirtyAt < tuning.RecordFlush {
			continue
		}
		due = append(due, m)
	}
	rank := func(m *machine) int {
		best := 9
		for _, a := range m.tasks {
			if !a.recorded && a.job != nil {
				best = min(best, a.job.rank)
			}
		}
		return best
	}
	sort.Slice(due, func(a, b int) bool {
		if urgent {
			if x, y := rank(due[a]), rank(due[b]); x != y {
				return x < y
			}
		}
		if due[a].dirtyAt != due[b].dirtyAt {
			return due[a].dirtyAt < due[b].dirtyAt
		}
		return due[a].name < due[b].name
	})
	for _, m := range due {
		if !l.room(t, 1) {
			return
		}
		rec, list := m.record()
		t.t.If = append(t.t.If, wire.Condition{Key: store.MachineKey(m.name), Stamp: m.stamp})
		t.t.Apply = append(t.t.Apply, wire.Change{Set: store.MachineKey(m.name), Value: rec})
		t.bytes += 200 + len(list)*tuning.RecordTaskBytes
		m.dirty, m.urgent, m.writing = false, false, true
		t.state.machines = append(t.state.machines, m)
		t.state.recorded = append(t.state.recorded, list)
	}
}

// gatherDeleted deletes the records of machines that are gone for good, and the
// further done bits of ended jobs.
func (l *Leader) gatherDeleted(t *txn) {
	for len(l.tombs) > 0 && l.room(t, 1) {
		key := l.tombs[0]
		l.tombs = l.tombs[1:]
		t.t.Apply = append(t.t.Apply, wire.Change{Delete: key})
		t.state.deleted = append(t.state.deleted, key)
	}
}

// record is what is written of a machine, with the attempts it covers.
func (m *machine) record() (store.MachineRecord, []*attempt) {
	rec := store.MachineRecord{Type: m.typ, Zone: m.zone, Spot: m.spot, Address: m.addr}
	list := m.list()
	if len(list) > 0 {
		rec.Tasks = map[string][]store.Assigned{}
	}
	for _, a := range list {
		rec.Tasks[a.ref.job] = append(rec.Tasks[a.ref.job], store.Assigned{Index: a.ref.index, Attempt: a.number})
	}
	for i := len(m.images) - 1; i >= 0 && len(rec.Images) < 6; i-- {
		rec.Images = append([]string{m.images[i].name}, rec.Images...)
	}
	return rec, list
}

// recordRoom reports whether a machine's record can take one more task.
func (l *Leader) recordRoom(m *machine) bool {
	jobs := map[string]bool{}
	for ref := range m.tasks {
		jobs[ref.job] = true
	}
	size := 1200 + (len(m.tasks)+1)*(tuning.RecordTaskBytes+16) + (len(jobs)+1)*tuning.RecordJobBytes
	return float64(size) < float64(l.cfg.ValueBytes)*(1-tuning.ValueSlack)
}

// CommitResult says what became of a transaction.
type CommitResult int

// Outcomes of a transaction.
const (
	CommitUnknown  CommitResult = iota // executed, or not, or later
	CommitDone                         // executed at the given revision
	CommitConflict                     // not executed: the named keys differ
	CommitRefused                      // not executed: the service refused it
)

// CommitDone takes the outcome of a transaction.
func (l *Leader) CommitDone(now Now, id uint64, res CommitResult, rev uint64, failed []string) {
	l.now = now
	cs := l.commits[id]
	if cs == nil {
		return
	}
	delete(l.commits, id)
	bad := map[string]bool{}
	if res == CommitConflict {
		for _, k := range failed {
			bad[k] = true
			if k == store.LeaderKey {
				l.out.Resign = "another leader holds the key"
				return
			}
		}
	}
	if res == CommitRefused || res == CommitUnknown {
		l.holdOff = now.Mono + tuning.StateRetry
	}
	if res != CommitDone {
		l.tombs = append(l.tombs, cs.deleted...)
	}
	for _, w := range cs.jobs {
		l.jobWritten(w, res, rev, bad)
	}
	for i, m := range cs.machines {
		m.writing = false
		if l.machines[m.name] != m {
			continue
		}
		switch {
		case res == CommitDone:
			m.stamp = rev
			for _, a := range cs.recorded[i] {
				a.recorded = true
			}
			l.push(m)
		default:
			l.touch(m, true)
			if res == CommitUnknown || bad[store.MachineKey(m.name)] {
				// It may have been written; its stamp tells.
				m.reading = true
				l.out.Reads = append(l.out.Reads, m.name)
			}
		}
	}
	l.flush()
}

func (l *Leader) jobWritten(w jobWrite, res CommitResult, rev uint64, bad map[string]bool) {
	j := w.j
	j.writing = false
	if res != CommitDone {
		// After a conflict, or an answer that was lost, the watch brings the
		// record as it is. Chunks are read again by a retry's conflict.
		j.blocked = l.now.Mono + tuning.StateRetry
		for _, k := range w.chunks {
			if bad[store.BitsKey(j.id, k)] {
				l.out.Resign = "a job's bitmap changed under us"
			}
		}
		return
	}
	if w.ended {
		state := wire.JobDone
		if j.cancelled {
			state = wire.JobCancelled
		}
		for _, k := range slices.Sorted(maps.Keys(j.chunks)) {
			l.tombs = append(l.tombs, store.BitsKey(j.id, k))
		}
		l.line(false, "job over", "job", j.id, "state", state, "after_s", (l.now.Mono - j.created).Seconds())
		j.saved = append(store.Bitmap(nil), j.done...)
		j.nSaved, j.dirtyAt = j.nDone, 0
		l.dropJob(j)
		return
	}
	if w.touched {
		j.stamp = max(j.stamp, rev)
		_ = j.saved.Merge(0, w.saved.Encode(0))
	}
	for _, k := range w.chunks {
		j.chunks[k] = rev
		_ = j.saved.Merge(k, w.saved.Encode(k))
	}
	j.nSaved = j.saved.Count()
	if j.nSaved == j.nDone && !j.over() {
		j.dirtyAt = 0
	} else {
		j.dirtyAt = l.now.Mono
	}
}

// RecordRead takes a machine's record read after a lost or refused write.
// Stamp 0: there is none.
func (l *Leader) RecordRead(now Now, name string, stamp uint64, ok bool) {
	l.now = now
	m := l.machines[name]
	if m == nil || !m.reading {
		return
	}
	if !ok {
		l.out.Reads = append(l.out.Reads, name)
		return
	}
	m.reading, m.stamp = false, stamp
	l.touch(m, true)
	l.flush()
}
