// Package tuning holds every constant of the program, each with its unit and
// the reason for its value. What an operator may set is in package policy and
// takes its default from here; what a deployment sets comes from its settings
// file and has no constant.
package tuning

import "time"

// Leadership.
const (
	// LeaderLeaseTTL is how long the leader's lease outlives its last renewal. Short,
	// because starts wait while no one leads; three renewals fit into it.
	LeaderLeaseTTL = 2500 * time.Millisecond
	// MaxLeaderLeaseTTL bounds the lease of a process with less than ReferenceCPUShare of a core,
	// which is longer in proportion. When thousands of workers come to a new leader at
	// once, 7% of a core is busy with them for four seconds, in which a renewal waits
	// its turn: a lease that ends meanwhile sends all of them to the next node. Much
	// longer, and a leader that falls silent holds starts up for longer than a restart.
	MaxLeaderLeaseTTL = 6 * time.Second
	// WorkerLeaseDivisor bounds it by the workers' leases as well, to one part of so many: two
	// leaders that end soon after each other leave the workers without an answer for two
	// leases of the lead and two elections, and their tasks must outlast that.
	WorkerLeaseDivisor = 4
	// LeaseRenewInterval is the renewal interval: a third of the TTL, so that one lost
	// renewal and one late one do not cost the lead.
	LeaseRenewInterval = 800 * time.Millisecond
	// CampaignInterval is the pause between tries to become leader, before jitter.
	CampaignInterval = 300 * time.Millisecond
	// ResignBackoff is how long a leader that resigned because no worker reached
	// it stays out of elections; the others need at most a lease's time.
	ResignBackoff = 12 * time.Second
	// FencingBits is the number of low bits of a token, and of an attempt's number, that
	// a leader may count up by itself; 44 bits are left for the state service's
	// revisions. 4,000 machines with tasks of half a minute use up 2^20 attempts in an
	// hour, so a leader whose counters have passed MaxFencingCounterUse of that resigns, and the
	// next term has all of them again. What is left is for the starts of one tick.
	FencingBits          = 20
	MaxFencingCounterUse = 15.0 / 16
	// MaxTermRevisionGap is by how many revisions a leader's term may be above our own to be
	// believed: days of changes at hundreds a second.
	MaxTermRevisionGap = 1 << 26
)
