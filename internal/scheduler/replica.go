package scheduler

import (
	"container/list"
	"strings"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// LiveJob is a job's record as last seen.
type LiveJob struct {
	Record      *records.Job
	ModRevision uint64
}

// Replica is a node's copy of the jobs in the state service. All live jobs are
// in it; of the ended ones, as many as fit. It says what was true at Epoch and
// is brought up to date by changes.
type Replica struct {
	Loaded   bool
	Revision uint64
	Resets   int // how often changes were passed over
	Live     map[string]*LiveJob
	ended    map[string]*list.Element
	recency  *list.List // of endedEntry, the most recently used first
	absent   map[string]bool
}

type endedEntry struct {
	id     string
	record records.EndedJob
}

// NewReplica makes an empty copy, which knows nothing until Reset.
func NewReplica() *Replica {
	return &Replica{Live: map[string]*LiveJob{}, ended: map[string]*list.Element{}, recency: list.New(), absent: map[string]bool{}}
}

// Reset replaces the live jobs by a full read made at epoch. Ended jobs stay:
// their state never changes.
func (r *Replica) Reset(items []wire.KeyValue, epoch uint64) (bad []string) {
	//mutation:reset-clears-absences
	clear(r.absent) // changes were passed over
	r.Resets++
	r.Live = make(map[string]*LiveJob, len(items))
	for _, item := range items {
		record, err := records.DecodeJob(item)
		if err != nil {
			bad = append(bad, item.Key)
			continue
		}
		r.Live[record.Job.ID] = &LiveJob{Record: record, ModRevision: item.ModRevision}
	}
	r.Revision, r.Loaded = epoch, true
	return bad
}

// JobChange names a job that a change touched.
type JobChange struct {
	ID   string
	Live *LiveJob // nil if the job is no longer live
}

// Apply brings the copy up to date. Entries at or before the copy's epoch were
// applied before, by another answer that overtook this one.
func (r *Replica) Apply(changes wire.WatchReply) (touched []JobChange, bad []string) {
	for _, entry := range changes.Events {
		//mutation:change-order
		if entry.ModRevision <= r.Revision {
			continue
		}
		switch {
		case strings.HasPrefix(entry.Set, records.LiveJobPrefix):
			record, err := records.DecodeJob(wire.KeyValue{Key: entry.Set, Value: entry.Value, ModRevision: entry.ModRevision})
			if err != nil {
				bad = append(bad, entry.Set)
				continue
			}
			live := &LiveJob{Record: record, ModRevision: entry.ModRevision}
			r.Live[record.Job.ID] = live
			delete(r.absent, record.Job.ID)
			touched = append(touched, JobChange{record.Job.ID, live})
		case strings.HasPrefix(entry.Set, records.EndedJobPrefix):
			var record records.EndedJob
			if err := wire.Unmarshal(entry.Value, &record); err != nil {
				bad = append(bad, entry.Set)
				continue
			}
			r.RememberEnded(records.IDFromKey(records.EndedJobPrefix, entry.Set), record)
		case strings.HasPrefix(entry.Delete, records.LiveJobPrefix):
			id := records.IDFromKey(records.LiveJobPrefix, entry.Delete)
			delete(r.Live, id)
			touched = append(touched, JobChange{id, nil})
		}
	}
	r.Revision = max(r.Revision, changes.Revision)
	return touched, bad
}

// NoteAbsent notes that there is no ended job of the id, by a read sent after the copy
// was brought up to date, and not reset since: what a reset passed over may have been the
// job's whole life. Until a change makes one, neither is there a live one.
func (r *Replica) NoteAbsent(id string) {
	if len(r.absent) >= tuning.MaxCachedEndedJobs {
		clear(r.absent)
	}
	if _, ended := r.ended[id]; !ended && r.Live[id] == nil {
		r.absent[id] = true
	}
}

// Absent reports whether there is no job of the id, as of the copy's epoch.
func (r *Replica) Absent(id string) bool { return r.absent[id] }

// RememberEnded notes how a job ended.
func (r *Replica) RememberEnded(id string, record records.EndedJob) {
	delete(r.absent, id)
	if element, ok := r.ended[id]; ok {
		r.recency.MoveToFront(element)
		return
	}
	r.ended[id] = r.recency.PushFront(endedEntry{id, record})
	for r.recency.Len() > tuning.MaxCachedEndedJobs {
		element := r.recency.Back()
		delete(r.ended, element.Value.(endedEntry).id)
		r.recency.Remove(element)
	}
}

// Ended tells how a job ended, if that is remembered.
func (r *Replica) Ended(id string) (records.EndedJob, bool) {
	element, ok := r.ended[id]
	if !ok {
		return records.EndedJob{}, false
	}
	r.recency.MoveToFront(element)
	return element.Value.(endedEntry).record, true
}
