package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/policy"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/wire"
)

// job is a live job, or an ended one of which attempts may still be on machines.
type job struct {
	id          string
	spec        wire.Job
	modRevision uint64        // of its record
	createdAt   time.Duration // Mono; may be negative
	service     bool
	rank        int // order of its priority, the highest first

	recovered             bool // submitted before this term
	placedOnce            bool // a task of it has been placed in this term
	archived              bool // it has ended: its live record is gone
	cancelled             bool
	cancellationWatermark time.Duration // if cancelled: as of when all cancellations were known before this one

	active          map[int][]*attempt // attached attempts by task index
	activeCount     int                // tasks with attached attempts
	runningCount    int                // attached attempts that run
	unsavedAttempts map[int]*attempt   // completed ones whose done bit is not durable yet

	progress    jobProgress
	write       jobWriteState
	indices     taskIndices
	retry       retryState
	waiting     waitState
	headroom    headroomCheck
	plan        deadlinePlan
	runtimes    observedRuntimes
	queueStatus jobQueueStatus
}

// jobWriteState is that of the writes of a job's records.
type jobWriteState struct {
	dirtySince     time.Duration // since when there is something to write; 0: there is nothing
	inFlight       bool
	blockedUntil   time.Duration
	chunkRevisions map[int]uint64 // mod revisions of further bitmap chunks
}

// taskIndices hands out the indices of tasks to place.
type taskIndices struct {
	freed      []int // of attempts that have ended
	nextUnused int   // indices below it have been handed out at least once
}

// retryState is that of a job's failed attempts.
type retryState struct {
	failures         int // in a row
	longestFailedRun time.Duration
	failedMachines   map[string]bool
	notBefore        time.Duration // no placement before then
}

// maxBackoffDoublings bounds the shift in countFailure: the maximum is reached long before.
const maxBackoffDoublings = 19

// countFailure counts one more failure in a row. The time until the next placement
// doubles with each.
func (r *retryState) countFailure(now time.Duration, settings policy.Settings) {
	delay := settings.MaxErrorBackoff
	if r.failures < maxBackoffDoublings {
		delay = min(delay, settings.ErrorBackoff<<r.failures)
	}
	r.failures++
	r.notBefore = now + delay
}

// waitState says since when and why tasks of a job wait.
type waitState struct {
	since time.Duration // since when a task waits; 0: none does
	// fetchSlotSince is since when all machines with capacity have been fetching other
	// images; 0: they are not.
	fetchSlotSince    time.Duration
	preemptionTriedAt time.Duration
	reason            WaitReason
}

// headroomCheck remembers whether there was capacity for a task of the job.
type headroomCheck struct {
	checkedAt time.Duration // 0: never
	available bool
}

// deadlinePlan has a job's deadlines, and which of them it can still meet by the last
// placement round.
type deadlinePlan struct {
	deadlines []float64 // in seconds from the submission, see Objective.deadlinesOf
	feasible  int       // index of the first that can be met; len(deadlines): none can
	slackS    float64   // seconds until that one
}

// observedRuntimes sums up the run times of tasks that were followed from start to
// completion.
type observedRuntimes struct {
	completed int
	totalS    float64
}

// jobQueueStatus is what the last placement round found about a job's place in the queue.
type jobQueueStatus struct {
	established     bool // a task of it has run for long enough to stay; never reset
	starved         bool // nothing of it has been established for long
	prioritized     bool // starved, and its first tasks are placed ahead of others
	aged            bool // it missed all its deadlines, long ago
	withinGuarantee bool // it fits in its team's quota guarantee
}

// addJob adds a live job that this term did not know of.
func (c *clusterState) addJob(live *LiveJob) *job {
	record := live.Record
	j := &job{
		id: record.Job.ID, spec: record.Job, modRevision: live.ModRevision,
		service: record.Job.Service(), rank: wire.PriorityOrder(record.Job.Priority),
		//mutation:recover-cancelled-flag
		cancelled: record.Cancelled,
		progress:  newJobProgress(record.Job.Tasks),
		active:    map[int][]*attempt{}, write: jobWriteState{chunkRevisions: map[int]uint64{}},
		retry: retryState{failedMachines: map[string]bool{}},
	}
	// Its age is known by the time of day; the clock of the process is a steady one.
	j.createdAt = c.now.Mono - time.Duration(max(0, c.now.Wall-record.Job.CreatedAtMilli))*time.Millisecond
	j.plan.deadlines = c.settings.Objectives[j.spec.Class].deadlinesOf(&j.spec)
	c.mergeDoneBits(j, 0, record.Done)
	c.jobs[j.id] = j
	return j
}

