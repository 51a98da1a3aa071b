package tuning

import "time"

// Dealings with the state service.
const (
	// StoreTimeout bounds one request. Answers take milliseconds, at times a
	// few hundred.
	StoreTimeout = 1200 * time.Millisecond
	// WatchTimeout is how long one watch may wait at the service. Well under its
	// 60 s, so that a dead connection is noticed.
	WatchTimeout = 10 * time.Second
	// WatchTimeoutMargin is how much longer than WatchTimeout a watch may take.
	WatchTimeoutMargin = 3 * time.Second
	// MinWatchInterval is the least time between two watches, so that a busy store is
	// read in batches.
	MinWatchInterval = 40 * time.Millisecond
	// MinSyncInterval is the least pause between two reads of changes for polls; whoever
	// comes meanwhile shares the next, and waits half of it on average. SyncRateShare
	// is the share of the deployment's request rate that these reads take at the
	// most at all nodes together: polls may wait, the leader's writes may not.
	MinSyncInterval = 40 * time.Millisecond
	SyncRateShare   = 0.35
	// FollowerSyncInterval is how often a follower reads changes without being asked,
	// so that it never falls behind the 10,000 that the service keeps.
	FollowerSyncInterval = 5 * time.Second
	// LeaderSyncInterval is the same for the leader: its right to answer workers counts from
	// the last such read, and a zone that is cut off is kept alive for as much less.
	LeaderSyncInterval = 1 * time.Second
	// MaxListedConfirmations is how many of the cancellations that users were told of here a node
	// can list to a leader that the state service does not serve.
	MaxListedConfirmations = 1000
	// StoreRetryDelay is the pause after a refusal or a lost answer.
	StoreRetryDelay = 250 * time.Millisecond
	// StorePageSize is the page size of a full read, in items. 512 KiB a page is the
	// service's own bound.
	StorePageSize = 500
	// StoreReadRateShare is the share of the deployment's request rate that one node
	// takes at the most, and StoreWriteRateShare of the change rate that the leader
	// takes. What is left serves submissions at the other nodes.
	StoreReadRateShare  = 0.5
	StoreWriteRateShare = 0.8
	// MaxStoreResponseBytes bounds an answer of the state service, in bytes: pages have 512 KiB
	// at the most, changes no limit, and a controller's memory may be 125 MB.
	MaxStoreResponseBytes = 8 << 20
	// MaxStoreConns bounds connections to the state service.
	MaxStoreConns = 24
	// MaxCachedEndedJobs is how many ended jobs a node remembers to answer polls
	// without a read. About 150 bytes each.
	MaxCachedEndedJobs = 20000
)
