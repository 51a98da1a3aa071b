package core

import (
	"cmp"
	"maps"
	"slices"
	"strings"
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
	//mutation:transaction-needs-leadership
	return &txn{t: wire.Txn{If: []wire.Condition{{Key: store.LeaderKey, Stamp: leaderStamp}}}}
}

// room reports whether the transaction can take n more changes.
func (l *Leader) room(t *txn, n int) bool {
	//mutation:write-budget
	return len(t.t.Apply)+n <= l.cfg.TxnOps && t.bytes < tuning.TxnBytes &&
		float64(len(t.t.Apply)+n) <= l.budget
}

func (l *Leader) refill() {
	rate := l.cfg.WriteRate * tuning.WriteShare
	l.budget = min(max(rate, float64(l.cfg.TxnOps)), l.budget+(l.now.Mono-l.budgetAt).Seconds()*rate)
	l.budgetAt = l.now.Mono
}

// flush writes what is due, the most urgent first: starts that wait for their record,
// ended jobs, then what can wait.
func (l *Leader) flush() {
	l.refill()
	for len(l.commits) < maxCommits && l.now.Mono >= l.holdOff {
		t := l.newTxn(l.term)
		// Batches are spaced, and one change has dozens of starts where an end takes
		// two: a swarm of small jobs that end would keep all starts waiting.
		l.gatherBatches(t)
		l.gatherEnded(t)
		l.gatherProgress(t)
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
	for j := range l.dirtyJobs {
		if j.dirtyAt > 0 && !j.writing && !j.archived && l.now.Mono >= j.blocked && l.now.Mono-j.dirtyAt >= after {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(a, b *job) int {
		if c := cmp.Compare(a.dirtyAt, b.dirtyAt); c != 0 {
			return c
		}
		return strings.Compare(a.id, b.id)
	})
	return out
}

// over reports whether the job's end may be written. A cancelled one stays live until
// nothing of it may be about: of what no live job has, a later leader would not know
// whose limit it counts for.
func (j *job) over() bool {
	//mutation:cancelled-job-outlives-attempts
	return j.nDone == j.spec.Tasks || j.cancelled && j.nActive == 0
}

func (l *Leader) gatherEnded(t *txn) {
	for _, j := range l.dueJobs(0) {
		//mutation:end-waits-for-unreadable-records
		if !j.over() || j.cancelled && l.inUnreadableRecord(j) {
			continue
		}
		if !l.room(t, 2) {
			return
		}
		state := wire.JobDone
		if j.cancelled {
			state = wire.JobCancelled
		}
		//mutation:job-end-conditions
		t.t.If = append(t.t.If, wire.Condition{Key: store.JobKey(j.id), Stamp: j.stamp})
		t.t.Apply = append(t.t.Apply,
			wire.Change{Delete: store.JobKey(j.id)},
			wire.Change{Set: store.EndedKey(j.id), Value: store.EndedRecord{State: state, Done: j.nDone, Tasks: j.spec.Tasks, Class: j.spec.Class}})
		t.bytes += 400
		j.writing = true
		t.state.jobs = append(t.state.jobs, jobWrite{j: j, ended: true})
	}
}

// doneFlush is how long done tasks wait for their write: longer where many jobs
// have some, since each job's write is one of its own.
func (l *Leader) doneFlush() time.Duration {
	return max(tuning.DoneFlush, time.Duration(float64(len(l.dirtyJobs))/(l.cfg.WriteRate*tuning.ProgressShare)*float64(time.Second)))
}

// gatherProgress writes done tasks of unfinished jobs.
func (l *Leader) gatherProgress(t *txn) {
	for _, j := range l.dueJobs(l.doneFlush()) {
		if j.over() {
			continue
		}
		if l.budget-float64(len(t.t.Apply)) < l.cfg.WriteRate*tuning.WriteReserve {
			return // starts, and jobs that end, come first
		}
		if j.nDone == j.nSaved {
			l.clean(j)
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
				//mutation:progress-conditions
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

// gatherDeleted deletes batches that nothing needs any more, and the further done
// bits of ended jobs.
func (l *Leader) gatherDeleted(t *txn) {
	for len(l.obsoleteKeys) > 0 && l.room(t, 1) {
		key := l.obsoleteKeys[0]
		l.obsoleteKeys = l.obsoleteKeys[1:]
		t.t.Apply = append(t.t.Apply, wire.Change{Delete: key})
		t.state.deleted = append(t.state.deleted, key)
	}
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
		l.obsoleteKeys = append(l.obsoleteKeys, cs.deleted...)
	}
	for _, w := range cs.jobs {
		l.jobWritten(w, res, rev, bad)
	}
	for _, b := range cs.batches {
		l.batchWritten(b, res, bad)
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
			l.obsoleteKeys = append(l.obsoleteKeys, store.BitsKey(j.id, k))
		}
		l.line(false, "job over", "job", j.id, "state", state, "after_s", (l.now.Mono - j.created).Seconds())
		j.saved = append(store.Bitmap(nil), j.done...)
		j.nSaved = j.nDone
		l.clean(j)
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
	//mutation:release-saved-attempt
	l.releaseSaved(j)
	l.clean(j)
	if j.nSaved != j.nDone || j.over() {
		l.touch(j)
	}
}
