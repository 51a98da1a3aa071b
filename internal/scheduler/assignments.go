package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// assignmentBatch is a stored record of attempts and their machines. A batch is written once
// and deleted when no attempt needs it. Its key is never reused, so a write that is executed
// late can only bring back an old batch, which makes a later leader wait for a heartbeat, and a
// late deletion never removes a record that is still needed. To ensure this, an attempt needs a
// batch until a later batch with the attempt is known to be stored, or until the attempt is gone
// and, if it completed its task, the completion is durable.
type assignmentBatch struct {
	key              string
	neededBy         map[*attempt]bool // attempts without a later record
	attemptCount     int               // number of attempts written
	createdAt        time.Duration
	singleRun        bool // a lower limit would not make the batch smaller
	writeInFlight    bool
	rewriteRequested bool       // see batchesToCompact
	machines         []*machine // all machines that the batch names
}

// trackBatch adds a batch that is stored under the key or about to be written.
func (p *persister) trackBatch(key string) *assignmentBatch {
	b := &assignmentBatch{key: key, neededBy: map[*attempt]bool{}, createdAt: p.now.Mono}
	p.batches[key] = b
	return b
}

// addMachine adds a machine that the batch names.
func (b *assignmentBatch) addMachine(m *machine) {
	b.machines = append(b.machines, m)
	m.batches[b] = true
}

// requestBatchRewrites requests that the batches which name a released machine are rewritten,
// since a new leader would wait for a heartbeat of that machine.
func (p *persister) requestBatchRewrites(m *machine) {
	for b := range m.batches {
		b.rewriteRequested = true
	}
}

// queueAssignment queues an attempt to be written with the next batch.
func (p *persister) queueAssignment(a *attempt) {
	if !a.assignment.queued {
		a.assignment.queued = true
		p.unrecorded = append(p.unrecorded, a)
	}
}

// queueUnrecorded queues the attempts of a batch that are not known to be in any stored batch.
func (p *persister) queueUnrecorded(b *assignmentBatch) {
	for a := range b.neededBy {
		if !a.assignment.durable {
			p.queueAssignment(a)
		}
	}
}

// removeFromBatch removes an attempt that no longer needs the batch.
func (p *persister) removeFromBatch(b *assignmentBatch, a *attempt) {
	delete(b.neededBy, a)
	p.deleteIfUnneeded(b)
}

func (p *persister) deleteIfUnneeded(b *assignmentBatch) {
	if len(b.neededBy) > 0 || b.writeInFlight || p.batches[b.key] != b {
		return
	}
	p.untrackBatch(b)
	p.queueDeletion(b.key)
}

// untrackBatch removes a batch from memory.
func (p *persister) untrackBatch(b *assignmentBatch) {
	delete(p.batches, b.key)
	for _, m := range b.machines {
		delete(m.batches, b)
	}
}

// addAssignmentBatches writes the queued attempts, the highest priority first. Batches are
// spaced in time so that attempts placed between two batches share the later one.
func (p *persister) addAssignmentBatches(t *transaction) {
	if len(p.unrecorded) == 0 || p.now.Mono < p.nextBatchAt || !t.canAdd(1, p.limits.maxBatchBytes()) {
		return
	}
	queue, delayed := p.currentUnrecorded()
	if len(queue) == 0 {
		p.unrecorded = delayed
		return
	}
	slices.SortFunc(queue, compareForRecord)
	for len(queue) > 0 && t.canAdd(1, p.limits.maxBatchBytes()) {
		written := p.addBatch(t, queue)
		if written == 0 {
			break // not reached: the first attempt always fits
		}
		queue = queue[written:]
	}
	p.unrecorded = slices.Concat(queue, delayed)
	p.nextBatchAt = p.now.Mono + time.Duration(float64(time.Second)/(p.writeRate.perSecond*tuning.BatchWriteShare))
}

// currentUnrecorded drops attempts that are gone, and returns the other unrecorded ones: those
// that may be written now, and those whose next try is delayed.
func (p *persister) currentUnrecorded() (queue, delayed []*attempt) {
	for _, a := range p.unrecorded {
		switch {
		case a.machine.tasks[a.ref] != a:
			a.assignment.queued = false
		case p.now.Mono < a.assignment.rejection.until:
			delayed = append(delayed, a)
		default:
			queue = append(queue, a)
		}
	}
	return queue, delayed
}

// Ranks of attempts in the queue that follow the ranks of all job priorities.
const (
	adoptedRecordRank   = 8 // an attempt whose start was sent or whose job is not live
	compactedRecordRank = 9 // an attempt that is written again so that an old batch can be deleted
)

func recordRank(a *attempt) int {
	switch {
	case a.assignment.durable:
		return compactedRecordRank
	case a.job == nil || a.start.sent:
		return adoptedRecordRank
	}
	return a.job.rank
}

