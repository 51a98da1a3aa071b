package tuning

import "time"

// Cloud.
const (
	// CloudTimeout bounds one call.
	CloudTimeout = 6 * time.Second
	// MachineListInterval is the interval of full machine lists. They tell first that a
	// machine was taken without notice.
	MachineListInterval = 2 * time.Second
	// MachineListRateShare is the share of the cloud's rate that the lists take at the most.
	MachineListRateShare = 0.25
	// MissingListThreshold is how many lists in a row a machine has to be missing from
	// before it is given back for that: one list can be older than the last.
	MissingListThreshold = 2
	// MachineTypeInterval is the interval of price and type reads.
	MachineTypeInterval = 60 * time.Second
	// CloudRetryDelay is the pause after a refused call, doubled up to MaxCloudRetryDelay.
	CloudRetryDelay    = 1 * time.Second
	MaxCloudRetryDelay = 8 * time.Second
	// MinScaleOutInterval is the least time between two looks at what to rent.
	MinScaleOutInterval = 300 * time.Millisecond
	// MaxCapacityBackoff is how long a type, zone and kind is at most not asked for again
	// after the cloud had none, and MinCapacityBackoff at the least; CapacityRetryRateShare is the
	// share of the cloud's rate that asking for all of them again may take.
	MaxCapacityBackoff     = 12 * time.Second
	MinCapacityBackoff     = 2 * time.Second
	CapacityRetryRateShare = 0.3
	// MaxProvisionBatch and MaxReleaseBatch are the protocol's limits on one call.
	MaxProvisionBatch = 50
	MaxReleaseBatch   = 100
	// MachineListPageSize is the protocol's largest page of the machine list.
	MachineListPageSize = 500
)
