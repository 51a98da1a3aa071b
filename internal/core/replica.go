package core

import (
	"container/list"
	"strings"

	"github.com/yarrowgap/yarrowgap/internal/store"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// LiveJob is a job's record as last seen.
type LiveJob struct {
	Record *store.JobRecord
	Stamp  uint64
}

// Replica is a node's copy of the jobs in the state service. All live jobs are
// in it; of the ended ones, as many as fit. It says what was true at Epoch and
// is brought up to date by changes.
type Replica struct {
	Loaded bool
	Epoch  uint64
	Resets int // how often changes were passed over
	Live   map[string]*LiveJob
	ended  map[string]*list.Element
	order  *list.List // of endedEntry, the most recently used first
	absent map[string]bool
}

type endedEntry struct {
	id  string
	rec store.EndedRecord
}

// NewReplica makes an empty copy, which knows nothing until Reset.
func NewReplica() *Replica {
	return &Replica{Live: map[string]*LiveJob{}, ended: map[string]*list.Element{}, order: list.New(), absent: map[string]bool{}}
}

// Reset replaces the live jobs by a full read made at epoch. Ended jobs stay:
// their state never changes.
func (r *Replica) Reset(items []wire.Item, epoch uint64) (bad []string) {
	//mutation:reset-clears-absences
	clear(r.absent) // changes were passed over
	r.Resets++
	r.Live = make(map[string]*LiveJob, len(items))
	for _, it := range items {
		rec, err := store.DecodeJob(it)
		if err != nil {
			bad = append(bad, it.Key)
			continue
		}
		r.Live[rec.Job.ID] = &LiveJob{Record: rec, Stamp: it.Stamp}
	}
	r.Epoch, r.Loaded = epoch, true
	return bad
}

// Changed names a job that a change touched.
type Changed struct {
	ID   string
	Live *LiveJob // nil if the job is no longer live
}

// Apply brings the copy up to date. Entries at or before the copy's epoch were
// applied before, by another answer that overtook this one.
func (r *Replica) Apply(c wire.Changes) (touched []Changed, bad []string) {
	for _, e := range c.Log {
		//mutation:change-order
		if e.Stamp <= r.Epoch {
			continue
		}
		switch {
		case strings.HasPrefix(e.Set, store.JobPrefix):
			rec, err := store.DecodeJob(wire.Item{Key: e.Set, Value: e.Value, Stamp: e.Stamp})
			if err != nil {
				bad = append(bad, e.Set)
				continue
			}
			lj := &LiveJob{Record: rec, Stamp: e.Stamp}
			r.Live[rec.Job.ID] = lj
			delete(r.absent, rec.Job.ID)
			touched = append(touched, Changed{rec.Job.ID, lj})
		case strings.HasPrefix(e.Set, store.EndedPrefix):
			var rec store.EndedRecord
			if err := wire.Unmarshal(e.Value, &rec); err != nil {
				bad = append(bad, e.Set)
				continue
			}
			r.Remember(store.IDOf(store.EndedPrefix, e.Set), rec)
		case strings.HasPrefix(e.Delete, store.JobPrefix):
			id := store.IDOf(store.JobPrefix, e.Delete)
			delete(r.Live, id)
			touched = append(touched, Changed{id, nil})
		}
	}
	r.Epoch = max(r.Epoch, c.Epoch)
	return touched, bad
}

// Missing notes that there is no ended job of the id, by a read sent after the copy
// was brought up to date, and not reset since: what a reset passed over may have been the
// job's whole life. Until a change makes one, neither is there a live one.
func (r *Replica) Missing(id string) {
	if len(r.absent) >= tuning.JobsCached {
		clear(r.absent)
	}
	if _, ended := r.ended[id]; !ended && r.Live[id] == nil {
		r.absent[id] = true
	}
}

// Absent reports whether there is no job of the id, as of the copy's epoch.
func (r *Replica) Absent(id string) bool { return r.absent[id] }

// Remember notes how a job ended.
func (r *Replica) Remember(id string, rec store.EndedRecord) {
	delete(r.absent, id)
	if el, ok := r.ended[id]; ok {
		r.order.MoveToFront(el)
		return
	}
	r.ended[id] = r.order.PushFront(endedEntry{id, rec})
	for r.order.Len() > tuning.JobsCached {
		el := r.order.Back()
		delete(r.ended, el.Value.(endedEntry).id)
		r.order.Remove(el)
	}
}

// Ended tells how a job ended, if that is remembered.
func (r *Replica) Ended(id string) (store.EndedRecord, bool) {
	el, ok := r.ended[id]
	if !ok {
		return store.EndedRecord{}, false
	}
	r.order.MoveToFront(el)
	return el.Value.(endedEntry).rec, true
}
