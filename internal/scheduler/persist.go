package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// persistState has what is written or has to be: assignment batches, jobs' progress and
// deletions, within the write budget.
type persistState struct {
	inFlight          map[uint64]*transactionContents
	batches           map[string]*assignmentBatch
	unrecorded        []*attempt    // to be written with the next batch
	nextBatchAt       time.Duration // no batch before then
	dirtyJobs         map[*job]bool // with something to write
	unreadableRecords []string      // keys of records that could not be decoded
	obsoleteKeys      []string      // keys to delete when there is time
	writeBudget       float64       // changes that may be written now
	refilledAt        time.Duration
	blockedUntil      time.Duration // no writes until then: the key-value store refused one
}

// maxTransactionsInFlight is how many of the leader's transactions may be out at once; they
// never share a key.
const maxTransactionsInFlight = 4

// transaction gathers one transaction of the leader.
type transaction struct {
	request  wire.Txn
	contents transactionContents
	bytes    int
}

func (s *Scheduler) newTransaction(leaderRevision uint64) *transaction {
	//mutation:transaction-needs-leadership
	return &transaction{request: wire.Txn{If: []wire.Compare{{Key: records.LeaderKey, ModRevision: leaderRevision}}}}
}

// canAddChanges reports whether the transaction can take n more changes.
func (s *Scheduler) canAddChanges(t *transaction, n int) bool {
	//mutation:write-budget
	return len(t.request.Then)+n <= s.settings.MaxTransactionOps && t.bytes < tuning.MaxTxnBytes &&
		float64(len(t.request.Then)+n) <= s.persister.writeBudget
}

func (s *Scheduler) refillWriteBudget() {
	rate := s.settings.WriteRate * tuning.StoreWriteRateShare
	s.persister.writeBudget = min(max(rate, float64(s.settings.MaxTransactionOps)), s.persister.writeBudget+(s.now.Mono-s.persister.refilledAt).Seconds()*rate)
	s.persister.refilledAt = s.now.Mono
}

// flush writes what is due, the most urgent first: starts that wait for their record,
// ended jobs, then what can wait.
func (s *Scheduler) flush() {
	s.refillWriteBudget()
	for len(s.persister.inFlight) < maxTransactionsInFlight && s.now.Mono >= s.persister.blockedUntil {
		t := s.newTransaction(s.term)
		// Batches are spaced, and one change has dozens of starts where an end takes
		// two: a swarm of small jobs that end would keep all starts waiting.
		s.addAssignmentBatches(t)
		s.addEndedJobs(t)
		s.addJobProgress(t)
		s.addDeletions(t)
		if len(t.request.Then) == 0 {
			return
		}
		s.persister.writeBudget -= float64(len(t.request.Then))
		s.nextEffectID++
		s.persister.inFlight[s.nextEffectID] = &t.contents
		s.effects.Commits = append(s.effects.Commits, Commit{ID: s.nextEffectID, Txn: t.request})
	}
}

func (s *Scheduler) jobsDueForWrite(minAge time.Duration) []*job {
	var due []*job
	for j := range s.persister.dirtyJobs {
		if j.write.dirtyAt > 0 && !j.write.inFlight && !j.archived && s.now.Mono >= j.write.blockedUntil && s.now.Mono-j.write.dirtyAt >= minAge {
			due = append(due, j)
		}
	}
	slices.SortFunc(due, func(a, b *job) int {
		if c := cmp.Compare(a.write.dirtyAt, b.write.dirtyAt); c != 0 {
			return c
		}
		return strings.Compare(a.id, b.id)
	})
	return due
}

// readyToArchive reports whether the job's end may be written. A cancelled one stays live until
// nothing of it may be about: of what no live job has, a later leader would not know
// whose limit it counts for.
func (j *job) readyToArchive() bool {
	//mutation:cancelled-job-outlives-attempts
	return j.progress.doneCount == j.spec.Tasks || j.cancelled && j.activeCount == 0
}

func (s *Scheduler) addEndedJobs(t *transaction) {
	for _, j := range s.jobsDueForWrite(0) {
		//mutation:end-waits-for-unreadable-records
		if !j.readyToArchive() || j.cancelled && s.mayBeInUnreadableRecord(j) {
			continue
		}
		if !s.canAddChanges(t, 2) {
			return
		}
		state := wire.JobDone
		if j.cancelled {
			state = wire.JobCancelled
		}
		//mutation:job-end-conditions
		t.request.If = append(t.request.If, wire.Compare{Key: records.JobKey(j.id), ModRevision: j.modRevision})
		t.request.Then = append(t.request.Then,
			wire.Op{Delete: records.JobKey(j.id)},
			wire.Op{Set: records.EndedJobKey(j.id), Value: records.EndedJob{State: state, Done: j.progress.doneCount, Tasks: j.spec.Tasks, Class: j.spec.Class}})
		t.bytes += 400
		j.write.inFlight = true
		t.contents.jobWrites = append(t.contents.jobWrites, jobWrite{job: j, ended: true})
	}
}

// progressFlushDelay is how long done tasks wait for their write: longer where many jobs
// have some, since each job's write is one of its own.
func (s *Scheduler) progressFlushDelay() time.Duration {
	return max(tuning.DoneFlushDelay, time.Duration(float64(len(s.persister.dirtyJobs))/(s.settings.WriteRate*tuning.ProgressWriteShare)*float64(time.Second)))
}