// compareForRecord orders attempts by the urgency of their record, then by machine, which makes
// batches smaller.
func compareForRecord(a, b *attempt) int {
	return cmp.Or(
		cmp.Compare(recordRank(a), recordRank(b)),
		strings.Compare(a.machine.name, b.machine.name),
		cmp.Compare(a.number, b.number),
	)
}

// addBatch writes one batch with as many attempts from the front of the queue as fit, and
// returns their number.
func (p *persister) addBatch(t *transaction, queue []*attempt) int {
	encoder := newBatchEncoder(p.limits.maxBatchBytes())
	written := 0
	for written < len(queue) && encoder.add(queue[written]) {
		queue[written].assignment.queued = false
		written++
	}
	if written == 0 {
		return 0
	}
	p.nextEffectID++
	b := p.trackBatch(records.BatchKey(p.term, p.nextEffectID))
	b.attemptCount, b.singleRun, b.writeInFlight = written, encoder.hasSingleRun(), true
	for _, a := range queue[:written] {
		b.neededBy[a] = true
	}
	for m := range encoder.machineIndex {
		b.addMachine(m)
	}
	t.expect(b.key, 0)
	t.set(b.key, encoder.finish(), encoder.size)
	t.contents.batches = append(t.contents.batches, b)
	return written
}

// handleBatchWriteOutcome handles the outcome of a batch's write.
func (p *persister) handleBatchWriteOutcome(b *assignmentBatch, outcome commitOutcome, dispatcher *dispatcher) {
	b.writeInFlight = false
	for a := range b.neededBy {
		if a.machine.tasks[a.ref] != a && !a.awaitsDurableCompletion() {
			delete(b.neededBy, a) // it ended during the write
		}
	}
	switch {
	case outcome.result == CommitDone:
		p.batchStored(b, dispatcher)
	case outcome.result == CommitUnknown || outcome.conflictingKeys[b.key]:
		p.batchPossiblyStored(b)
	case outcome.result == CommitRejected && outcome.alone && b.singleRun:
		p.delayRejectedAttempts(b)
		p.batchNotStored(b)
	default:
		p.batchNotStored(b)
	}
}

// batchStored marks the attempts of a stored batch as durable, removes them from earlier
// batches, and makes their starts due.
func (p *persister) batchStored(b *assignmentBatch, dispatcher *dispatcher) {
	for a := range b.neededBy {
		for _, earlier := range a.assignment.batches {
			p.removeFromBatch(earlier, a)
		}
		a.assignment.batches = []*assignmentBatch{b}
		a.assignment.rejection = rejectionBackoff{}
		if !a.assignment.durable {
			a.assignment.durable = true
			dispatcher.markDue(a.machine)
		}
	}
	p.deleteIfUnneeded(b)
}

// batchPossiblyStored keeps a batch that may be stored now or later. Its attempts are written
// again under another key, and then this key is deleted.
func (p *persister) batchPossiblyStored(b *assignmentBatch) {
	for a := range b.neededBy {
		a.assignment.batches = append(a.assignment.batches, b)
	}
	p.queueUnrecorded(b)
	b.rewriteRequested = true
	p.deleteIfUnneeded(b)
}

// rejectedBefore reports whether the batch cannot be made smaller, and one with an attempt of it was
// rejected before.
func (b *assignmentBatch) rejectedBefore() bool {
	if !b.singleRun {
		return false
	}
	for a := range b.neededBy {
		if a.assignment.rejection.rejections > 0 {
			return true
		}
	}
	return false
}

// delayRejectedAttempts delays the next try to record the attempts of a batch that cannot be made
// smaller.
func (p *persister) delayRejectedAttempts(b *assignmentBatch) {
	for a := range b.neededBy {
		delay := a.assignment.rejection.extend(p.now.Mono)
		p.logInfo("assignment rejected by the key-value store", "task", a.ref.String(), "machine", a.machine.name, "retry_in_s", delay.Seconds())
	}
}

// batchNotStored drops a batch that was not written, and queues its attempts again.
func (p *persister) batchNotStored(b *assignmentBatch) {
	p.queueUnrecorded(b)
	clear(b.neededBy)
	p.untrackBatch(b)
}

// logDelayedStarts logs if starts wait long for their assignments to be recorded.
func (p *persister) logDelayedStarts() {
	oldest := p.now.Mono
	for _, a := range p.unrecorded {
		if !a.start.sent {
			oldest = min(oldest, a.placedAt)
		}
	}
	delay := p.now.Mono - oldest
	if delay <= tuning.LateRecordAfter {
		return
	}
	cause := "write rate"
	switch {
	case p.limits.isolated(p.now.Mono):
		cause = "key-value store rejects writes as too large"
	case p.writeRate.perSecond < p.settings.WriteRate:
		cause = "key-value store takes fewer writes than the settings say"
	case p.now.Mono < p.blockedUntil+tuning.StoreRetryDelay:
		cause = "key-value store refuses writes"
	}
	p.logInfo("starts wait for their assignment records", "cause", cause, "starts", len(p.unrecorded), "longest_s", delay.Seconds(), "changes_per_s", p.writeRate.perSecond)
}
