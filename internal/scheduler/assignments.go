package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// assignmentBatch is a stored record of attempts and their machines. Batches are written once
// and deleted when nothing needs them; their keys are never used twice. So a write or a
// deletion that is executed late can only bring back an old batch, which makes a later
// leader wait for a heartbeat, and never removes a record that is still needed: an attempt
// leaves a batch only when it is gone, or when a later batch with it is known to be written.
type assignmentBatch struct {
	key                  string
	neededBy             map[*attempt]bool // attempts that have no later record
	attemptCount         int               // how many attempts were written
	createdAt            time.Duration
	writeInFlight        bool
	namesReleasedMachine bool // a new leader would wait for that machine
	machines             []*machine
}

// newBatch keeps track of a batch that is stored under the key, or is to be.
func (p *persister) newBatch(key string) *assignmentBatch {
	b := &assignmentBatch{key: key, neededBy: map[*attempt]bool{}, createdAt: p.now.Mono}
	p.batches[key] = b
	return b
}

// addMachine notes that the batch names a machine.
func (b *assignmentBatch) addMachine(m *machine) {
	b.machines = append(b.machines, m)
	m.batches[b] = true
}

// queueAssignment has an attempt written with the next batch.
func (p *persister) queueAssignment(a *attempt) {
	if !a.assignment.queued {
		a.assignment.queued = true
		p.unrecorded = append(p.unrecorded, a)
	}
}

// queueUnrecorded has those attempts of a batch written that no batch has for certain.
func (p *persister) queueUnrecorded(b *assignmentBatch) {
	for a := range b.neededBy {
		if !a.assignment.durable {
			p.queueAssignment(a)
		}
	}
}

// removeFromBatch takes note that an attempt does not need a batch any more.
func (p *persister) removeFromBatch(b *assignmentBatch, a *attempt) {
	delete(b.neededBy, a)
	p.deleteIfUnneeded(b)
}

func (p *persister) deleteIfUnneeded(b *assignmentBatch) {
	if len(b.neededBy) > 0 || b.writeInFlight || p.batches[b.key] != b {
		return
	}
	p.forgetBatch(b)
	p.deleteLater(b.key)
}

// forgetBatch drops a batch from memory.
func (p *persister) forgetBatch(b *assignmentBatch) {
	delete(p.batches, b.key)
	for _, m := range b.machines {
		delete(m.batches, b)
	}
}

// addAssignmentBatches writes attempts that wait for their record, those of the highest
// priority first. Batches are spaced in time, so that what is placed meanwhile shares one.
func (p *persister) addAssignmentBatches(t *transaction) {
	if len(p.unrecorded) == 0 || p.now.Mono < p.nextBatchAt || !t.canAdd(1) {
		return
	}
	queue := p.currentUnrecorded()
	slices.SortFunc(queue, compareForRecord)
	for len(queue) > 0 && t.canAdd(1) {
		written := p.addBatch(t, queue)
		if written == 0 {
			break // never: one attempt always fits
		}
		queue = queue[written:]
	}
	p.unrecorded = slices.Clone(queue)
	p.nextBatchAt = p.now.Mono + time.Duration(float64(time.Second)/(p.settings.WriteRate*tuning.BatchWriteShare))
}

// currentUnrecorded drops the attempts from the queue that are gone, and gives the others.
func (p *persister) currentUnrecorded() []*attempt {
	queue := p.unrecorded[:0]
	for _, a := range p.unrecorded {
		if a.machine.tasks[a.ref] == a {
			queue = append(queue, a)
		} else {
			a.assignment.queued = false
		}
	}
	clear(p.unrecorded[len(queue):])
	return queue
}

