package core

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// questions bounds how machines are asked for their reports: each question costs a
// connection, and a new leader has thousands to ask.
type questions struct {
	out      int           // questions without an answer yet
	budget   float64       // questions that may be sent now, where their rate is bounded
	budgetAt time.Duration // when it was last added to
	next     string        // the first machine that found no place; empty: none did
}

// askForReport asks a machine for its report under our token, unless there is no place
// for a question now; then the next look at all machines begins with it.
func (l *Leader) askForReport(m *machine) {
	if m.phase != up || m.addr == "" || m.calling || l.pushDue[m.name] {
		return // what is to be pushed asks as well
	}
	if m.askedAt > 0 && l.now.Mono-m.askedAt < tuning.QuestionPause<<min(m.unanswered, 3) || l.answersSoon(m) {
		return
	}
	if l.questions.out >= l.questionPlaces(m) || !l.takeQuestion() {
		if l.questions.next == "" {
			l.questions.next = m.name
		}
		return
	}
	m.askedAt = l.now.Mono
	l.questions.out++
	l.call(m, []wire.Command{}, nil)
}

// questionPlaces is how many questions may be out when the machine is asked. Machines
// that did not answer last time have half of the places at the most: each holds one
// until its call is given up, and in a cut zone there are hundreds, while others only
// wait to be asked.
func (l *Leader) questionPlaces(m *machine) int {
	places := max(tuning.QuestionsOut, min(len(l.machines)/tuning.QuestionsPart, tuning.QuestionsMost))
	if m.unanswered > 0 {
		places /= 2
	}
	return places
}

// smallShare reports whether the process has so little of a core that work which could
// wait is spaced.
func (l *Leader) smallShare() bool {
	return l.cfg.CPUShare > 0 && l.cfg.CPUShare < tuning.UsualShare
}

// answersSoon reports whether the machine will report by itself before a question would
// help: it has just been answered, and with a token that it had not seen.
func (l *Leader) answersSoon(m *machine) bool {
	//mutation:no-status-probe-before-heartbeat
	return l.smallShare() && m.answeredAt > 0 && m.seenToken < l.token(m) && l.now.Mono-m.answeredAt < tuning.AnswersSoon
}

// takeQuestion takes one question from the budget that a small share leaves for them.
func (l *Leader) takeQuestion() bool {
	//mutation:status-probe-budget
	if !l.smallShare() {
		return true
	}
	q := &l.questions
	rate := tuning.QuestionRate * l.cfg.CPUShare
	q.budget = min(tuning.QuestionsOut, q.budget+(l.now.Mono-q.budgetAt).Seconds()*rate)
	q.budgetAt = l.now.Mono
	if q.budget < 1 {
		return false
	}
	q.budget--
	return true
}
