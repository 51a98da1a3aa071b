package tuning

import "time"

// The leader's lease and elections.
const (
	// LeaderLeaseTTL is how long the leader's lease outlives its last renewal. Short,
	// because starts wait while there is no leader; three renewals fit into it.
	LeaderLeaseTTL = 2500 * time.Millisecond
	// MaxLeaderLeaseTTL bounds the lease of a process with less than ReferenceCPUShare of a
	// core, which is longer in proportion. When thousands of workers come to a new leader at
	// once, 7% of a core is busy with them for four seconds, in which a renewal waits its
	// turn: a lease that expires meanwhile sends all of them to the next controller. Much
	// longer, and a leader that fails delays starts for longer than a restart takes.
	MaxLeaderLeaseTTL = 6 * time.Second
	// WorkerLeaseDivisor bounds the leader's lease by the workers' leases as well, to one part
	// of so many: two leaders that fail soon after each other leave the workers without an
	// answer for two of the leader's leases and two elections, and their tasks must outlast
	// that.
	WorkerLeaseDivisor = 4
	// LeaseRenewInterval is the renewal interval: a third of the TTL, so that one lost
	// renewal and one late one do not cost the leadership.
	LeaseRenewInterval = 800 * time.Millisecond
	// CampaignInterval is the pause between campaigns for leadership, before jitter.
	CampaignInterval = 300 * time.Millisecond
	// ResignBackoff is how long a leader that resigned because no worker reached it stays out
	// of elections; the others need at most the time of a lease.
	ResignBackoff = 12 * time.Second
	// ResignMissedHeartbeats is how many heartbeat intervals a leader of up to
	// ResignReferenceMachines machines may go without a heartbeat of any worker before it
	// resigns; with more machines the time is shorter in proportion, but at least
	// MinResignSilence: longer than connections that are lost all at once take to come back.
	ResignMissedHeartbeats  = 4
	ResignReferenceMachines = 16
	MinResignSilence        = 3 * time.Second
	// MinLeaderVoteInterval is the least time between two leaders that a controller votes out:
	// one that finds the next leader dead as well at once is likely to be wrong.
	MinLeaderVoteInterval = 10 * time.Second
	// MaxTermRevisionGap is by how many revisions a leader's term may be above our own to be
	// believed: days of changes at hundreds a second.
	MaxTermRevisionGap = 1 << 26
)

// Fencing tokens.
const (
	// FencingBits is the number of low bits of a fencing token, and of an attempt's number,
	// that a leader may count up by itself; 44 bits are left for the key-value store's
	// revisions.
	FencingBits = 20
	// MaxFencingCounterUse is the part of these counters after which a leader resigns; the next
	// term has all of them again. 4,000 machines with tasks of half a minute use up 2^20
	// attempts in an hour. What is left is for the starts of one tick.
	MaxFencingCounterUse = 15.0 / 16
)