// Ranks of attempts in the queue for a record, behind those of all priorities of jobs.
const (
	adoptedRecordRank   = 8 // it runs already
	compactedRecordRank = 9 // it has a record, and is written again to be rid of an old batch
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

// compareForRecord orders attempts by how urgent their record is, then by machine, which
// makes batches short.
func compareForRecord(a, b *attempt) int {
	return cmp.Or(
		cmp.Compare(recordRank(a), recordRank(b)),
		strings.Compare(a.machine.name, b.machine.name),
		cmp.Compare(a.number, b.number),
	)
}

// addBatch writes one batch with the first attempts of the queue, and gives their number.
func (p *persister) addBatch(t *transaction, queue []*attempt) int {
	encoder := newBatchEncoder(min(int(float64(p.settings.MaxValueBytes)*(1-tuning.ValueSizeMargin)), tuning.MaxBatchBytes))
	written := 0
	for written < len(queue) && encoder.add(queue[written]) {
		queue[written].assignment.queued = false
		written++
	}
	if written == 0 {
		return 0
	}
	p.nextEffectID++
	b := p.newBatch(records.BatchKey(p.term, p.nextEffectID))
	b.attemptCount, b.writeInFlight = written, true
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

// batchWritten takes the outcome of a batch's write.
func (p *persister) batchWritten(b *assignmentBatch, outcome commitOutcome, dispatcher *dispatcher) {
	b.writeInFlight = false
	for a := range b.neededBy {
		if a.machine.tasks[a.ref] != a && !a.awaitsDurableCompletion() {
			delete(b.neededBy, a) // gone meanwhile
		}
	}
	switch {
	case outcome.result == CommitDone:
		p.batchStored(b, dispatcher)
	case outcome.result == CommitUnknown || outcome.conflicting[b.key]:
		p.batchInDoubt(b)
	default:
		p.batchNotStored(b)
	}
}

// batchStored makes the attempts of a batch durable, lets go of their earlier batches, and
// has their starts sent.
func (p *persister) batchStored(b *assignmentBatch, dispatcher *dispatcher) {
	for a := range b.neededBy {
		for _, earlier := range a.assignment.batches {
			p.removeFromBatch(earlier, a)
		}
		a.assignment.batches = []*assignmentBatch{b}
		if !a.assignment.durable {
			a.assignment.durable = true
			dispatcher.markDue(a.machine)
		}
	}
	p.deleteIfUnneeded(b)
}

// batchInDoubt keeps track of a batch that may be stored, or may be yet. What it holds is
// written again under another key, and then this one is deleted.
func (p *persister) batchInDoubt(b *assignmentBatch) {
	for a := range b.neededBy {
		a.assignment.batches = append(a.assignment.batches, b)
	}
	p.queueUnrecorded(b)
	b.namesReleasedMachine = true
	p.deleteIfUnneeded(b)
}

// batchNotStored drops a batch that was not written, and has its attempts written anew.
func (p *persister) batchNotStored(b *assignmentBatch) {
	p.queueUnrecorded(b)
	clear(b.neededBy)
	p.forgetBatch(b)
}

// compactBatches has what is left of old batches written again, about a value at a time, so
// that neither the store nor what a new leader reads grows with attempts that have ended.
func (p *persister) compactBatches() {
	if len(p.unrecorded) > 0 || p.writeBudget.tokens < p.settings.WriteRate*tuning.StoreWriteRateShare/2 {
		return
	}
	queued := 0
	for _, b := range p.batchesToCompact() {
		if queued > 0 && queued+len(b.neededBy) > tuning.MaxCompactedAttempts {
			return
		}
		queued += len(b.neededBy)
		for a := range b.neededBy {
			if !a.awaitsDurableCompletion() {
				p.queueAssignment(a)
			}
		}
	}
}

// batchesToCompact gives the batches that are worth it, those of the fewest attempts first:
// those that name released machines, and, if there are many batches, those of which at most
// a quarter is needed.
func (p *persister) batchesToCompact() []*assignmentBatch {
	var batches []*assignmentBatch
	for _, b := range p.batches {
		if b.writeInFlight || p.now.Mono-b.createdAt < tuning.BatchRewriteAge {
			continue
		}
		if b.namesReleasedMachine || len(p.batches) > tuning.BatchCompactionThreshold && len(b.neededBy)*4 <= b.attemptCount {
			batches = append(batches, b)
		}
	}
	slices.SortFunc(batches, func(a, b *assignmentBatch) int {
		return cmp.Or(cmp.Compare(len(a.neededBy), len(b.neededBy)), strings.Compare(a.key, b.key))
	})
	return batches
}

// logDelayedStarts says so if starts wait long for their assignment to be recorded.
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
	if p.now.Mono < p.blockedUntil+tuning.StoreRetryDelay {
		cause = "key-value store refuses writes"
	}
	p.logInfo("starts wait for their assignment records", "cause", cause, "starts", len(p.unrecorded), "longest_s", delay.Seconds(), "changes_per_s", p.settings.WriteRate)
}
