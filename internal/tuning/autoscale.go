package tuning

import "time"

// Scale-out.
const (
	// MinScaleOutInterval is the least time between two decisions on what to provision.
	MinScaleOutInterval = 300 * time.Millisecond
	// MaxCapacityBackoff is how long a type, zone and kind is at most not requested again after
	// the cloud had no capacity, and MinCapacityBackoff at least; CapacityRetryRateShare is the
	// share of the cloud's rate that requesting all of them again may take.
	MaxCapacityBackoff     = 12 * time.Second
	MinCapacityBackoff     = 2 * time.Second
	CapacityRetryRateShare = 0.3
	// MaxProvisionBatch and MaxReleaseBatch are the protocol's limits on the machines of one
	// call.
	MaxProvisionBatch = 50
	MaxReleaseBatch   = 100
	// HeadroomShare is the free capacity that is kept ready where price is no objective, as a
	// share of what is in use.
	HeadroomShare = 0.5
	// CostSensitiveHeadroomShare is the same where price is an objective.
	CostSensitiveHeadroomShare = 0.0
	// LooseStartShare is the share of starts in time under which an objective on starts counts
	// as loose, and no headroom is kept for it.
	LooseStartShare = 0.9
	// LooseStartDelay is from which allowed delay on such an objective counts as loose too.
	LooseStartDelay = 10 * time.Second
)

// Scale-in.
const (
	// CostSensitiveIdleTimeout is how long an on-demand machine may be idle where scale-out
	// economises; a spot machine longer, by the ratio of the prices. It is about the time of
	// a boot, which is paid for too. Shorter trades deadlines for price one for one
	// (docs/limits.md).
	CostSensitiveIdleTimeout = 30 * time.Second
	// IdleTimeout is the same where price is no objective.
	IdleTimeout = 20 * time.Minute
	// BootTimeoutFactor is how many times its usual boot time a machine may take before it is
	// released; MinBootTimeout is the least, since some machines take several times as long.
	BootTimeoutFactor = 3.0
	MinBootTimeout    = 60 * time.Second
	// LateBootPercent is from which part of its usual boot time on, in percent, a machine is
	// late: most take up to one and a half times as long.
	LateBootPercent = 160
	// MissingListThreshold is how many machine lists in a row a machine has to be missing from
	// before it is released for that: one list can be older than the last.
	MissingListThreshold = 2
)
