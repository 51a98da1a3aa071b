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

// takeNextMachine gives the name with which the next scan begins.
func (p *statusProbes) takeNextMachine() string {
	next := p.nextMachine
	p.nextMachine = ""
	return next
}

// probeStatus asks a machine for a heartbeat under this term's fencing token, by a call
// without commands. If no probe may be sent now, the next scan begins with this machine.
func (d *dispatcher) probeStatus(m *machine, fleetSize int) {
	if m.phase != machineUp || m.address == "" || m.directCalls.inFlight || d.isDue(m) {
		return // what is due for the machine will bring a heartbeat too
	}
	if d.probedLately(m) || d.heartbeatExpectedSoon(m) {
		return
	}
	probes := &d.probes
	if probes.inFlight >= d.statusProbeLimit(m, fleetSize) || !d.takeProbeBudget() {
		probes.putOff(m)
		return
	}
	m.directCalls.probedAt = d.now.Mono
	probes.inFlight++
	d.sendCommands(m, []wire.Command{}, nil)
}

// probedLately reports whether it is too early for another probe of the machine.
func (d *dispatcher) probedLately(m *machine) bool {
	interval := tuning.MinStatusProbeInterval << min(m.directCalls.consecutiveUnanswered, maxProbeBackoffDoublings)
	return m.directCalls.probedAt > 0 && d.now.Mono-m.directCalls.probedAt < interval
}

// statusProbeLimit is how many probes may be in flight when this machine is probed. Machines
// that did not answer the last call get at most half of the limit: each occupies a place
// until its call times out, and in a partitioned zone there are hundreds of them, while
// others would answer at once. The limit grows with the fleet, the number of all machines.
func (d *dispatcher) statusProbeLimit(m *machine, fleetSize int) int {
	limit := max(tuning.MinConcurrentStatusProbes, min(fleetSize/tuning.MachinesPerStatusProbe, tuning.MaxConcurrentStatusProbes))
	if m.directCalls.consecutiveUnanswered > 0 {
		limit /= 2
	}
	return limit
}

// takeProbeBudget takes one probe from what a small share of a core leaves for them.
func (d *dispatcher) takeProbeBudget() bool {
	//mutation:status-probe-budget
	if !d.isCPULimited() {
		return true
	}
	rate := &d.probes.rate
	rate.refill(d.now.Mono, tuning.MaxStatusProbeRate*d.settings.CPUShare, tuning.MinConcurrentStatusProbes)
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
func (d *dispatcher) heartbeatExpectedSoon(m *machine) bool {
	answeredAt := m.connectivity.heartbeatRepliedAt
	//mutation:no-status-probe-before-heartbeat
	return d.isCPULimited() && answeredAt > 0 && m.fencing.highestSeenToken < d.fencingToken(m) && d.now.Mono-answeredAt < tuning.StatusProbeHoldOff
}
