package scheduler

import (
	"sort"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/wire"
)

type job struct {
	id          string
	spec        wire.Job
	modRevision uint64
	createdAt   time.Duration // Mono; may be negative
	service     bool
	rank        int

	cancelled             bool
	cancellationWatermark time.Duration  // cancelled: as of when we knew all cancellations before this one
	archived              bool           // its live record is gone: it has ended
	done                  records.Bitmap // known to be done
	saved                 records.Bitmap // durably done
	nDone                 int
	nSaved                int
	dirtyAt               time.Duration
	writing               bool
	blocked               time.Duration  // no write until then
	chunks                map[int]uint64 // stamps of further bitmap chunks

	active          map[int][]*attempt
	unsavedAttempts map[int]*attempt // completed attempts whose done bit is not durable yet
	returned        []int            // indices given back by ended attempts
	cursor          int              // indices below it have been handed out at least once
	activeCount     int              // distinct indices with attempts
	runningCount    int

	failures   int
	failsAfter time.Duration // the longest that a failed attempt ran
	failedOn   map[string]bool
	retryAt    time.Duration
	waitSince  time.Duration // since when a task of it waits; 0: none does
	turnSince  time.Duration // since when it has waited for machines with room to fetch other images; 0: it does not
	dues       []float64     // see Leader.dues
	placedOnce bool          // some task of it has been placed in this term
	why        string        // why it waits, for people

	roomAt    time.Duration // when fitsSomewhere was last asked, and what it said
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

func (j *job) pendingTasks() int {
	if j.cancelled || j.archived {
		return 0
	}
	return j.spec.Tasks - j.nDone - j.activeCount
}

func (j *job) sortedAttempts() []*attempt {
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

// takeFreeIndex takes an index of the job that neither is done nor has an attempt.
func (j *job) takeFreeIndex() (int, bool) {
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

func (s *Scheduler) addJob(live *LiveJob) *job {
	record := live.Record
	j := &job{
		id: record.Job.ID, spec: record.Job, modRevision: live.ModRevision,
		service: record.Job.Service(), rank: wire.PriorityOrder(record.Job.Priority),
		//mutation:recover-cancelled-flag
		cancelled: record.Cancelled,
		done:      records.NewBitmap(record.Job.Tasks), saved: records.NewBitmap(record.Job.Tasks),
		active: map[int][]*attempt{}, chunks: map[int]uint64{}, failedOn: map[string]bool{},
	}
	// The job's age by the time of day, moved onto our steady clock.
	j.createdAt = s.now.Mono - time.Duration(max(0, s.now.Wall-record.Job.CreatedAtMilli))*time.Millisecond
	j.dues = s.deadlinesOf(&j.spec)
	s.mergeDoneBits(j, 0, record.Done)
	s.jobs[j.id] = j
	return j
}

func (s *Scheduler) mergeDoneBits(j *job, chunk int, encoded string) {
	if encoded == "" {
		return
	}
	if err := j.saved.MergeChunk(chunk, encoded); err != nil {
		s.log(false, "job record has a bad bitmap", "job", j.id, "err", err.Error())
		return
	}
	_ = j.done.MergeChunk(chunk, encoded) // as long as saved, which took it
	j.nDone, j.nSaved = j.done.Count(), j.saved.Count()
}

func (s *Scheduler) addDoneBits(item wire.KeyValue) {
	var record records.BitmapChunk
	id, chunk, ok := wire.ParseTaskName(records.IDFromKey(records.BitmapPrefix, item.Key))
	if !ok || wire.Unmarshal(item.Value, &record) != nil {
		return
	}
	j := s.jobs[id]
	if j == nil {
		s.obsoleteKeys = append(s.obsoleteKeys, item.Key) // left by a job that has ended
		return
	}
	j.chunks[chunk] = item.ModRevision
	s.mergeDoneBits(j, chunk, record.Done)
}

// archiveJob takes note that a job's live record is gone: it has ended. Attempts
// that are still about are stopped, and count against their machine and team
// until they are proven gone.
func (s *Scheduler) archiveJob(j *job) {
	j.archived = true
	s.dropSavedAssignments(j)
	for _, a := range j.sortedAttempts() {
		s.stopAttempt(a, false, "the job is over")
	}
	if j.activeCount == 0 {
		delete(s.jobs, j.id)
	}
}

// markDirtyIfComplete marks a job as due for its last write once nothing of it is left.
func (s *Scheduler) markDirtyIfComplete(j *job) {
	if j.readyToArchive() {
		s.markDirty(j)
	}
}

// markDirty notes that there is something of the job to write.
func (s *Scheduler) markDirty(j *job) {
	if j.dirtyAt == 0 {
		j.dirtyAt = s.now.Mono
		s.dirtyJobs[j] = true
	}
}

// markClean notes that there is not.
func (s *Scheduler) markClean(j *job) {
	j.dirtyAt = 0
	delete(s.dirtyJobs, j)
}
