package scheduler

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

const (
	// minTransactionOps is the number of operations that the end of a job takes.
	minTransactionOps = 2
	// minValueBytes is the lowest limit on values that rejections lead to. A batch with the
	// assignment of a single task is not much larger.
	minValueBytes = 256
)

// storeLimits holds the key-value store's limits on a transaction as this term knows them. They
// begin as those of the settings. The store may have lower ones, and shows that only by rejecting
// a transaction. After a while without rejections they rise again, up to those of the settings.
type storeLimits struct {
	maxOps        int           // changes in a transaction
	maxValueBytes int           // size of a value in JSON
	isolatedUntil time.Duration // until then, each write gets a transaction of its own

	// storedOps and storedValueBytes are the largest transaction and value that the store has
	// accepted since a rejection that did not lower the limits.
	storedOps, storedValueBytes int

	settings   Settings
	raiseAt    time.Duration // when the limits rise next; 0: they are those of the settings
	raiseDelay time.Duration // time without rejections before they rise
	raised     bool          // they have risen since the last rejection
}

func newStoreLimits(settings Settings) storeLimits {
	return storeLimits{
		maxOps: settings.MaxTransactionOps, maxValueBytes: settings.MaxValueBytes,
		settings: settings, raiseDelay: tuning.LimitRaiseDelay,
	}
}

// lower lowers the limits after the store has rejected a transaction with the given contents. A
// transaction with several writes may have had too many operations, or one of the writes may be
// too large: isolating the writes for a while shows which. A write that is rejected alone is too
// large. The limits stay if the store has accepted as much before, because another write may be at
// fault; but only once, because the store may have lowered its limits since. They also stay if the
// same write was rejected before, which shows nothing new.
func (l *storeLimits) lower(now time.Duration, contents *transactionContents) {
	//mutation:rejected-writes-are-isolated
	l.isolatedUntil = now + tuning.RejectionIsolation
	if l.raised {
		l.raised = false
		l.raiseDelay = min(2*l.raiseDelay, tuning.MaxLimitRaiseDelay)
	}
	l.raiseAt = now + l.raiseDelay
	switch {
	case contents.writeCount() > 1 && contents.operations <= l.storedOps:
		l.storedOps = 0
	case contents.writeCount() > 1:
		l.maxOps = min(l.maxOps, max(minTransactionOps, contents.operations/2))
	case contents.rejectedBefore():
	//mutation:accepted-size-is-no-limit
	case contents.largestValueBytes <= l.storedValueBytes:
		l.storedValueBytes = 0
	default:
		//mutation:rejected-value-halves-limit
		l.maxValueBytes = min(l.maxValueBytes, max(minValueBytes, contents.largestValueBytes/2))
	}
}

// accepted records that the store has executed a transaction with the given contents.
func (l *storeLimits) accepted(contents *transactionContents) {
	l.storedOps = max(l.storedOps, contents.operations)
	l.storedValueBytes = max(l.storedValueBytes, contents.largestValueBytes)
}

// raise doubles lowered limits if nothing was rejected for a while. If the store still has the lower
// ones, it rejects the next larger transaction, and they rise later the next time.
func (l *storeLimits) raise(now time.Duration) {
	if l.raiseAt == 0 || now < l.raiseAt {
		return
	}
	l.raised = true
	//mutation:lowered-limits-rise
	l.maxOps, l.maxValueBytes = min(2*l.maxOps, l.settings.MaxTransactionOps), min(2*l.maxValueBytes, l.settings.MaxValueBytes)
	l.raiseAt = now + l.raiseDelay
	if l.maxOps == l.settings.MaxTransactionOps && l.maxValueBytes == l.settings.MaxValueBytes {
		l.raiseAt = 0
	}
}

// maxRecordBytes returns the size that a record may have.
func (l *storeLimits) maxRecordBytes() int { return records.MaxBytes(l.maxValueBytes) }

// maxBatchBytes returns the size that a batch of assignments may have.
func (l *storeLimits) maxBatchBytes() int { return min(l.maxRecordBytes(), tuning.MaxBatchBytes) }

// isolated reports whether each write has to get a transaction of its own.
func (l *storeLimits) isolated(now time.Duration) bool { return now < l.isolatedUntil }

// rejectionBackoff delays the next try of a write that the store has rejected although it was
// alone in its transaction, so that it does not hold up the writes that the store accepts.
type rejectionBackoff struct {
	rejections int           // in a row
	until      time.Duration // earliest time of the next try; 0: at once
}

// maxRejectionDoublings keeps the shift in extend from overflowing.
const maxRejectionDoublings = 16

// extend doubles the delay, up to tuning.MaxRejectionBackoff, and returns it.
func (b *rejectionBackoff) extend(now time.Duration) time.Duration {
	delay := min(tuning.MaxRejectionBackoff, tuning.StoreRetryDelay<<min(b.rejections, maxRejectionDoublings))
	b.rejections++
	b.until = now + delay
	return delay
}
