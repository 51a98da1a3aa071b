package tuning

import "time"

// The leader's periodic work.
const (
	// TickInterval is the interval of the leader's ticks. Urgent work does not wait for a tick:
	// it is done when its event arrives.
	TickInterval = 200 * time.Millisecond
	// ProcessPauseThreshold is the time between two ticks above which the process counts as
	// paused. Ticks of a process that is merely busy are less late than that.
	ProcessPauseThreshold = 1500 * time.Millisecond
	// ScanIntervalPerMachine is multiplied by the number of machines to give the interval
	// between scans of all machines. A scan costs about as much as a placement round that has
	// nothing to place.
	ScanIntervalPerMachine = 50 * time.Microsecond
	// LoadLogInterval is the interval of the debug message about the cluster's load.
	LoadLogInterval = 10 * time.Second
	// RequestReportInterval is the interval of the message that counts users' requests that a
	// controller did not answer itself.
	RequestReportInterval = 10 * time.Second
	// RejectionLogInterval is the minimum time between two messages about transactions that the
	// key-value store rejected.
	RejectionLogInterval = 10 * time.Second
	// ReferenceCPUShare is the share of a core that the intervals of placement, scans and
	// scale-out are intended for. With a smaller share they are longer in proportion.
	ReferenceCPUShare = 0.2
)

// Peers: the other controllers.
const (
	// PeerPingInterval is the interval of pings between controllers, PeerTimeout bounds one
	// ping, and a peer that has not answered for PeerUnreachableAfter counts as unreachable.
	PeerPingInterval     = 700 * time.Millisecond
	PeerTimeout          = 1500 * time.Millisecond
	PeerUnreachableAfter = 2500 * time.Millisecond
	// MaxPeerResponseBytes bounds a peer's response. The leader's response holds the number of
	// running tasks for each job that has any, at about 14 bytes a job.
	MaxPeerResponseBytes = 8 << 20
	// IsolatedAfter is how long a controller must be without the key-value store and most peers
	// to count as isolated. It is longer than it takes to lose a lease and longer than most
	// brief outages, because a load balancer sends no requests to an isolated controller until
	// some time after the isolation has ended.
	IsolatedAfter = 4 * time.Second
	// PeerWatchTimeout is how long a controller holds back its answer to a peer's watch; the
	// peer notices the end of the process by the broken connection. PeerWatchRetryDelay is the
	// peer's pause before it watches again or checks in another way whether the process ended.
	PeerWatchTimeout    = 15 * time.Second
	PeerWatchRetryDelay = 50 * time.Millisecond
	// DeclinedPeerBackoff is how long no further request is forwarded to a peer that could not
	// decide one.
	DeclinedPeerBackoff = 400 * time.Millisecond
	// ForwardTimeout bounds a request that is forwarded to a peer.
	ForwardTimeout = 1100 * time.Millisecond
)

// Users' requests.
const (
	// SubmissionTimeout is how long the write of a submission or a cancellation to the key-value
	// store is tried. Users give up on a submission after 5 s.
	SubmissionTimeout = 2500 * time.Millisecond
	// HedgeDelay is how long a submission waits for the key-value store before a peer is asked
	// as well. Most of the store's answers take under 10 ms, and users expect an answer within
	// 200 ms.
	HedgeDelay = 100 * time.Millisecond
	// LocalQueryTimeout is how long a query waits at the controller that received it before it
	// is forwarded. Users wait 2 s in all.
	LocalQueryTimeout = 700 * time.Millisecond
	// MaxAnswerAge is the maximum time from when the read of a job's state was sent to the answer
	// with it, unless the state is final.
	MaxAnswerAge = 500 * time.Millisecond
	// FinalAnswerDelay is the time from when a final state was first seen to the answer with it. It
	// exceeds MaxAnswerAge by more than clocks drift and timers vary in that time.
	FinalAnswerDelay = MaxAnswerAge + 10*time.Millisecond
	// StaleAnswerRetryTime is how long a request whose answer is too old is served again. Users wait
	// 2 s for a query.
	StaleAnswerRetryTime = 1200 * time.Millisecond
	// HealthCheckTimeout is set by the protocol: how long a load balancer waits for the answer to a
	// health check.
	HealthCheckTimeout = time.Second
	// WithdrawalMemory is set by the protocol: a load balancer that removes a controller again within
	// this time keeps it out for twice as long. MaxWithdrawals is how often in a row a controller may
	// cause that by itself: the second time it is out for 6 s, the sixth time for a minute.
	WithdrawalMemory = 2 * time.Minute
	MaxWithdrawals   = 2
	// MaxUnansweredTime is set by the rules: how long all queries about an accepted job may fail after
	// the last fault.
	MaxUnansweredTime = 75 * time.Second
	// QueryGapExpiry is how long after the last failed query about a job the job no longer counts as
	// unanswered. Users poll every 5 s.
	QueryGapExpiry = 20 * time.Second
	// MaxQueryGaps bounds the jobs for which unanswered queries are tracked, at about 100 bytes each.
	MaxQueryGaps = 20000
	// RetryAfterS is the delay after which refused users are asked to retry, in seconds.
	RetryAfterS = 1
	// MaxQueriesAndCancelsInFlight and MaxSubmissionsInFlight bound the users' requests that are
	// handled concurrently. Queries and cancellations have priority over submissions.
	MaxQueriesAndCancelsInFlight = 200
	MaxSubmissionsInFlight       = 60
	// MaxSubmissionTickLag and MaxQueryAndCancelTickLag are how late a tick may be, or how long
	// requests may wait before they are read, before submissions, and before queries and
	// cancellations, are refused. Users wait 5 s for a submission and 2 s for a query. Workers
	// wait 4 s, but their tasks depend on the answer, so heartbeats are never refused for a late
	// tick.
	MaxSubmissionTickLag     = 400 * time.Millisecond
	MaxQueryAndCancelTickLag = 1200 * time.Millisecond
)
