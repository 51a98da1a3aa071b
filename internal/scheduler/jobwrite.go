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

// Estimates of what records of a job take beside their bitmaps, in bytes.
const (
	endedJobBytes  = 400
	jobRecordBytes = 800
)

// jobWrite is the write of one job that is part of a transaction: its end, or its progress.
type jobWrite struct {
	job            *job
	ended          bool
	doneBits       records.Bitmap // as they were when the write was made
	wroteJobRecord bool           // with the first chunk of the bitmap
	chunks         []int          // further chunks that were written
}

// markDirty notes that there is something of the job to write.
func (p *persister) markDirty(j *job) {
	if j.write.dirtySince == 0 {
		j.write.dirtySince = p.now.Mono
		p.dirtyJobs[j] = true
	}
}

// markDirtyIfComplete has a job's last write made once it is over.
func (p *persister) markDirtyIfComplete(j *job) {
	if j.readyToArchive() {
		p.markDirty(j)
	}
}

// markClean notes that there is nothing of the job to write.
func (p *persister) markClean(j *job) {
	j.write.dirtySince = 0
	delete(p.dirtyJobs, j)
}

// jobsDueForWrite gives the jobs that have had something to write for that long, the longest
// first.
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

// readyToArchive reports whether the job's end may be written. A cancelled job stays live
// until all its attempts are gone: a later leader would not know whose quota the attempts of
// a job count against that is not live.
func (j *job) readyToArchive() bool {
	//mutation:cancelled-job-outlives-attempts
	return j.progress.doneCount == j.spec.Tasks || j.cancelled && j.activeCount == 0
}

// endState is the state in which the job ends.
func (j *job) endState() string {
	if j.cancelled {
		return wire.JobCancelled
	}
	return wire.JobDone
}

// addEndedJobs writes the ends of jobs.
func (p *persister) addEndedJobs(t *transaction) {
	for _, j := range p.jobsDueForWrite(0) {
		//mutation:end-waits-for-unreadable-records
		if !j.readyToArchive() || j.cancelled && p.mayBeInUnreadableRecord(j) {
			continue
		}
		if !t.canAdd(2) {
			return
		}
		//mutation:job-end-conditions
		t.expect(records.JobKey(j.id), j.modRevision)
		t.delete(records.JobKey(j.id))
		end := records.EndedJob{State: j.endState(), Done: j.progress.doneCount, Tasks: j.spec.Tasks, Class: j.spec.Class}
		t.set(records.EndedJobKey(j.id), end, endedJobBytes)
		j.write.inFlight = true
		t.contents.jobWrites = append(t.contents.jobWrites, jobWrite{job: j, ended: true})
	}
}

// progressFlushDelay is how long done tasks wait for their write: longer where many jobs
// have some, since each job's write is one of its own.
func (p *persister) progressFlushDelay() time.Duration {
	seconds := float64(len(p.dirtyJobs)) / (p.settings.WriteRate * tuning.ProgressWriteShare)
	return max(tuning.DoneFlushDelay, time.Duration(seconds*float64(time.Second)))
}

// addJobProgress writes the done tasks of unfinished jobs.
func (p *persister) addJobProgress(t *transaction) {
	for _, j := range p.jobsDueForWrite(p.progressFlushDelay()) {
		if j.readyToArchive() {
			continue
		}
		if t.budgetLeft() < p.settings.WriteRate*tuning.StartWriteReserve {
			return // starts, and jobs that end, come first
		}
		if !j.progress.unsaved() {
			p.markClean(j)
			continue
		}
		write := t.addProgressOf(j)
		if !write.wroteJobRecord && len(write.chunks) == 0 {
			return
		}
		j.write.inFlight = true
		t.contents.jobWrites = append(t.contents.jobWrites, write)
	}
}

// addProgressOf writes the chunks of a job's bitmap that have changed, as many as fit; the
// others follow with the next write.
func (t *transaction) addProgressOf(j *job) jobWrite {
	write := jobWrite{job: j, doneBits: slices.Clone(j.progress.done)}
	for chunk := range j.progress.done.ChunkCount() {
		bits := j.progress.done.EncodeChunk(chunk)
		if bits == j.progress.saved.EncodeChunk(chunk) {
			continue
		}
		if !t.canAdd(1) {
			break
		}
		if chunk == 0 {
			record := records.Job{Job: j.spec, Cancelled: j.cancelled, Done: bits}
			//mutation:progress-conditions
			t.expect(records.JobKey(j.id), j.modRevision)
			t.set(records.JobKey(j.id), record, len(bits)+jobRecordBytes)
			write.wroteJobRecord = true
		} else {
			key := records.BitmapKey(j.id, chunk)
			t.expect(key, j.write.chunkRevisions[chunk])
			t.set(key, records.BitmapChunk{Done: bits}, len(bits)+jobRecordBytes)
			write.chunks = append(write.chunks, chunk)
		}
	}
	return write
}

// jobWritten takes the outcome of a job's write. A job whose end is stored is to be archived.
func (p *persister) jobWritten(write jobWrite, outcome commitOutcome) {
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

// jobWriteFailed puts the write off. After a conflict, or when the outcome is unknown, the
// watch brings the job's record as it is. No watch brings further chunks of the bitmap, which
// only the leader writes: a conflict there ends the term, and the next one reads them.
func (p *persister) jobWriteFailed(write jobWrite, outcome commitOutcome) {
	j := write.job
	j.write.blockedUntil = p.now.Mono + tuning.StoreRetryDelay
	for _, chunk := range write.chunks {
		if outcome.conflicting[records.BitmapKey(j.id, chunk)] {
			p.effects.Resign = ResignBitmapConflict
		}
	}
}

func (p *persister) jobEndWritten(j *job) {
	for _, chunk := range slices.Sorted(maps.Keys(j.write.chunkRevisions)) {
		p.deleteLater(records.BitmapKey(j.id, chunk))
	}
	p.logInfo("job ended", "job", j.id, "state", j.endState(), "after_s", (p.now.Mono - j.createdAt).Seconds())
	j.progress.markAllSaved()
	p.markClean(j)
}

func (p *persister) jobProgressWritten(write jobWrite, revision uint64) {
	j := write.job
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
