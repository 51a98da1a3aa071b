package scheduler

import (
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// maxCounter is the highest value of what a leader counts in the low bits of tokens and
// of attempts' numbers. One above it would be of another term.
const maxCounter = 1<<tuning.FencingBits - 1

// attemptNumbersLeft is how many more attempts this term can number.
func (s *Scheduler) attemptNumbersLeft() int {
	return maxCounter - int(min(s.dispatcher.lastAttemptNumber, maxCounter))
}

// watchCounterLimits resigns before this term's numbers are used up. The next term has all of
// them again, and an election costs a fraction of a second.
func (s *Scheduler) watchCounterLimits() {
	highest := s.dispatcher.lastAttemptNumber
	for _, m := range s.cluster.machines {
		highest = max(highest, m.fencing.counter)
	}
	if float64(highest) > maxCounter*tuning.MaxFencingCounterUse {
		s.effects.Resign = "this term's numbers are used up"
	}
}

// newAttempt makes an attempt under a number that was never used: terms only
// grow, so it is above all earlier ones.
func (s *Scheduler) newAttempt(j *job, index int, m *machine) *attempt {
	s.dispatcher.lastAttemptNumber++
	return &attempt{ref: taskRef{j.id, index}, job: j, machine: m, number: s.term<<tuning.FencingBits | s.dispatcher.lastAttemptNumber, placedAt: s.now.Mono}
}

// Token is the token to use with a machine: our term above, its fence below.
func (s *Scheduler) fencingToken(m *machine) uint64 {
	return s.term<<tuning.FencingBits | m.fencing.counter
}

// TermOf of a token.
func TermOf(token uint64) uint64 { return token >> tuning.FencingBits }

// raiseFencingToken takes a higher token for a machine, so that commands sent to it under
// the present one are refused once it has seen the new one.
func (s *Scheduler) raiseFencingToken(m *machine) {
	//mutation:fencing-counter-raised
	m.fencing.counter = min(m.fencing.counter+1, maxCounter) // watchCounterLimits has ended the term long before
	m.fencing.usedDirectly = false
}
