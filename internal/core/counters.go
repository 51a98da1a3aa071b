package core

import (
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// counterMost is the highest value of what a leader counts in the low bits of tokens and
// of attempts' numbers. One above it would be of another term.
const counterMost = 1<<tuning.FenceBits - 1

// numbersLeft is how many more attempts this term can number.
func (l *Leader) numbersLeft() int { return counterMost - int(min(l.nextTry, counterMost)) }

// watchCounters resigns before this term's numbers are used up. The next term has all of
// them again, and an election costs a fraction of a second.
func (l *Leader) watchCounters() {
	highest := l.nextTry
	for _, m := range l.machines {
		highest = max(highest, m.fence)
	}
	if float64(highest) > counterMost*tuning.CountersUsed {
		l.out.Resign = "this term's numbers are used up"
	}
}

// newAttempt makes an attempt under a number that was never used: terms only
// grow, so it is above all earlier ones.
func (l *Leader) newAttempt(j *job, index int, m *machine) *attempt {
	l.nextTry++
	return &attempt{ref: taskRef{j.id, index}, job: j, m: m, number: l.term<<tuning.FenceBits | l.nextTry, placedAt: l.now.Mono}
}

// Token is the token to use with a machine: our term above, its fence below.
func (l *Leader) token(m *machine) uint64 { return l.term<<tuning.FenceBits | m.fence }

// Term of a token.
func Term(token uint64) uint64 { return token >> tuning.FenceBits }

// raise takes a higher token for a machine, so that commands sent to it under
// the present one are refused once it has seen the new one.
func (l *Leader) raise(m *machine) {
	//mutation:fencing-counter-raised
	m.fence = min(m.fence+1, counterMost) // watchCounters has ended the term long before
	m.directUsed = false
}
