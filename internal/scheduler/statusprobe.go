package scheduler

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// statusProbes bounds how machines are asked for their reports: each question costs a
// connection, and a new leader has thousands to ask.
type statusProbes struct {
	inFlight    int           // questions without an answer yet
	budget      float64       // questions that may be sent now, where their rate is bounded
	refilledAt  time.Duration // when it was last added to
	nextMachine string        // the first machine that found no place; empty: none did
}

// probeStatus asks a machine for its report under our token, unless there is no place
// for a question now; then the next look at all machines begins with it.
func (s *Scheduler) probeStatus(m *machine) {
	if m.phase != machineUp || m.address == "" || m.calls.inFlight || s.dispatcher.machinesDue[m.name] {
		return // what is to be pushed asks as well
	}
	if m.calls.probedAt > 0 && s.now.Mono-m.calls.probedAt < tuning.MinStatusProbeInterval<<min(m.calls.unanswered, 3) || s.heartbeatExpectedSoon(m) {
		return
	}
	if s.dispatcher.probes.inFlight >= s.statusProbeLimit(m) || !s.takeProbeBudget() {
		if s.dispatcher.probes.nextMachine == "" {
			s.dispatcher.probes.nextMachine = m.name
		}
		return
	}
	m.calls.probedAt = s.now.Mono
	s.dispatcher.probes.inFlight++
	s.sendCommands(m, []wire.Command{}, nil)
}

// statusProbeLimit is how many questions may be out when the machine is asked. Machines
// that did not answer last time have half of the places at the most: each holds one
// until its call is given up, and in a cut zone there are hundreds, while others only
// wait to be asked.
func (s *Scheduler) statusProbeLimit(m *machine) int {
	limit := max(tuning.MinConcurrentStatusProbes, min(len(s.cluster.machines)/tuning.MachinesPerStatusProbe, tuning.MaxConcurrentStatusProbes))
	if m.calls.unanswered > 0 {
		limit /= 2
	}
	return limit
}

// isCPULimited reports whether the process has so little of a core that work which could
// wait is spaced.
func (s *Scheduler) isCPULimited() bool {
	return s.settings.CPUShare > 0 && s.settings.CPUShare < tuning.ReferenceCPUShare
}

// heartbeatExpectedSoon reports whether the machine will report by itself before a question would
// help: it has just been answered, and with a token that it had not seen.
func (s *Scheduler) heartbeatExpectedSoon(m *machine) bool {
	//mutation:no-status-probe-before-heartbeat
	return s.isCPULimited() && m.connectivity.heartbeatAnsweredAt > 0 && m.fencing.seenToken < s.fencingToken(m) && s.now.Mono-m.connectivity.heartbeatAnsweredAt < tuning.StatusProbeHoldOff
}

// takeProbeBudget takes one question from the budget that a small share leaves for them.
func (s *Scheduler) takeProbeBudget() bool {
	//mutation:status-probe-budget
	if !s.isCPULimited() {
		return true
	}
	probes := &s.dispatcher.probes
	rate := tuning.MaxStatusProbeRate * s.settings.CPUShare
	probes.budget = min(tuning.MinConcurrentStatusProbes, probes.budget+(s.now.Mono-probes.refilledAt).Seconds()*rate)
	probes.refilledAt = s.now.Mono
	if probes.budget < 1 {
		return false
	}
	probes.budget--
	return true
}
