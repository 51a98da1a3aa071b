package tuning

import "time"

// Dealings with the state service.
const (
	// StateTimeout bounds one request. Answers take milliseconds, at times a
	// few hundred.
	StateTimeout = 1200 * time.Millisecond
	// WatchBlock is how long one watch may wait at the service. Well under its
	// 60 s, so that a dead connection is noticed.
	WatchBlock = 10 * time.Second
	// WatchSlack is how much longer than WatchBlock a watch may take.
	WatchSlack = 3 * time.Second
	// WatchGap is the least time between two watches, so that a busy store is
	// read in batches.
	WatchGap = 40 * time.Millisecond
	// SyncGap is the least pause between two reads of changes for polls; whoever
	// comes meanwhile shares the next, and waits half of it on average. SyncShare
	// is the share of the deployment's request rate that these reads take at the
	// most at all nodes together: polls may wait, the leader's writes may not.
	SyncGap   = 40 * time.Millisecond
	SyncShare = 0.35
	// FollowEvery is how often a follower reads changes without being asked,
	// so that it never falls behind the 10,000 that the service keeps.
	FollowEvery = 5 * time.Second
	// LeaderFresh is the same for the leader: its right to answer workers counts from
	// the last such read, and a zone that is cut off is kept alive for as much less.
	LeaderFresh = 1 * time.Second
	// ConfirmationsKept is how many of the cancellations that users were told of here a node
	// can list to a leader that the state service does not serve.
	ConfirmationsKept = 1000
	// StateRetry is the pause after a refusal or a lost answer.
	StateRetry = 250 * time.Millisecond
	// ReadPage is the page size of a full read, in items. 512 KiB a page is the
	// service's own bound.
	ReadPage = 500
	// ReadShare is the share of the deployment's request rate that one node
	// takes at the most, and WriteShare of the change rate that the leader
	// takes. What is left serves submissions at the other nodes.
	ReadShare  = 0.5
	WriteShare = 0.8
	// StateAnswer bounds an answer of the state service, in bytes: pages have 512 KiB
	// at the most, changes no limit, and a controller's memory may be 125 MB.
	StateAnswer = 8 << 20
	// StateConns bounds connections to the state service.
	StateConns = 24
	// JobsCached is how many ended jobs a node remembers to answer polls
	// without a read. About 150 bytes each.
	JobsCached = 20000
)
