package scheduler

import (
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// maxProbeBackoffDoublings limits how often the probe interval of a machine that does not answer
// doubles.
const maxProbeBackoffDoublings = 3

// statusProbeLimiter limits the number of status probes in flight and their rate: each probe
// costs a connection, and a new leader has thousands of machines to probe.
type statusProbeLimiter struct {
	inFlight int
	budget   tokenBucket // rate limit; used only if isTakeoverCPULimited
	// firstPostponed is the first machine whose probe was postponed since the last scan began; empty
	// if there is none. The next scan begins with it, so that every machine gets its turn.
	firstPostponed string
}

// postpone records that a machine could not be probed now.
func (p *statusProbeLimiter) postpone(m *machine) {
	if p.firstPostponed == "" {
		p.firstPostponed = m.name
	}
}

// takeFirstPostponed returns and clears the name of the machine with which the next scan begins.
func (p *statusProbeLimiter) takeFirstPostponed() string {
	next := p.firstPostponed
	p.firstPostponed = ""
	return next
}

// probeStatus requests a heartbeat under the current fencing token from a machine, by a direct
// call without commands. If the limits allow no probe now, the probe is postponed to the next
// scan.
func (d *dispatcher) probeStatus(m *machine, fleetSize int) {
	if m.phase != machineUp || m.address == "" || m.directCalls.inFlight || d.isDue(m) {
		return // a call that is in flight or due brings a heartbeat as well
	}
	if d.probedRecently(m) || d.heartbeatExpectedSoon(m, fleetSize) {
		return
	}
	probes := &d.probes
	if probes.inFlight >= d.statusProbeLimit(m, fleetSize) || !d.takeProbeBudget(fleetSize) {
		probes.postpone(m)
		return
	}
	m.directCalls.probedAt = d.now.Mono
	probes.inFlight++
	d.sendCommands(m, []wire.Command{}, nil)
}

// probedRecently reports whether it is too early for another probe of the machine.
func (d *dispatcher) probedRecently(m *machine) bool {
	interval := tuning.MinStatusProbeInterval << min(m.directCalls.consecutiveUnanswered, maxProbeBackoffDoublings)
	return m.directCalls.probedAt > 0 && d.now.Mono-m.directCalls.probedAt < interval
}

// statusProbeLimit returns how many probes may be in flight when this machine is probed. The
// limit grows with fleetSize, the number of all machines. For a machine that did not answer its
// last call it is halved: such a probe occupies a slot until the call times out, and in a
// partitioned zone there are hundreds of them, while other machines would answer at once.
func (d *dispatcher) statusProbeLimit(m *machine, fleetSize int) int {
	limit := max(tuning.MinConcurrentStatusProbes, min(fleetSize/tuning.MachinesPerStatusProbe, tuning.MaxConcurrentStatusProbes))
	if m.directCalls.consecutiveUnanswered > 0 {
		limit /= 2
	}
	return limit
}

// takeProbeBudget takes one probe from the rate budget and reports whether there was one. The
// rate is limited only if the process has a small CPU share for its fleet.
func (d *dispatcher) takeProbeBudget(fleetSize int) bool {
	//mutation:status-probe-budget
	if !d.isTakeoverCPULimited(fleetSize) {
		return true
	}
	budget := &d.probes.budget
	budget.refill(d.now.Mono, tuning.MaxStatusProbeRate*d.settings.CPUShare, tuning.MinConcurrentStatusProbes)
	return budget.take(1)
}

// heartbeatExpectedSoon reports whether the machine's next heartbeat is expected before a probe
// would help: its last one has just been answered with a fencing token that is new to the
// worker, which makes it send the next one early. Probes are saved this way only if the process
// has a small CPU share for its fleet.
func (d *dispatcher) heartbeatExpectedSoon(m *machine, fleetSize int) bool {
	answeredAt := m.connectivity.heartbeatRepliedAt
	//mutation:no-status-probe-before-heartbeat
	return d.isTakeoverCPULimited(fleetSize) && answeredAt > 0 && m.fencing.highestSeenToken < d.fencingToken(m) && d.now.Mono-answeredAt < tuning.StatusProbeHoldOff
}
