package scheduler

import (
	"container/list"
	"strings"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// LiveJob is the record of a live job as last read or watched.
type LiveJob struct {
	Record      *records.Job
	ModRevision uint64
}

// Replica is a controller's copy of the jobs in the key-value store: all live jobs, and a cache
// of ended jobs. It reflects the store at Revision, and watch replies bring it up to date.
type Replica struct {
	Loaded   bool
	Revision uint64
	Resets   int // number of full reads; each skips the changes since the last watch reply
	Live     map[string]*LiveJob
	ended    map[string]*list.Element // cached ended jobs: elements of recency, by job ID
	recency  *list.List               // list of endedEntry, most recently used first
	absent   map[string]bool          // IDs of jobs that don't exist
}

// EndedJob is the record of an ended job as last read or watched.
type EndedJob struct {
	Record      records.EndedJob
	ModRevision uint64
}

// endedEntry is a cached ended job.
type endedEntry struct {
	id string
	EndedJob
}

// NewReplica returns an empty replica, which is not loaded before Reset.
func NewReplica() *Replica {
	return &Replica{Live: map[string]*LiveJob{}, ended: map[string]*list.Element{}, recency: list.New(), absent: map[string]bool{}}
}

// Reset replaces the live jobs by the items of a full read at the given revision. Cached ended
// jobs stay, since their records never change. It returns the keys of records that cannot be
// decoded.
func (r *Replica) Reset(items []wire.KeyValue, revision uint64) (undecodable []string) {
	//mutation:reset-clears-absences
	clear(r.absent) // a job marked absent may have been created by a skipped change
	r.Resets++
	r.Live = make(map[string]*LiveJob, len(items))
	for _, item := range items {
		record, err := records.DecodeJob(item)
		if err != nil {
			undecodable = append(undecodable, item.Key)
			continue
		}
		r.Live[record.Job.ID] = &LiveJob{Record: record, ModRevision: item.ModRevision}
	}
	r.Revision, r.Loaded = revision, true
	return undecodable
}

// JobChange is a change of a live job.
type JobChange struct {
	ID   string
	Live *LiveJob // nil if the job is no longer live
}

// Apply applies the events of a watch reply. It skips events up to Revision: they were already
// covered by a full read, or applied from a later reply that arrived first. It returns the
// changed live jobs, and the keys of records that cannot be decoded.
func (r *Replica) Apply(reply wire.WatchReply) (changed []JobChange, undecodable []string) {
	for _, event := range reply.Events {
		//mutation:change-order
		if event.ModRevision <= r.Revision {
			continue
		}
		switch {
		case strings.HasPrefix(event.Set, records.LiveJobPrefix):
			change, err := r.applyLiveJob(wire.KeyValue{Key: event.Set, Value: event.Value, ModRevision: event.ModRevision})
			if err != nil {
				undecodable = append(undecodable, event.Set)
				continue
			}
			changed = append(changed, change)
		case strings.HasPrefix(event.Set, records.EndedJobPrefix):
			var record records.EndedJob
			if err := wire.Unmarshal(event.Value, &record); err != nil {
				undecodable = append(undecodable, event.Set)
				continue
			}
			r.CacheEnded(records.IDFromKey(records.EndedJobPrefix, event.Set), EndedJob{record, event.ModRevision})
		case strings.HasPrefix(event.Delete, records.LiveJobPrefix):
			id := records.IDFromKey(records.LiveJobPrefix, event.Delete)
			delete(r.Live, id)
			changed = append(changed, JobChange{id, nil})
		}
	}
	r.Revision = max(r.Revision, reply.Revision)
	return changed, undecodable
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

// MarkAbsent caches that no job with the ID exists. The caller must have found no ended job in
// a read that it sent after the replica was brought up to date, and the replica must not have
// been reset since: a reset skips changes, which may include both the creation and the end of
// the job. The replica itself shows whether the job is live, and a later change that creates the
// job clears the mark.
func (r *Replica) MarkAbsent(id string) {
	if len(r.absent) >= tuning.MaxCachedEndedJobs {
		clear(r.absent)
	}
	if _, ended := r.ended[id]; !ended && r.Live[id] == nil {
		r.absent[id] = true
	}
}

// Absent reports whether it is cached that no job with the ID exists, as of Revision.
func (r *Replica) Absent(id string) bool { return r.absent[id] }

// CacheEnded caches how a job ended. The least recently used entry is dropped when the cache is
// full.
func (r *Replica) CacheEnded(id string, ended EndedJob) {
	delete(r.absent, id)
	if element, ok := r.ended[id]; ok {
		r.recency.MoveToFront(element)
		return
	}
	r.ended[id] = r.recency.PushFront(endedEntry{id, ended})
	for r.recency.Len() > tuning.MaxCachedEndedJobs {
		element := r.recency.Back()
		delete(r.ended, element.Value.(endedEntry).id)
		r.recency.Remove(element)
	}
}

// CachedEnded returns how a job ended, if that is cached.
func (r *Replica) CachedEnded(id string) (EndedJob, bool) {
	element, ok := r.ended[id]
	if !ok {
		return EndedJob{}, false
	}
	r.recency.MoveToFront(element)
	return element.Value.(endedEntry).EndedJob, true
}
