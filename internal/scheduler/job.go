package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/policy"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/wire"
)

// job is a live job, or an ended job whose attempts may still be on machines.
type job struct {
	id          string
	spec        wire.Job
	modRevision uint64        // mod revision of its record
	createdAt   time.Duration // in Now.Mono; negative if before the process started
	service     bool
	rank        int // wire.PriorityOrder of its priority; 0 is the highest

	recovered  bool // its record was live when the term started
	placedOnce bool // one of its tasks has been placed in this term
	archived   bool // it has ended: its live record was deleted
	cancelled  bool
	// cancellationWatermark is the cancellation watermark when this leader learned of the job's
	// cancellation: all cancellations before the watermark were known then. It is 0 if the job was
	// already cancelled when it was added.
	cancellationWatermark time.Duration

	active       map[int][]*attempt // attached attempts by task index
	activeCount  int                // tasks with attached attempts
	runningCount int                // attached attempts in state running
	// unsavedAttempts holds completed attempts whose done bits are not durable yet, by task index.
	unsavedAttempts map[int]*attempt

	progress      jobProgress
	write         jobWriteState
	indices       taskIndices
	retry         retryState
	waiting       waitState
	capacityCheck capacityCheck
	plan          deadlinePlan
	runtimes      observedRuntimes
	queueStatus   jobQueueStatus
}

// jobWriteState tracks the writes of a job's records to the key-value store.
type jobWriteState struct {
	dirtySince   time.Duration // when the first unwritten change was made; 0: none
	inFlight     bool          // a transaction with the job's records is in flight
	blockedUntil time.Duration // earliest time of the next write after a failed write
	// rejectedProgress and rejectedEnd delay the next write of the job's progress, or of its end, after
	// the store has rejected one that was alone in its transaction.
	rejectedProgress, rejectedEnd rejectionBackoff
	chunkRevisions                map[int]uint64 // mod revisions of the bitmap chunks under keys of their own, by chunk
}

// taskIndices hands out the indices of tasks to place.
type taskIndices struct {
	freed      []int // indices whose attempts have ended
	nextUnused int   // lowest index that has not been handed out yet
}

// retryState tracks a job's failed attempts and the backoff after them.
type retryState struct {
	consecutiveFailures int             // number of failures since the last successful or long run
	longestFailedRun    time.Duration   // longest run of an attempt that ended with an error
	failedMachines      map[string]bool // names of the machines on which the job's tasks failed
	notBefore           time.Duration   // earliest time of the next placement; 0: no backoff
}

// maxBackoffDoublings keeps the shift in countFailure from overflowing. The maximum backoff is
// reached with far fewer doublings.
const maxBackoffDoublings = 19

// countFailure counts a consecutive failure. The backoff until the next placement doubles with
// each failure, up to the maximum.
func (r *retryState) countFailure(now time.Duration, settings policy.Settings) {
	delay := settings.MaxErrorBackoff
	if r.consecutiveFailures < maxBackoffDoublings {
		delay = min(delay, settings.ErrorBackoff<<r.consecutiveFailures)
	}
	r.consecutiveFailures++
	r.notBefore = now + delay
}

// waitState records why tasks of a job wait for placement, and for how long.
type waitState struct {
	since time.Duration // since when the job has had waiting tasks; 0: it has none
	// fetchSlotWaitSince is when the job began to wait because every machine with capacity is
	// fetching a different image; 0: the job does not wait for a fetch.
	fetchSlotWaitSince time.Duration
	preemptionTriedAt  time.Duration // when preemption was last tried for the job; 0: never
	reason             WaitReason
}

// capacityCheck caches whether any machine had capacity for a task of the job. See
// fitsOnAnyMachineCached.
type capacityCheck struct {
	checkedAt time.Duration // when the capacity was last checked; 0: never
	available bool
}

// deadlinePlan holds a job's deadlines, and the first one that it can still meet according to
// the last placement round.
type deadlinePlan struct {
	deadlines     []float64 // ascending, in seconds after the submission; see Objective.deadlinesFor
	firstFeasible int       // index of the first deadline that can be met; len(deadlines): none
	// slackS is the time until that deadline or, if none can be met, until the last deadline, in
	// seconds; +Inf without deadlines.
	slackS float64
}

// observedRuntimes sums the run times of the tasks that this term observed from start to
// completion.
type observedRuntimes struct {
	completed int     // number of tasks
	totalS    float64 // sum of their run times, in seconds
}

// jobQueueStatus holds the properties that decide a job's position in the placement queue, as
// of the last placement round.
type jobQueueStatus struct {
	established     bool // a task has run for tuning.EstablishedAfter; never reset
	starved         bool // not established after tuning.ArrayStarvationBound; see updateStarvation
	prioritized     bool // starved, and its first tasks are placed ahead of other jobs
	aged            bool // misses all its deadlines and is older than tuning.AgedAfter
	withinGuarantee bool // its tasks fit its team's guaranteed quota
}

// addJob adds a live job that was not known in this term.
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
	// The record has the time of day of the submission; convert it to monotonic time.
	j.createdAt = c.now.Mono - time.Duration(max(0, c.now.Wall-record.Job.CreatedAtMilli))*time.Millisecond
	j.plan.deadlines = c.settings.Objectives[j.spec.Class].deadlinesFor(&j.spec)
	c.mergeDoneBits(j, 0, record.Done)
	c.jobs[j.id] = j
	return j
}

// mergeDoneBits merges a chunk of done bits from a stored record into the job's progress.
func (c *clusterState) mergeDoneBits(j *job, chunk int, encoded string) {
	if encoded == "" {
		return
	}
	if err := j.progress.mergeSaved(chunk, encoded); err != nil {
		c.logInfo("invalid done bitmap in a job record", "job", j.id, "err", err.Error())
	}
}

// restoreDoneBits merges a stored bitmap chunk, which holds done bits outside the job record.
func (s *Scheduler) restoreDoneBits(item wire.KeyValue) {
	var record records.BitmapChunk
	id, chunk, ok := wire.ParseTaskName(records.IDFromKey(records.BitmapPrefix, item.Key))
	if !ok || wire.Unmarshal(item.Value, &record) != nil {
		return
	}
	j := s.cluster.jobs[id]
	if j == nil {
		s.persister.queueDeletion(item.Key) // left over from a job that has ended
		return
	}
	j.write.chunkRevisions[chunk] = item.ModRevision
	s.cluster.mergeDoneBits(j, chunk, record.Done)
}

// archiveJob marks a job as ended after its live record was deleted. Attempts that may still be
// on machines are stopped, and count towards the usage of their machine and team until they are
// proven to be gone.
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

// pendingTasks returns the number of tasks that are not done and have no attempt, or 0 if the job
// is cancelled or archived. A done task with an attempt that is still being stopped is subtracted
// twice, so until the attempt is gone the result is too low and may be negative.
func (j *job) pendingTasks() int {
	if j.cancelled || j.archived {
		return 0
	}
	return j.spec.Tasks - j.progress.doneCount - j.activeCount
}

// sortedAttempts returns the job's attached attempts, sorted by task index and number.
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

// addActive adds an attempt to the attached attempts of its task.
func (j *job) addActive(a *attempt) {
	index := a.ref.index
	if len(j.active[index]) == 0 {
		j.activeCount++
	}
	j.active[index] = append(j.active[index], a)
}

// removeActive reverts addActive. When the last attempt of an unfinished task is removed, the
// task's index becomes available for placement again.
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

// takeFreeIndex returns the index of a task that is not done and has no attempt, and marks the
// index as handed out.
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
