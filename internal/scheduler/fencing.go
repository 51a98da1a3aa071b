package scheduler

import (
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// maxCounter is the highest value of the counters in the low bits of fencing tokens and of
// attempt numbers. The next value would belong to the next term.
const maxCounter = 1<<tuning.FencingBits - 1

// newFencingToken makes a token of a term and a machine's fencing counter. Terms only grow,
// so it is above every token of an earlier term.
func newFencingToken(term, counter uint64) uint64 { return term<<tuning.FencingBits | counter }

// TermOf gives the leadership term of a fencing token or of an attempt's number.
func TermOf(token uint64) uint64 { return token >> tuning.FencingBits }

// counterOf gives the fencing counter of a token.
func counterOf(token uint64) uint64 { return token & maxCounter }

// fencingToken is the token to use with a machine now.
func (c *termContext) fencingToken(m *machine) uint64 {
	return newFencingToken(c.term, m.fencing.counter)
}

// raise moves on to the next fencing token of a machine. Once its worker has seen that, it
// refuses all commands that were sent under the token before, however late they arrive.
func (f *fencingState) raise() {
	//mutation:fencing-counter-raised
	f.counter = min(f.counter+1, maxCounter) // watchCounterLimits ends the term long before
	f.usedDirectly = false
}

// newAttempt makes an attempt under a number that was never used. Numbers begin with the
// term, so it is above those of all earlier terms.
func (d *dispatcher) newAttempt(j *job, index int, m *machine) *attempt {
	d.lastAttemptNumber++
	return &attempt{
		ref: taskRef{j.id, index}, job: j, machine: m, placedAt: d.now.Mono,
		number: newFencingToken(d.term, d.lastAttemptNumber),
	}
}

// attemptNumbersLeft is how many more attempts this term can number.
func (d *dispatcher) attemptNumbersLeft() int {
	return maxCounter - int(min(d.lastAttemptNumber, maxCounter))
}

// watchCounterLimits resigns before this term's counters are used up. The next term has all
// of them again, and an election takes a fraction of a second.
func (d *dispatcher) watchCounterLimits(machines map[string]*machine) {
	highest := d.lastAttemptNumber
	for _, m := range machines {
		highest = max(highest, m.fencing.counter)
	}
	if float64(highest) > maxCounter*tuning.MaxFencingCounterShare {
		d.effects.Resign = ResignCountersExhausted
	}
}

// supersededBy reports whether a worker has seen a fencing token of a later term. Leadership
// ends then, if there can be such a term: terms are revisions of the key-value store, and one
// that is far ahead of all that were seen there is the mistake of a worker, which must not
// depose one leader after the other.
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
