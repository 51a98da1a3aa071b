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
	cancellationWatermark time.Duration // cancelled: as of when we knew all cancellations before this one
	archived              bool          // its live record is gone: it has ended

	active          map[int][]*attempt
	unsavedAttempts map[int]*attempt // completed attempts whose done bit is not durable yet

	activeCount  int // distinct indices with attempts
	runningCount int

	placedOnce bool // some task of it has been placed in this term

	recovered bool // from a time before our term

	progress jobProgress
	write    jobWriteState
	indices  taskIndices
	retry    retryState
	waiting  waitState
	headroom headroomCheck
	plan     deadlinePlan
	runtimes observedRuntimes
	standing jobStanding
}

func (j *job) pendingTasks() int {
	if j.cancelled || j.archived {
		return 0
	}
	return j.spec.Tasks - j.progress.doneCount - j.activeCount
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
	for len(j.indices.freed) > 0 {
		i := j.indices.freed[len(j.indices.freed)-1]
		j.indices.freed = j.indices.freed[:len(j.indices.freed)-1]
		if !j.progress.done.Has(i) && len(j.active[i]) == 0 {
			return i, true
		}
	}
	for j.indices.next < j.spec.Tasks {
		i := j.indices.next
		j.indices.next++
		if !j.progress.done.Has(i) && len(j.active[i]) == 0 {
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
		progress:  jobProgress{done: records.NewBitmap(record.Job.Tasks), saved: records.NewBitmap(record.Job.Tasks)},
		active:    map[int][]*attempt{}, write: jobWriteState{chunkRevisions: map[int]uint64{}},
		retry: retryState{failedMachines: map[string]bool{}},
	}
	// The job's age by the time of day, moved onto our steady clock.
	j.createdAt = s.now.Mono - time.Duration(max(0, s.now.Wall-record.Job.CreatedAtMilli))*time.Millisecond
	j.plan.deadlines = s.settings.Objectives[j.spec.Class].deadlinesOf(&j.spec)
	s.mergeDoneBits(j, 0, record.Done)
	s.cluster.jobs[j.id] = j
	return j
}

func (s *Scheduler) mergeDoneBits(j *job, chunk int, encoded string) {
	if encoded == "" {
		return
	}
	if err := j.progress.saved.MergeChunk(chunk, encoded); err != nil {
		s.log(false, "job record has a bad bitmap", "job", j.id, "err", err.Error())
		return
	}
	_ = j.progress.done.MergeChunk(chunk, encoded) // as long as saved, which took it
	j.progress.doneCount, j.progress.savedCount = j.progress.done.Count(), j.progress.saved.Count()
}

func (s *Scheduler) addDoneBits(item wire.KeyValue) {
	var record records.BitmapChunk
	id, chunk, ok := wire.ParseTaskName(records.IDFromKey(records.BitmapPrefix, item.Key))
	if !ok || wire.Unmarshal(item.Value, &record) != nil {
		return
	}
	j := s.cluster.jobs[id]
	if j == nil {
		s.persister.obsoleteKeys = append(s.persister.obsoleteKeys, item.Key) // left by a job that has ended
		return
	}
	j.write.chunkRevisions[chunk] = item.ModRevision
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
		delete(s.cluster.jobs, j.id)
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
	if j.write.dirtyAt == 0 {
		j.write.dirtyAt = s.now.Mono
		s.persister.dirtyJobs[j] = true
	}
}

// markClean notes that there is not.
func (s *Scheduler) markClean(j *job) {
	j.write.dirtyAt = 0
	delete(s.persister.dirtyJobs, j)
}

// jobProgress has the tasks that are done. Those in saved are durably so, and in done too.
type jobProgress struct {
	done, saved           records.Bitmap
	doneCount, savedCount int
}

// jobWriteState is that of the writes of a job's records.
type jobWriteState struct {
	dirtyAt        time.Duration // since when there is something to write; 0: there is not
	inFlight       bool
	blockedUntil   time.Duration
	chunkRevisions map[int]uint64 // mod revisions of further bitmap chunks
}

// taskIndices hands out indices of tasks to place.
type taskIndices struct {
	freed []int // of attempts that have ended
	next  int   // indices below it have been handed out at least once
}

// retryState is that of a job's failed attempts.
type retryState struct {
	failures         int // in a row
	longestFailedRun time.Duration
	failedMachines   map[string]bool
	at               time.Duration // no placement before then
}

// waitState says since when and why tasks of a job wait.
type waitState struct {
	since time.Duration // since when a task waits; 0: none does
	// fetchSlotSince is since when it has waited for machines with capacity to fetch
	// other images; 0: it does not.
	fetchSlotSince    time.Duration
	preemptionTriedAt time.Duration
	reason            WaitReason
}

// headroomCheck remembers whether there was capacity for a task of the job.
type headroomCheck struct {
	checkedAt time.Duration // 0: never
	available bool
}

// deadlinePlan has a job's deadlines, and those that it can still meet by the last round.
type deadlinePlan struct {
	deadlines []float64 // in seconds from the submission, see Objective.deadlinesOf
	feasible  int       // the first of them that can be met; their number: none
	slackS    float64   // seconds until that one
}

// observedRuntimes sums up how long tasks ran that were followed from start to completion.
type observedRuntimes struct {
	completed int
	totalS    float64
}

// jobStanding is what the last round found about a job's place in the queue.
type jobStanding struct {
	established     bool // a task of it has run for long enough to stay; never reset
	starved         bool // nothing of it has been established for long
	prioritized     bool // starved, and its first tasks go ahead of others
	aged            bool // has missed all its deadlines, long ago
	withinGuarantee bool // inside its team's guarantee
}
