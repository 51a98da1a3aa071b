package scheduler

import (
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// maxProbeBackoffDoublings bounds how often the interval between status probes of a machine
// that does not answer doubles.
const maxProbeBackoffDoublings = 3

// statusProbes limits how many status probes are in flight and how fast they are sent: each
// costs a connection, and a new leader has thousands of machines to probe.
type statusProbes struct {
	inFlight int
	rate     tokenBucket // used only while the process has a small share of a core
	// nextMachine is the first machine whose probe was put off since the last scan; empty
	// if none was. The next scan begins there, so that every machine has its turn.
	nextMachine string
}

// putOff notes that a machine could not be probed now.
func (p *statusProbes) putOff(m *machine) {
	if p.nextMachine == "" {
		p.nextMachine = m.name
	}
}

// probeStatus asks a machine for a heartbeat under this term's fencing token, by a call
// without commands. If no probe may be sent now, the next scan begins with this machine.
func (s *Scheduler) probeStatus(m *machine) {
	if m.phase != machineUp || m.address == "" || m.calls.inFlight || s.dispatcher.machinesDue[m.name] {
		return // what is due for the machine will bring a heartbeat too
	}
	if s.probedLately(m) || s.heartbeatExpectedSoon(m) {
		return
	}
	probes := &s.dispatcher.probes
	if probes.inFlight >= s.statusProbeLimit(m) || !s.takeProbeBudget() {
		probes.putOff(m)
		return
	}
	m.calls.probedAt = s.now.Mono
	probes.inFlight++
	s.sendCommands(m, []wire.Command{}, nil)
}

// probedLately reports whether it is too early for another probe of the machine.
func (s *Scheduler) probedLately(m *machine) bool {
	interval := tuning.MinStatusProbeInterval << min(m.calls.unanswered, maxProbeBackoffDoublings)
	return m.calls.probedAt > 0 && s.now.Mono-m.calls.probedAt < interval
}

// statusProbeLimit is how many probes may be in flight when this machine is probed. Machines
// that did not answer the last call get at most half of the limit: each occupies a place
// until its call times out, and in a partitioned zone there are hundreds of them, while
// others would answer at once.
func (s *Scheduler) statusProbeLimit(m *machine) int {
	limit := max(tuning.MinConcurrentStatusProbes, min(len(s.cluster.machines)/tuning.MachinesPerStatusProbe, tuning.MaxConcurrentStatusProbes))
	if m.calls.unanswered > 0 {
		limit /= 2
	}
	return limit
}

// takeProbeBudget takes one probe from what a small share of a core leaves for them.
func (s *Scheduler) takeProbeBudget() bool {
	//mutation:status-probe-budget
	if !s.isCPULimited() {
		return true
	}
	rate := &s.dispatcher.probes.rate
	rate.refill(s.now.Mono, tuning.MaxStatusProbeRate*s.settings.CPUShare, tuning.MinConcurrentStatusProbes)
	return rate.take(1)
}

// isCPULimited reports whether the process has so small a share of a core that work which
// can wait is spread out.
func (c *termContext) isCPULimited() bool {
	return c.settings.CPUShare > 0 && c.settings.CPUShare < tuning.ReferenceCPUShare
}

// heartbeatExpectedSoon reports whether the machine's next heartbeat will come before a
// probe would help: its last one has just been answered, with a fencing token that is new
// to it.
func (s *Scheduler) heartbeatExpectedSoon(m *machine) bool {
	answeredAt := m.connectivity.heartbeatAnsweredAt
	//mutation:no-status-probe-before-heartbeat
	return s.isCPULimited() && answeredAt > 0 && m.fencing.seenToken < s.fencingToken(m) && s.now.Mono-answeredAt < tuning.StatusProbeHoldOff
}
