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

// jobWrite is the write of one job in a transaction, either of its end or of its progress.
type jobWrite struct {
	job            *job
	ended          bool           // the job's end is written, not its progress
	doneBits       records.Bitmap // the done tasks when the transaction was made
	wroteJobRecord bool           // the job record with the first bitmap chunk is written
	chunks         []int          // chunks of the bitmap that are written under keys of their own
}

// recordCount returns the number of records that the write can be divided into. The end of a job is
// indivisible.
func (w *jobWrite) recordCount() int {
	count := len(w.chunks)
	if w.wroteJobRecord || w.ended {
		count++
	}
	return count
}

// rejection returns the delay after rejections of such writes of the job.
func (w *jobWrite) rejection() *rejectionBackoff {
	if w.ended {
		return &w.job.write.rejectedEnd
	}
	return &w.job.write.rejectedProgress
}

// markDirty marks a job as having unsaved changes.
func (p *persister) markDirty(j *job) {
	if j.write.dirtySince == 0 {
		j.write.dirtySince = p.now.Mono
		p.dirtyJobs[j] = true
	}
}

// markDirtyIfReadyToArchive schedules the write of the job's end once it may be written.
func (p *persister) markDirtyIfReadyToArchive(j *job) {
	if j.readyToArchive() {
		p.markDirty(j)
	}
}

// markClean marks a job as having no unsaved changes.
func (p *persister) markClean(j *job) {
	j.write.dirtySince = 0
	delete(p.dirtyJobs, j)
}

// jobsDueForWrite returns the jobs whose changes have been unsaved for at least minAge, the
// oldest changes first.
func (p *persister) jobsDueForWrite(minAge time.Duration) []*job {
	var due []*job
	for j := range p.dirtyJobs {
		if j.write.dirtySince > 0 && !j.write.inFlight && !j.archived && p.now.Mono >= j.write.blockedUntil && p.now.Mono-j.write.dirtySince >= minAge {
			due = append(due, j)
		}
	}
	slices.SortFunc(due, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.write.dirtySince, b.write.dirtySince), strings.Compare(a.id, b.id))
	})
	return due
}

// readyToArchive reports whether the end of the job may be written. A cancelled job stays live
// until all its attempts are gone: a later leader knows only from live jobs which team's quota
// an attempt counts against.
func (j *job) readyToArchive() bool {
	//mutation:cancelled-job-outlives-attempts
	return j.progress.doneCount == j.spec.Tasks || j.cancelled && j.activeCount == 0
}

// endState returns the final state of the job.
func (j *job) endState() string {
	if j.cancelled {
		return wire.JobCancelled
	}
	return wire.JobDone
}

// endedRecord returns the permanent record of the job's end and its size in JSON. The record omits
// the class, which is only for people, if it would take more than maxBytes.
func (j *job) endedRecord(maxBytes int) (record records.EndedJob, bytes int) {
	record = records.EndedJob{State: j.endState(), Done: j.progress.doneCount, Tasks: j.spec.Tasks, Class: j.spec.Class}
	bytes = wire.JSONSize(record)
	if bytes > maxBytes {
		//mutation:ended-record-without-class
		record.Class = ""
		bytes = wire.JSONSize(record)
	}
	return record, bytes
}

// addEndedJobs writes the ends of jobs that are ready to be archived.
func (p *persister) addEndedJobs(t *transaction) {
	for _, j := range p.jobsDueForWrite(0) {
		if p.now.Mono < j.write.rejectedEnd.until {
			continue
		}
		//mutation:end-waits-for-unreadable-records
		if !j.readyToArchive() || j.cancelled && p.mayBeInUnreadableRecord(j) {
			continue
		}
		endedJob, bytes := j.endedRecord(p.limits.maxRecordBytes())
		if !t.canAdd(2, bytes) {
			return
		}
		//mutation:job-end-conditions
		t.expect(records.JobKey(j.id), j.modRevision)
		t.delete(records.JobKey(j.id))
		t.set(records.EndedJobKey(j.id), endedJob, bytes)
		j.write.inFlight = true
		t.contents.jobWrites = append(t.contents.jobWrites, jobWrite{job: j, ended: true})
	}
}

// progressFlushDelay returns how long done tasks may wait to be written. It grows with the
// number of jobs with unsaved changes, since each job takes a write of its own.
func (p *persister) progressFlushDelay() time.Duration {
	seconds := float64(len(p.dirtyJobs)) / (p.writeRate.perSecond * tuning.ProgressWriteShare)
	return max(tuning.DoneFlushDelay, time.Duration(seconds*float64(time.Second)))
}

// addJobProgress writes the done tasks of unfinished jobs.
func (p *persister) addJobProgress(t *transaction) {
	for _, j := range p.jobsDueForWrite(p.progressFlushDelay()) {
		if j.readyToArchive() || p.now.Mono < j.write.rejectedProgress.until {
			continue
		}
		if t.budgetLeft() < p.writeRate.perSecond*tuning.StartWriteReserve {
			return // the rest of the budget is for starts and ended jobs
		}
		if !j.progress.unsaved() {
			p.markClean(j)
			continue
		}
		write, tooLarge := p.addChangedChunks(t, j)
		if !write.wroteJobRecord && len(write.chunks) == 0 {
			//mutation:too-large-progress-waits
			if !tooLarge {
				return // no room
			}
			p.delayTooLargeProgress(j)
			continue
		}
		j.write.inFlight = true
		t.contents.jobWrites = append(t.contents.jobWrites, write)
	}
}

