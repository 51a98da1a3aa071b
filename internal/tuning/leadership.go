package tuning

import "time"

// The leader's lease and elections.
const (
	// LeaderLeaseTTL is how long the leader's lease lasts after its last renewal. It is short,
	// because starts wait while there is no leader, and has room for three renewals.
	LeaderLeaseTTL = 2500 * time.Millisecond
	// MaxLeaderLeaseTTL bounds the lease of a process with less than ReferenceCPUShare of a
	// core, whose lease is longer in proportion. When thousands of workers connect to a new
	// leader at once, 7% of a core is busy with them for four seconds, and lease renewals wait
	// meanwhile. If the lease expires in that time, all workers move on to the next controller.
	// With a much longer lease, the failure of a leader would delay starts for longer than a
	// restart takes.
	MaxLeaderLeaseTTL = 6 * time.Second
	// WorkerLeaseDivisor also bounds such a longer lease, to the workers' lease divided by it, but
	// to no less than LeaderLeaseTTL. If two leaders fail shortly after each other, workers get no
	// answer for two leader leases and two elections, and their tasks must survive that.
	WorkerLeaseDivisor = 4
	// ReferenceFleet is the number of machines whose first heartbeats a new leader with
	// ReferenceCPUShare of a core handles in the part of LeaderLeaseTTL that a renewal leaves.
	// For a larger fleet the CPU share counts as smaller in proportion, see EffectiveCPUShare in
	// package scheduler.
	ReferenceFleet = float64(LeaderLeaseTTL-LeaseRenewInterval) / float64(HeartbeatCPUCost) * ReferenceCPUShare
	// LeaseRenewInterval is the renewal interval: about a third of LeaderLeaseTTL, so that one
	// lost renewal and one late renewal do not cost the leadership.
	LeaseRenewInterval = 800 * time.Millisecond
	// CampaignInterval is the pause between campaigns for leadership, before jitter.
	CampaignInterval = 300 * time.Millisecond
	// ResignBackoff is how long a leader that resigned because no worker reached it stays out
	// of elections. The other controllers need at most the duration of a lease to elect one.
	ResignBackoff = 12 * time.Second
	// ResignMissedHeartbeats is the number of heartbeat intervals without a heartbeat from any
	// worker after which a leader of up to ResignReferenceMachines machines resigns. With more
	// machines the time is shorter in proportion, but at least MinResignSilence, which is
	// longer than workers need to reconnect after all connections were lost at once.
	ResignMissedHeartbeats  = 4
	ResignReferenceMachines = 16
	MinResignSilence        = 3 * time.Second
	// MinLeaderRevocationInterval is the minimum time between two revocations of a leader's
	// lease by one controller. A controller that finds the next leader dead at once as well is
	// likely to be wrong.
	MinLeaderRevocationInterval = 10 * time.Second
	// MaxTermRevisionGap is how far a leader's term may be above this leader's own term and
	// still be believed, in revisions of the key-value store: days of changes at hundreds a second.
	MaxTermRevisionGap = 1 << 26
)

// Fencing tokens.
const (
	// FencingBits is the number of low bits of a fencing token, and of an attempt's number,
	// that a leader increments by itself. The other 44 bits hold a revision of the key-value
	// store.
	FencingBits = 20
	// MaxFencingCounterShare is the share of these counters after which a leader resigns; in the
	// next term they start again from zero. 4,000 machines with tasks of half a minute use up
	// 2^20 attempts in an hour. The rest of the counters is for the starts of one tick.
	MaxFencingCounterShare = 15.0 / 16
)
