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

// Replica is a controller's copy of the jobs in the key-value store: all live jobs, and
// as many of the ended ones as fit. It says what was true at Revision, and is brought up
// to date by watch replies.
type Replica struct {
	Loaded   bool
	Revision uint64
	Resets   int // how often changes were skipped by a full read
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

// Reset replaces the live jobs by a full read made at a revision. Ended jobs stay: their
// records never change. It returns the keys of records that cannot be decoded.
func (r *Replica) Reset(items []wire.KeyValue, revision uint64) (bad []string) {
	//mutation:reset-clears-absences
	clear(r.absent) // the changes that were skipped may have made such a job
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
	r.Revision, r.Loaded = revision, true
	return bad
}

// JobChange names a job that a change touched.
type JobChange struct {
	ID   string
	Live *LiveJob // nil if the job is no longer live
}

// Apply brings the copy up to date. Events at or before the copy's revision were applied
// before, from another reply that overtook this one. It returns the live jobs that were
// touched, and the keys of records that cannot be decoded.
func (r *Replica) Apply(reply wire.WatchReply) (touched []JobChange, bad []string) {
	for _, event := range reply.Events {
		//mutation:change-order
		if event.ModRevision <= r.Revision {
			continue
		}
		switch {
		case strings.HasPrefix(event.Set, records.LiveJobPrefix):
			change, err := r.applyLiveJob(wire.KeyValue{Key: event.Set, Value: event.Value, ModRevision: event.ModRevision})
			if err != nil {
				bad = append(bad, event.Set)
				continue
			}
			touched = append(touched, change)
		case strings.HasPrefix(event.Set, records.EndedJobPrefix):
			var record records.EndedJob
			if err := wire.Unmarshal(event.Value, &record); err != nil {
				bad = append(bad, event.Set)
				continue
			}
			r.RememberEnded(records.IDFromKey(records.EndedJobPrefix, event.Set), record)
		case strings.HasPrefix(event.Delete, records.LiveJobPrefix):
			id := records.IDFromKey(records.LiveJobPrefix, event.Delete)
			delete(r.Live, id)
			touched = append(touched, JobChange{id, nil})
		}
	}
	r.Revision = max(r.Revision, reply.Revision)
	return touched, bad
}

func (r *Replica) applyLiveJob(item wire.KeyValue) (JobChange, error) {
	record, err := records.DecodeJob(item)
	if err != nil {
		return JobChange{}, err
	}
	live := &LiveJob{Record: record, ModRevision: item.ModRevision}
	r.Live[record.Job.ID] = live
	delete(r.absent, record.Job.ID)
	return JobChange{record.Job.ID, live}, nil
}

// NoteAbsent notes that there is no ended job of the id, by a read that was sent after
// the copy was brought up to date, with no reset since: the changes that a reset skips may
// have been the job's whole life. Until a change makes one, there is no live one either.
func (r *Replica) NoteAbsent(id string) {
	if len(r.absent) >= tuning.MaxCachedEndedJobs {
		clear(r.absent)
	}
	if _, ended := r.ended[id]; !ended && r.Live[id] == nil {
		r.absent[id] = true
	}
}

// Absent reports whether there is no job of the id, as of the copy's revision.
func (r *Replica) Absent(id string) bool { return r.absent[id] }

// RememberEnded notes how a job ended. The least recently used one is forgotten when
// there are too many.
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
