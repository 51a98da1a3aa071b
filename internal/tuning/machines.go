package tuning

import "time"

// Machines.
const (
	// CommandTimeout bounds one direct command.
	CommandTimeout = 1500 * time.Millisecond
	// MaxIdleWorkerConns is how many connections to workers are kept without a call,
	// to all together: hundreds of them would take the platform's sockets.
	MaxIdleWorkerConns = 64
	// MinStatusProbeInterval is the least time between two direct questions to a machine that
	// does not answer.
	MinStatusProbeInterval = 2 * time.Second
	// MaxStatusProbeRate is how many questions a second there may be at the most for a whole
	// core, where the process has less than ReferenceCPUShare of one. A question costs some
	// 0.4 ms (a connection of its own, its system calls and packets), and all of them
	// together may take a fifth of the share: asking two thousand machines at once takes
	// 7% of a core twelve seconds, in which the leader's own lease runs out.
	MaxStatusProbeRate = 500.0
	// StatusProbeHoldOff is how long after our answer to a worker no question is asked there
	// where they are bounded: a token that is new to it is news, which it reports within
	// half a second.
	StatusProbeHoldOff = 1500 * time.Millisecond
	// MinConcurrentStatusProbes is how many machines are asked for their reports at once: each
	// costs a connection, and a new leader has hundreds to ask. Large fleets get a
	// place for each MachinesPerStatusProbe machines, up to MaxConcurrentStatusProbes: of two thousand,
	// a tenth may fall silent together, and each holds its place until it times out.
	MinConcurrentStatusProbes = 32
	MachinesPerStatusProbe    = 8
	MaxConcurrentStatusProbes = 256
	// UnansweredProbeThreshold is how many questions in a row a silent machine has to leave
	// unanswered before it is given back ahead of its lease's end, and HeartbeatGrace
	// how much later than the protocol allows a report may come before the first.
	UnansweredProbeThreshold = 2
	HeartbeatGrace           = 500 * time.Millisecond
	// StartUnreceivedAfter is how long after a start a report that does not show it says
	// that the start did not arrive, where a probe is due as well.
	StartUnreceivedAfter = 1 * time.Second
	// EarlyReleaseMargin is how long before its lease must have ended a silent
	// machine is given back: about as long as the call takes. Its tasks end
	// themselves then in any case; the answer proves it.
	EarlyReleaseMargin = 300 * time.Millisecond
	// ZonePartitionLeases is how many leases long a zone may be silent as a whole
	// before its machines are given back; a node in it may keep them alive.
	ZonePartitionLeases = 2.5
	// ZonePartitionShare is which share of a zone's machines has to be silent for that.
	// Waves in which cheap machines are taken stay below it.
	ZonePartitionShare = 2.0 / 3
	// BootTimeoutFactor is how many times its usual boot time a machine may take
	// before it is given back; MinBootTimeout is the least, in seconds, since
	// some machines take several times as long.
	BootTimeoutFactor = 3.0
	MinBootTimeout    = 60 * time.Second
	// LateBootPercent is from which part of its usual boot time on, in percent, a machine is
	// late: most take up to one and a half times as long.
	LateBootPercent = 160
	// FirstHeartbeatGrace is how long a new leader waits for the report of a machine
	// that, by its age, should have come up before.
	FirstHeartbeatGrace = 20 * time.Second
	// CostSensitiveIdleTimeout is how long an ordinary machine may stand idle where renting
	// economises; a cheap one longer, by the ratio of the prices. It is about
	// the time of a boot, which is paid for too. Shorter trades deadlines for
	// price one for one (docs/limits.md).
	CostSensitiveIdleTimeout = 30 * time.Second
	// IdleTimeout is the same where neither is an aim.
	IdleTimeout = 20 * time.Minute
	// HeadroomShare is the spare capacity kept where price is no aim, as a share
	// of what is in use.
	HeadroomShare = 0.5
	// LooseStartShare is the share of starts in time under which an aim on starts
	// counts as loose, and spare capacity is not kept for it.
	LooseStartShare = 0.9
	// LooseStartDelay is from which time allowed such an aim counts as loose too.
	LooseStartDelay = 10 * time.Second
	// CostSensitiveHeadroomShare is the same where it is one.
	CostSensitiveHeadroomShare = 0.0
)