// addJobProgress writes done tasks of unfinished jobs.
func (s *Scheduler) addJobProgress(t *transaction) {
	for _, j := range s.jobsDueForWrite(s.progressFlushDelay()) {
		if j.readyToArchive() {
			continue
		}
		if s.persister.writeBudget-float64(len(t.request.Then)) < s.settings.WriteRate*tuning.StartWriteReserve {
			return // starts, and jobs that end, come first
		}
		if j.progress.doneCount == j.progress.savedCount {
			s.markClean(j)
			continue
		}
		write := jobWrite{job: j, doneBits: append(records.Bitmap(nil), j.progress.done...)}
		for k := 0; k < j.progress.done.ChunkCount(); k++ {
			text := j.progress.done.EncodeChunk(k)
			if text == j.progress.saved.EncodeChunk(k) {
				continue
			}
			if !s.canAddChanges(t, 1) {
				break // the rest follows with the next write
			}
			if k == 0 {
				rec := records.Job{Job: j.spec, Cancelled: j.cancelled, Done: text}
				//mutation:progress-conditions
				t.request.If = append(t.request.If, wire.Compare{Key: records.JobKey(j.id), ModRevision: j.modRevision})
				t.request.Then = append(t.request.Then, wire.Op{Set: records.JobKey(j.id), Value: rec})
				write.wroteJobRecord = true
			} else {
				key := records.BitmapKey(j.id, k)
				t.request.If = append(t.request.If, wire.Compare{Key: key, ModRevision: j.write.chunkRevisions[k]})
				t.request.Then = append(t.request.Then, wire.Op{Set: key, Value: records.BitmapChunk{Done: text}})
				write.chunks = append(write.chunks, k)
			}
			t.bytes += len(text) + 800
		}
		if !write.wroteJobRecord && len(write.chunks) == 0 {
			return
		}
		j.write.inFlight = true
		t.contents.jobWrites = append(t.contents.jobWrites, write)
	}
}

// addDeletions deletes batches that nothing needs any more, and the further done
// bits of ended jobs.
func (s *Scheduler) addDeletions(t *transaction) {
	for len(s.persister.obsoleteKeys) > 0 && s.canAddChanges(t, 1) {
		key := s.persister.obsoleteKeys[0]
		s.persister.obsoleteKeys = s.persister.obsoleteKeys[1:]
		t.request.Then = append(t.request.Then, wire.Op{Delete: key})
		t.contents.deletedKeys = append(t.contents.deletedKeys, key)
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
func (s *Scheduler) CommitDone(now Now, id uint64, result CommitResult, revision uint64, failedKeys []string) {
	s.now = now
	commit := s.persister.inFlight[id]
	if commit == nil {
		return
	}
	delete(s.persister.inFlight, id)
	conflicting := map[string]bool{}
	if result == CommitConflict {
		for _, k := range failedKeys {
			conflicting[k] = true
			if k == records.LeaderKey {
				s.effects.Resign = "another leader holds the key"
				return
			}
		}
	}
	if result == CommitRefused || result == CommitUnknown {
		s.persister.blockedUntil = now.Mono + tuning.StoreRetryDelay
	}
	if result != CommitDone {
		s.persister.obsoleteKeys = append(s.persister.obsoleteKeys, commit.deletedKeys...)
	}
	for _, w := range commit.jobWrites {
		s.jobWritten(w, result, revision, conflicting)
	}
	for _, b := range commit.batches {
		s.batchWritten(b, result, conflicting)
	}
	s.flush()
}

func (s *Scheduler) jobWritten(write jobWrite, result CommitResult, revision uint64, conflicting map[string]bool) {
	j := write.job
	j.write.inFlight = false
	if result != CommitDone {
		// After a conflict, or an answer that was lost, the watch brings the
		// record as it is. Chunks are read again by a retry's conflict.
		j.write.blockedUntil = s.now.Mono + tuning.StoreRetryDelay
		for _, k := range write.chunks {
			if conflicting[records.BitmapKey(j.id, k)] {
				s.effects.Resign = "a job's bitmap changed under us"
			}
		}
		return
	}
	if write.ended {
		state := wire.JobDone
		if j.cancelled {
			state = wire.JobCancelled
		}
		for _, k := range slices.Sorted(maps.Keys(j.write.chunkRevisions)) {
			s.persister.obsoleteKeys = append(s.persister.obsoleteKeys, records.BitmapKey(j.id, k))
		}
		s.log(false, "job over", "job", j.id, "state", state, "after_s", (s.now.Mono - j.createdAt).Seconds())
		j.progress.saved = append(records.Bitmap(nil), j.progress.done...)
		j.progress.savedCount = j.progress.doneCount
		s.markClean(j)
		s.archiveJob(j)
		return
	}
	if write.wroteJobRecord {
		j.modRevision = max(j.modRevision, revision)
		_ = j.progress.saved.MergeChunk(0, write.doneBits.EncodeChunk(0))
	}
	for _, k := range write.chunks {
		j.write.chunkRevisions[k] = revision
		_ = j.progress.saved.MergeChunk(k, write.doneBits.EncodeChunk(k))
	}
	j.progress.savedCount = j.progress.saved.Count()
	//mutation:release-saved-attempt
	s.dropSavedAssignments(j)
	s.markClean(j)
	if j.progress.savedCount != j.progress.doneCount || j.readyToArchive() {
		s.markDirty(j)
	}
}
