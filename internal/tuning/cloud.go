package tuning

import "time"

// Calls to the cloud.
const (
	// CloudTimeout bounds one call.
	CloudTimeout = 6 * time.Second
	// CloudRetryDelay is the base of the pause after a failed call. Each further failed read of
	// machines or machine types doubles the pause, up to MaxCloudRetryDelay.
	CloudRetryDelay    = 1 * time.Second
	MaxCloudRetryDelay = 8 * time.Second
	// MachineListInterval is the minimum interval between reads of the full machine list, which
	// is longer where MachineListRateShare does not allow so many reads. The list is the first
	// sign that a machine was taken without an interruption notice.
	MachineListInterval = 2 * time.Second
	// MachineListRateShare is the largest share of the cloud's request rate that reads of the
	// machine list take.
	MachineListRateShare = 0.25
	// MachineListPageSize is the protocol's largest page of the machine list, in machines.
	MachineListPageSize = 500
	// MachineTypeInterval is the interval between reads of machine types and prices.
	MachineTypeInterval = 60 * time.Second
)
