package tuning

import "time"

// Calls to the key-value store.
const (
	// StoreTimeout bounds one request. Answers take milliseconds, occasionally a few hundred.
	StoreTimeout = 1200 * time.Millisecond
	// StoreRetryDelay is the pause after a refusal or a lost answer.
	StoreRetryDelay = 250 * time.Millisecond
	// RejectionIsolation is how long each write of the leader gets a transaction of its own after
	// the store has rejected a transaction as too large. MaxRejectionBackoff bounds the pause
	// before a write is tried again that was rejected although it was alone.
	RejectionIsolation  = 2 * time.Second
	MaxRejectionBackoff = time.Minute
	// LimitRaiseDelay is the time without rejections after which the leader doubles limits that it
	// has lowered. It doubles each time that this leads to a rejection, up to MaxLimitRaiseDelay.
	LimitRaiseDelay    = 30 * time.Second
	MaxLimitRaiseDelay = 10 * time.Minute
	// StoreRequestRateShare is the largest share of the deployment's request rate that one
	// controller takes on average. StoreWriteRateShare is the largest share of the write rate
	// that the leader takes. The rest is for submissions at the other controllers.
	StoreRequestRateShare = 0.5
	StoreWriteRateShare   = 0.8
	// MinWriteRate is the lowest estimate of the store's write rate, in changes a second. With each
	// refusal, at most once in each WriteRateInterval, the estimate falls to the share
	// WriteRateDecrease of itself; each second of accepted writes raises it by the share
	// WriteRateIncrease of the deployment's rate.
	MinWriteRate      = 2.0
	WriteRateInterval = time.Second
	WriteRateDecrease = 0.75
	WriteRateIncrease = 0.02
	// StorePageSize is the page size of a full read, in items. The store itself bounds a page
	// at 512 KiB.
	StorePageSize = 500
	// MaxStoreResponseBytes bounds a response of the store. Pages have at most 512 KiB, but
	// lists of changes are unlimited, and a controller may have only 125 MB of memory.
	MaxStoreResponseBytes = 8 << 20
	// MaxStoreConns bounds the number of connections to the store.
	MaxStoreConns = 24
)

// Replication of the store's jobs to each controller.
const (
	// WatchTimeout is how long one watch may wait at the store. It is well under the store's
	// limit of 60 s, so that a dead connection is noticed early.
	WatchTimeout = 10 * time.Second
	// WatchTimeoutMargin is how much longer than WatchTimeout a watch call may take.
	WatchTimeoutMargin = 3 * time.Second
	// MinWatchInterval is the minimum time between two watches, so that the changes of a busy
	// store are read in batches.
	MinWatchInterval = 40 * time.Millisecond
	// MinSyncInterval is the minimum pause between two reads of changes for queries. A query
	// that arrives during the pause shares the next read, and waits half of the pause on
	// average.
	MinSyncInterval = 40 * time.Millisecond
	// SyncRateShare is the largest share of the deployment's request rate that the reads of
	// changes for queries take, at all controllers together. Queries may wait; the leader's
	// writes may not.
	SyncRateShare = 0.35
	// FollowerSyncInterval is the interval at which a follower reads changes even without a
	// query, so that it never falls behind the 10,000 changes that the store keeps.
	FollowerSyncInterval = 5 * time.Second
	// LeaderSyncInterval is the same interval at the leader. The leader may answer workers for
	// a limited time after its last such read, so a longer interval shortens the time for which
	// a partitioned zone is kept alive by as much.
	LeaderSyncInterval = 1 * time.Second
	// MaxCachedEndedJobs is how many ended jobs a controller keeps in memory, at about 150 bytes
	// each, to answer queries without a read.
	MaxCachedEndedJobs = 20000
	// MaxListedConfirmations is how many of the cancellations that it confirmed to users a
	// controller can list to a leader that cannot reach the store.
	MaxListedConfirmations = 1000
)
