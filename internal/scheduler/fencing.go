package scheduler

import (
	"github.com/yarrowgap/yarrowgap/internal/tuning"
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
func (s *Scheduler) newAttempt(j *job, index int, m *machine) *attempt {
	s.dispatcher.lastAttemptNumber++
	return &attempt{
		ref: taskRef{j.id, index}, job: j, machine: m, placedAt: s.now.Mono,
		number: newFencingToken(s.term, s.dispatcher.lastAttemptNumber),
	}
}

// attemptNumbersLeft is how many more attempts this term can number.
func (s *Scheduler) attemptNumbersLeft() int {
	return maxCounter - int(min(s.dispatcher.lastAttemptNumber, maxCounter))
}

// watchCounterLimits resigns before this term's counters are used up. The next term has all
// of them again, and an election takes a fraction of a second.
func (s *Scheduler) watchCounterLimits() {
	highest := s.dispatcher.lastAttemptNumber
	for _, m := range s.cluster.machines {
		highest = max(highest, m.fencing.counter)
	}
	if float64(highest) > maxCounter*tuning.MaxFencingCounterUse {
		s.effects.Resign = ResignCountersExhausted
	}
}
