package tuning

import "time"

// Cloud.
const (
	// CloudTimeout bounds one call.
	CloudTimeout = 6 * time.Second
	// ListEvery is the interval of full machine lists. They tell first that a
	// machine was taken without notice.
	ListEvery = 2 * time.Second
	// ListShare is the share of the cloud's rate that the lists take at the most.
	ListShare = 0.25
	// MissingLists is how many lists in a row a machine has to be missing from
	// before it is given back for that: one list can be older than the last.
	MissingLists = 2
	// TypesEvery is the interval of price and type reads.
	TypesEvery = 60 * time.Second
	// CloudRetry is the pause after a refused call, doubled up to CloudRetryMax.
	CloudRetry    = 1 * time.Second
	CloudRetryMax = 8 * time.Second
	// RentGap is the least time between two looks at what to rent.
	RentGap = 300 * time.Millisecond
	// CapacityPause is how long a type, zone and kind is at most not asked for again
	// after the cloud had none, and CapacityPauseLeast at the least; RentShare is the
	// share of the cloud's rate that asking for all of them again may take.
	CapacityPause      = 12 * time.Second
	CapacityPauseLeast = 2 * time.Second
	RentShare          = 0.3
	// RentMax and ReleaseMax are the protocol's limits on one call.
	RentMax    = 50
	ReleaseMax = 100
	// ListPage is the protocol's largest page of the machine list.
	ListPage = 500
)
