package tuning

import "time"

// Scale-out.
const (
	// MinScaleOutInterval is the minimum time between two decisions on what to provision.
	MinScaleOutInterval = 300 * time.Millisecond
	// MaxCapacityBackoff and MinCapacityBackoff bound how long an offer (a machine type in a
	// zone, spot or on-demand) is not requested again after the cloud had no capacity for it.
	// CapacityRetryRateShare is the share of the cloud's request rate that repeated requests
	// for all offers together may take.
	MaxCapacityBackoff     = 12 * time.Second
	MinCapacityBackoff     = 2 * time.Second
	CapacityRetryRateShare = 0.3
	// MaxProvisionBatch and MaxReleaseBatch are the protocol's limits on the machines of one
	// call.
	MaxProvisionBatch = 50
	MaxReleaseBatch   = 100
	// HeadroomShare is the free capacity that is kept ready in a deployment that is not
	// cost-sensitive (see CostSensitive in package config), as a share of the capacity in use.
	HeadroomShare = 0.5
	// CostSensitiveHeadroomShare is the same share in a cost-sensitive deployment.
	CostSensitiveHeadroomShare = 0.0
	// LooseStartShare is the share of starts in time below which an objective on starts counts
	// as loose. No headroom is kept for loose objectives.
	LooseStartShare = 0.9
	// LooseStartDelay is the allowed start delay from which such an objective counts as loose
	// whatever its share.
	LooseStartDelay = 10 * time.Second
)

// Scale-in.
const (
	// CostSensitiveIdleTimeout is how long an on-demand machine may be idle in a cost-sensitive
	// deployment. The timeout of a spot machine is longer, by the ratio of the prices. It is
	// about the duration of a boot, which is paid for too. A shorter timeout trades missed
	// deadlines for a lower price one for one (docs/limits.md).
	CostSensitiveIdleTimeout = 30 * time.Second
	// IdleTimeout is how long a machine may be idle in a deployment that is not cost-sensitive.
	IdleTimeout = 20 * time.Minute
	// BootTimeoutFactor is the multiple of its usual boot time after which a booting machine is
	// released. MinBootTimeout is the minimum boot timeout, because some machines take several
	// times as long as usual. It is also the usual boot time that is assumed for a machine whose
	// type is not known.
	BootTimeoutFactor = 3.0
	MinBootTimeout    = 60 * time.Second
	// LateBootPercent is the percentage of its usual boot time after which a booting machine
	// counts as late. Most boots take up to 150% of it.
	LateBootPercent = 160
	// MissingListThreshold is the number of consecutive machine lists that a machine must be
	// missing from before it is released for that reason. One is not enough, because a list can
	// be older than the list before it.
	MissingListThreshold = 2
)