// mergeDoneBits takes a chunk of done bits from a stored record.
func (c *clusterState) mergeDoneBits(j *job, chunk int, encoded string) {
	if encoded == "" {
		return
	}
	if err := j.progress.mergeSaved(chunk, encoded); err != nil {
		c.logInfo("invalid done bitmap in a job record", "job", j.id, "err", err.Error())
	}
}

// restoreDoneBits takes a stored record of further done bits.
func (s *Scheduler) restoreDoneBits(item wire.KeyValue) {
	var record records.BitmapChunk
	id, chunk, ok := wire.ParseTaskName(records.IDFromKey(records.BitmapPrefix, item.Key))
	if !ok || wire.Unmarshal(item.Value, &record) != nil {
		return
	}
	j := s.cluster.jobs[id]
	if j == nil {
		s.persister.deleteLater(item.Key) // left over from a job that has ended
		return
	}
	j.write.chunkRevisions[chunk] = item.ModRevision
	s.cluster.mergeDoneBits(j, chunk, record.Done)
}

// archiveJob takes note that a job has ended: its live record is gone. Attempts that
// may still be on machines are stopped, and count against their machine and team until
// they are proven to be gone.
func (s *Scheduler) archiveJob(j *job) {
	j.archived = true
	s.persister.dropSavedAssignments(j)
	for _, a := range j.sortedAttempts() {
		s.stopNow(a, StopJobEnded)
	}
	if j.activeCount == 0 {
		delete(s.cluster.jobs, j.id)
	}
}

// pendingTasks is how many tasks are neither done nor have an attempt.
func (j *job) pendingTasks() int {
	if j.cancelled || j.archived {
		return 0
	}
	return j.spec.Tasks - j.progress.doneCount - j.activeCount
}

// sortedAttempts gives the job's attached attempts in a fixed order.
func (j *job) sortedAttempts() []*attempt {
	var list []*attempt
	for _, attempts := range j.active {
		list = append(list, attempts...)
	}
	slices.SortFunc(list, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.ref.index, b.ref.index), cmp.Compare(a.number, b.number))
	})
	return list
}

// addActive counts an attempt as one of its task.
func (j *job) addActive(a *attempt) {
	index := a.ref.index
	if len(j.active[index]) == 0 {
		j.activeCount++
	}
	j.active[index] = append(j.active[index], a)
}

// removeActive takes back what addActive has counted. With the last attempt of a task,
// the task's index is free to be placed again.
func (j *job) removeActive(a *attempt) {
	if a.state == wire.TaskRunning {
		j.runningCount--
	}
	index := a.ref.index
	rest := j.active[index]
	if position := slices.Index(rest, a); position >= 0 {
		rest = slices.Concat(rest[:position], rest[position+1:])
	}
	if len(rest) > 0 {
		j.active[index] = rest
		return
	}
	delete(j.active, index)
	j.activeCount--
	if !j.progress.done.Has(index) {
		j.indices.freed = append(j.indices.freed, index)
	}
}

// takeFreeIndex takes the index of a task that neither is done nor has an attempt.
func (j *job) takeFreeIndex() (index int, ok bool) {
	for len(j.indices.freed) > 0 {
		last := len(j.indices.freed) - 1
		index = j.indices.freed[last]
		j.indices.freed = j.indices.freed[:last]
		if j.isFree(index) {
			return index, true
		}
	}
	for j.indices.nextUnused < j.spec.Tasks {
		index = j.indices.nextUnused
		j.indices.nextUnused++
		if j.isFree(index) {
			return index, true
		}
	}
	return 0, false
}

func (j *job) isFree(index int) bool {
	return !j.progress.done.Has(index) && len(j.active[index]) == 0
}
