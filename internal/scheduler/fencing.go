package scheduler

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// maxCounter is the highest value of the counters in the low bits of fencing tokens and of
// attempt numbers. The next value would belong to the next term.
const maxCounter = 1<<tuning.FencingBits - 1

// newFencingToken combines a term and a counter into a fencing token. Terms only grow, so the
// token is higher than every token of an earlier term.
func newFencingToken(term, counter uint64) uint64 { return term<<tuning.FencingBits | counter }

// TermOf returns the leadership term of a fencing token or an attempt number.
func TermOf(token uint64) uint64 { return token >> tuning.FencingBits }

// counterOf returns the fencing counter of a token.
func counterOf(token uint64) uint64 { return token & maxCounter }

// fencingToken returns the current fencing token for a machine.
func (c *termContext) fencingToken(m *machine) uint64 {
	//mutation:fencing-token-has-term
	return newFencingToken(c.term, m.fencing.counter)
}

// raise increments a machine's fencing counter. Once the worker has seen the new token, it
// refuses all commands that were sent under a lower one, however late they arrive.
func (f *fencingState) raise() {
	//mutation:fencing-counter-raised
	f.counter = min(f.counter+1, maxCounter) // resignIfCountersNearLimit ends the term long before
	f.sentStartsDirectly, f.repliesReadUntil = false, 0
}

// startCopyMayArrive reports whether the worker may still receive a copy of a start that was sent
// under the current token: by a direct call at any time, in a reply until the worker drops it.
func (f *fencingState) startCopyMayArrive(now time.Duration) bool {
	//mutation:copies-of-replies
	return f.sentStartsDirectly || now < f.repliesReadUntil
}

// newAttempt creates an attempt with a number that was never used. The high bits hold the term, so
// the number is higher than those of all earlier terms.
func (d *dispatcher) newAttempt(j *job, index int, m *machine) *attempt {
	d.lastAttemptNumber++
	return &attempt{
		ref: taskRef{j.id, index}, job: j, machine: m, placedAt: d.now.Mono,
		number: newFencingToken(d.term, d.lastAttemptNumber),
	}
}

// attemptNumbersLeft returns how many more attempts this term can number.
func (d *dispatcher) attemptNumbersLeft() int {
	return maxCounter - int(min(d.lastAttemptNumber, maxCounter))
}

// resignIfCountersNearLimit resigns before this term's counters are used up. The next term has
// the full range of them again, and an election takes a fraction of a second.
func (d *dispatcher) resignIfCountersNearLimit(machines map[string]*machine) {
	highest := d.lastAttemptNumber
	for _, m := range machines {
		highest = max(highest, m.fencing.counter)
	}
	if float64(highest) > maxCounter*tuning.MaxFencingCounterShare {
		d.effects.Resign = ResignCountersExhausted
	}
}

// supersededBy reports whether a worker has seen a fencing token of a later term, and resigns if
// that term is plausible. Terms are revisions of the key-value store: one that is far ahead of
// this term is a worker's error, which must not depose one leader after another.
func (d *dispatcher) supersededBy(heartbeat *wire.Heartbeat) bool {
	term := TermOf(heartbeat.FencingToken)
	switch {
	case term <= d.term:
		return false
	//mutation:ignore-absurd-fencing-token
	case term > d.term+tuning.MaxTermRevisionGap:
		d.logInfo("heartbeat with an impossible fencing token", "machine", heartbeat.Machine, "fencing_token", heartbeat.FencingToken, "term", d.term)
	default:
		//mutation:resign-on-higher-fencing-token
		d.effects.Resign = ResignHigherFencingToken
	}
	return true
}
