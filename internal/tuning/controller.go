package tuning

import "time"

// The leader's periodic work.
const (
	// TickInterval is the interval of the leader's ticks. Everything urgent is done when its
	// event arrives.
	TickInterval = 200 * time.Millisecond
	// ProcessPauseThreshold is how far apart two ticks have to be to count as a pause of the
	// process: a busy one falls behind by less.
	ProcessPauseThreshold = 1500 * time.Millisecond
	// ScanIntervalPerMachine is added to the interval of ticks that scan every machine for each
	// machine. A scan costs about as much as a round of placement that has nothing to place.
	ScanIntervalPerMachine = 50 * time.Microsecond
	// LoadLogInterval is the interval of the debug message on the cluster's load.
	LoadLogInterval = 10 * time.Second
	// ReferenceCPUShare is the share of a core for which the intervals of placement, scans and
	// scale-out are meant. With less, they are longer in proportion.
	ReferenceCPUShare = 0.2
)

// Peers: the other controllers.
const (
	// PeerPingInterval is the interval of pings between controllers, PeerTimeout the bound on
	// one, and PeerUnreachableAfter how long without an answer makes a peer unreachable.
	PeerPingInterval     = 700 * time.Millisecond
	PeerTimeout          = 1500 * time.Millisecond
	PeerUnreachableAfter = 2500 * time.Millisecond
	// MaxPeerResponseBytes bounds a peer's answer. The leader's has the number of running tasks
	// of each job that has some, at about 14 bytes a job.
	MaxPeerResponseBytes = 8 << 20
	// IsolatedAfter is how long a controller has been without the key-value store and most
	// peers when it counts as isolated. Longer than a lost lease and than most hiccups, since
	// a load balancer delays its return.
	IsolatedAfter = 4 * time.Second
	// PeerWatchTimeout is how long a controller delays the answer by which its peers notice its
	// end, and PeerWatchRetryDelay the pause before they ask again or check it otherwise.
	PeerWatchTimeout    = 15 * time.Second
	PeerWatchRetryDelay = 50 * time.Millisecond
	// UnablePeerBackoff is how long a peer that could not decide a request gets no other.
	UnablePeerBackoff = 400 * time.Millisecond
	// ForwardTimeout bounds a request that is forwarded to a peer.
	ForwardTimeout = 1100 * time.Millisecond
)

// Users' requests.
const (
	// SubmissionTimeout is how long a submission is tried at the key-value store before it is
	// refused; users give up after 5 s.
	SubmissionTimeout = 2500 * time.Millisecond
	// HedgeDelay is how long a submission waits for the key-value store before a peer is asked
	// too. Most answers take under 10 ms; users want 200 ms.
	HedgeDelay = 100 * time.Millisecond
	// LocalQueryTimeout is how long a query waits here before it is forwarded; users wait 2 s
	// in all.
	LocalQueryTimeout = 700 * time.Millisecond
	// MaxAnswerAge is how long after it was read a job's state may be answered: a process that
	// was paused in between reads it again. Running goroutines take far less.
	MaxAnswerAge = 500 * time.Millisecond
	// RetryAfterS is when refused users are asked to retry, in seconds.
	RetryAfterS = 1
	// MaxDecisionsInFlight and MaxSubmissionsInFlight bound concurrent work for users;
	// cancellations and queries rank above submissions.
	MaxDecisionsInFlight   = 200
	MaxSubmissionsInFlight = 60
	// MaxSubmissionTickLag and MaxDecisionTickLag are how late a tick may come before
	// submissions, and before queries and cancellations, are refused. Users wait 5 s for the
	// former and 2 s for a query; workers wait 4 s, and their tasks depend on it, so they are
	// never refused for it.
	MaxSubmissionTickLag = 400 * time.Millisecond
	MaxDecisionTickLag   = 1200 * time.Millisecond
)