// addChangedChunks writes the changed chunks of a job's done bitmap, as many as fit. The job's
// next write has the others. tooLarge reports whether a chunk exceeds the limit on values, so that
// it cannot be written at all.
func (p *persister) addChangedChunks(t *transaction, j *job) (write jobWrite, tooLarge bool) {
	write = jobWrite{job: j, doneBits: slices.Clone(j.progress.done)}
	for chunk := range j.progress.done.ChunkCount() {
		bits := j.progress.done.EncodeChunk(chunk)
		if bits == j.progress.saved.EncodeChunk(chunk) {
			continue
		}
		record := j.chunkRecord(chunk, bits, p.limits.maxRecordBytes())
		if record.bytes > p.limits.maxRecordBytes() {
			tooLarge = true
			continue
		}
		if !t.canAdd(1, record.bytes) {
			break
		}
		//mutation:progress-conditions
		t.expect(record.key, record.modRevision)
		t.set(record.key, record.value, record.bytes)
		if record.isJobRecord {
			write.wroteJobRecord = true
		} else {
			write.chunks = append(write.chunks, chunk)
		}
	}
	return write, tooLarge
}

// chunkRecord is the record with a chunk of a job's done bitmap.
type chunkRecord struct {
	key         string
	modRevision uint64 // the stored record's; 0: there is none
	value       any
	bytes       int  // upper bound of the value's size in JSON
	isJobRecord bool // the chunk is part of the job's record
}

// chunkRecord returns the record for a chunk of the job's done bitmap. The first chunk is part of
// the job's record, unless that would be too large with it: then it gets a key of its own, like the
// others.
func (j *job) chunkRecord(chunk int, bits string, maxBytes int) chunkRecord {
	if chunk == 0 {
		record := records.Job{Job: j.spec, Cancelled: j.cancelled, Done: bits}
		//mutation:large-job-record
		if bytes := wire.JSONSize(record); bytes <= maxBytes {
			return chunkRecord{key: records.JobKey(j.id), modRevision: j.modRevision, value: record, bytes: bytes, isJobRecord: true}
		}
	}
	value := records.BitmapChunk{Done: bits}
	return chunkRecord{key: records.BitmapKey(j.id, chunk), modRevision: j.write.chunkRevisions[chunk], value: value, bytes: wire.JSONSize(value)}
}

// delayTooLargeProgress delays the next try to write a job's progress of which no part fits the
// limit on values. Until the job ends its completed tasks stay in their assignment batches.
func (p *persister) delayTooLargeProgress(j *job) {
	delay := j.write.rejectedProgress.extend(p.now.Mono)
	p.logInfo("job's progress exceeds the key-value store's limit on values", "job", j.id,
		"max_value_bytes", p.limits.maxValueBytes, "retry_in_s", delay.Seconds())
}

// handleJobWriteOutcome handles the outcome of a job's write. If its end was written, the
// caller must archive the job.
func (p *persister) handleJobWriteOutcome(write jobWrite, outcome commitOutcome) {
	write.job.write.inFlight = false
	switch {
	case outcome.result != CommitDone:
		p.jobWriteFailed(write, outcome)
	case write.ended:
		p.jobEndWritten(write.job)
	default:
		p.jobProgressWritten(write, outcome.revision)
	}
}

// jobWriteFailed delays the next write of the job. After a conflict or an unknown outcome, the
// watch delivers the job's current record. It doesn't deliver further chunks of the bitmap,
// which only the leader writes: after a conflict there, this leader resigns and the next term
// reads them.
func (p *persister) jobWriteFailed(write jobWrite, outcome commitOutcome) {
	j := write.job
	j.write.blockedUntil = p.now.Mono + tuning.StoreRetryDelay
	if outcome.result == CommitRejected && outcome.alone {
		delay := write.rejection().extend(p.now.Mono)
		p.logInfo("job record rejected by the key-value store", "job", j.id, "ended", write.ended, "retry_in_s", delay.Seconds())
	}
	for _, chunk := range write.chunks {
		if outcome.conflictingKeys[records.BitmapKey(j.id, chunk)] {
			p.effects.Resign = ResignBitmapConflict
		}
	}
}

func (p *persister) jobEndWritten(j *job) {
	for _, chunk := range slices.Sorted(maps.Keys(j.write.chunkRevisions)) {
		p.queueDeletion(records.BitmapKey(j.id, chunk))
	}
	p.logInfo("job ended", "job", j.id, "state", j.endState(), "after_s", (p.now.Mono - j.createdAt).Seconds())
	j.progress.markAllSaved()
	p.markClean(j)
}

func (p *persister) jobProgressWritten(write jobWrite, revision uint64) {
	j := write.job
	j.write.rejectedProgress = rejectionBackoff{}
	chunks := write.chunks
	for _, chunk := range chunks {
		j.write.chunkRevisions[chunk] = revision
	}
	if write.wroteJobRecord {
		j.modRevision = max(j.modRevision, revision)
		chunks = append(chunks, 0)
	}
	j.progress.markSaved(write.doneBits, chunks)
	//mutation:release-saved-attempt
	p.dropSavedAssignments(j)
	p.markClean(j)
	if j.progress.unsaved() || j.readyToArchive() {
		p.markDirty(j)
	}
}
