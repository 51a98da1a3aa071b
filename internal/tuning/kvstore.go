package tuning

import "time"

// Calls to the key-value store.
const (
	// StoreTimeout bounds one request. Answers take milliseconds, at times a few hundred.
	StoreTimeout = 1200 * time.Millisecond
	// StoreRetryDelay is the pause after a refusal or a lost answer.
	StoreRetryDelay = 250 * time.Millisecond
	// StoreReadRateShare is the largest share of the deployment's request rate that one
	// controller takes, and StoreWriteRateShare of the write rate that the leader takes. What
	// is left serves submissions at the other controllers.
	StoreReadRateShare  = 0.5
	StoreWriteRateShare = 0.8
	// StorePageSize is the page size of a full read, in items. 512 KiB a page is the store's
	// own bound.
	StorePageSize = 500
	// MaxStoreResponseBytes bounds an answer of the store: pages have 512 KiB at most, changes
	// no limit, and a controller's memory may be 125 MB.
	MaxStoreResponseBytes = 8 << 20
	// MaxStoreConns bounds connections to the store.
	MaxStoreConns = 24
)

// Replication of the store's jobs to each controller.
const (
	// WatchTimeout is how long one watch may wait at the store. Well under its 60 s, so that a
	// dead connection is noticed.
	WatchTimeout = 10 * time.Second
	// WatchTimeoutMargin is how much longer than WatchTimeout a watch may take.
	WatchTimeoutMargin = 3 * time.Second
	// MinWatchInterval is the least time between two watches, so that a busy store is read in
	// batches.
	MinWatchInterval = 40 * time.Millisecond
	// MinSyncInterval is the least pause between two reads of changes for queries; a query that
	// comes meanwhile shares the next read, and waits half of the pause on average.
	MinSyncInterval = 40 * time.Millisecond
	// SyncRateShare is the largest share of the deployment's request rate that these reads take
	// at all controllers together: queries may wait, the leader's writes may not.
	SyncRateShare = 0.35
	// FollowerSyncInterval is how often a follower reads changes without a query, so that it
	// never falls behind the 10,000 that the store keeps.
	FollowerSyncInterval = 5 * time.Second
	// LeaderSyncInterval is the same for the leader: its right to answer workers counts from the
	// last such read, and a zone that is partitioned is kept alive for as much less.
	LeaderSyncInterval = 1 * time.Second
	// MaxCachedEndedJobs is how many ended jobs a controller remembers to answer queries without
	// a read. About 150 bytes each.
	MaxCachedEndedJobs = 20000
	// MaxListedConfirmations is how many of the cancellations that it confirmed to users a
	// controller can list to a leader that the store does not serve.
	MaxListedConfirmations = 1000
)
