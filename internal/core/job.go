package core

import (
	"sort"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/store"
	"github.com/yarrowgap/yarrowgap/wire"
)

type job struct {
	id      string
	spec    wire.Job
	stamp   uint64
	created time.Duration // Mono; may be negative
	service bool
	rank    int

	cancelled bool
	knewAsOf  time.Duration // cancelled: as of when we knew all cancellations before this one
	archived  bool          // its live record is gone: it has ended
	done      store.Bitmap  // known to be done
	saved     store.Bitmap  // durably done
	nDone     int
	nSaved    int
	dirtyAt   time.Duration
	writing   bool
	blocked   time.Duration  // no write until then
	chunks    map[int]uint64 // stamps of further bitmap chunks

	active   map[int][]*attempt
	unsaved  map[int]*attempt // completed attempts whose done bit is not durable yet
	returned []int            // indices given back by ended attempts
	cursor   int              // indices below it have been handed out at least once
	nActive  int              // distinct indices with attempts
	running  int

	failures   int
	failsAfter time.Duration // the longest that a failed attempt ran
	failedOn   map[string]bool
	retryAt    time.Duration
	waitSince  time.Duration // since when a task of it waits; 0: none does
	turnSince  time.Duration // since when it has waited for machines with room to fetch other images; 0: it does not
	dues       []float64     // see Leader.dues
	placedOnce bool          // some task of it has been placed in this term
	why        string        // why it waits, for people

	roomAt    time.Duration // when hasRoom was last asked, and what it said
	room      bool
	preemptAt time.Duration // last time that room was looked for by preemption
	recovered bool          // from a time before our term

	seenRuns int     // tasks seen from their start to their completion
	seenRunS float64 // the time that these ran, in seconds

	hope    int     // which of its deadlines it can still meet, as of the last round
	begun   bool    // some task of it has come to stay
	unbegun bool    // nothing of it has begun for long
	overdue bool    // and it has not got its first tasks yet
	old     bool    // has missed all its deadlines, long ago
	within  bool    // inside its team's guarantee, as of the last round
	slack   float64 // seconds until it is due, as of the last round
}

func (j *job) pending() int {
	if j.cancelled || j.archived {
		return 0
	}
	return j.spec.Tasks - j.nDone - j.nActive
}

func (j *job) attempts() []*attempt {
	var out []*attempt
	for _, list := range j.active {
		out = append(out, list...)
	}
	sort.Slice(out, func(a, b int) bool {
		if out[a].ref.index != out[b].ref.index {
			return out[a].ref.index < out[b].ref.index
		}
		return out[a].number < out[b].number
	})
	return out
}

// nextFree takes an index of the job that neither is done nor has an attempt.
func (j *job) nextFree() (int, bool) {
	for len(j.returned) > 0 {
		i := j.returned[len(j.returned)-1]
		j.returned = j.returned[:len(j.returned)-1]
		if !j.done.Has(i) && len(j.active[i]) == 0 {
			return i, true
		}
	}
	for j.cursor < j.spec.Tasks {
		i := j.cursor
		j.cursor++
		if !j.done.Has(i) && len(j.active[i]) == 0 {
			return i, true
		}
	}
	return 0, false
}

func (l *Leader) addJob(lj *LiveJob) *job {
	rec := lj.Record
	j := &job{
		id: rec.Job.ID, spec: rec.Job, stamp: lj.Stamp,
		service: rec.Job.Service(), rank: wire.RankOrder(rec.Job.Rank),
		//mutation:recover-cancelled-flag
		cancelled: rec.Cancelled,
		done:      store.NewBitmap(rec.Job.Tasks), saved: store.NewBitmap(rec.Job.Tasks),
		active: map[int][]*attempt{}, chunks: map[int]uint64{}, failedOn: map[string]bool{},
	}
	// The job's age by the time of day, moved onto our steady clock.
	j.created = l.now.Mono - time.Duration(max(0, l.now.Wall-rec.Job.CreatedMilli))*time.Millisecond
	j.dues = l.dues(&j.spec)
	l.mergeDone(j, 0, rec.Done)
	l.jobs[j.id] = j
	return j
}

func (l *Leader) mergeDone(j *job, chunk int, s string) {
	if s == "" {
		return
	}
	if err := j.saved.Merge(chunk, s); err != nil {
		l.line(false, "job record has a bad bitmap", "job", j.id, "err", err.Error())
		return
	}
	_ = j.done.Merge(chunk, s) // as long as saved, which took it
	j.nDone, j.nSaved = j.done.Count(), j.saved.Count()
}

func (l *Leader) addBits(it wire.Item) {
	var rec store.BitsRecord
	id, chunk, ok := wire.SplitTask(store.IDOf(store.BitsPrefix, it.Key))
	if !ok || wire.Unmarshal(it.Value, &rec) != nil {
		return
	}
	j := l.jobs[id]
	if j == nil {
		l.obsoleteKeys = append(l.obsoleteKeys, it.Key) // left by a job that has ended
		return
	}
	j.chunks[chunk] = it.Stamp
	l.mergeDone(j, chunk, rec.Done)
}

// dropJob takes note that a job's live record is gone: it has ended. Attempts
// that are still about are stopped, and count against their machine and team
// until they are proven gone.
func (l *Leader) dropJob(j *job) {
	j.archived = true
	l.releaseSaved(j)
	for _, a := range j.attempts() {
		l.stop(a, false, "the job is over")
	}
	if j.nActive == 0 {
		delete(l.jobs, j.id)
	}
}

// finish marks a job as due for its last write once nothing of it is left.
func (l *Leader) finish(j *job) {
	if j.over() {
		l.touch(j)
	}
}

// touch notes that there is something of the job to write.
func (l *Leader) touch(j *job) {
	if j.dirtyAt == 0 {
		j.dirtyAt = l.now.Mono
		l.dirtyJobs[j] = true
	}
}

// clean notes that there is not.
func (l *Leader) clean(j *job) {
	j.dirtyAt = 0
	delete(l.dirtyJobs, j)
}
