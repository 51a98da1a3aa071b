package tuning

import "time"

// Node.
const (
	// TickInterval is the pace of the leader's housekeeping. Everything urgent is
	// done when its event arrives.
	TickInterval = 200 * time.Millisecond
	// ProcessPauseThreshold is how far apart two ticks have to be for the process to have stood
	// still: a busy one falls behind by less.
	ProcessPauseThreshold = 1500 * time.Millisecond
	// LoadLogInterval is the interval of the line on the cluster's load, at debug.
	LoadLogInterval = 10 * time.Second
	// MinPlacementInterval is the least time between two placement rounds, to batch
	// arrivals and finished tasks.
	MinPlacementInterval = 15 * time.Millisecond
	// PlacementIntervalPerMachine is added to it for each machine, since each is looked at.
	PlacementIntervalPerMachine = 50 * time.Microsecond
	// ScanIntervalPerMachine is the same for ticks that look at every machine, which cost about
	// as much as a round of placement that has nothing to place.
	ScanIntervalPerMachine = 50 * time.Microsecond
	// ReferenceCPUShare is the share of a core for which these are meant, as are the times
	// between two looks at what to rent. With less, they are longer by as much.
	ReferenceCPUShare = 0.2
	// PeerPingInterval is the interval of pings between nodes, PeerTimeout the bound
	// on one, and PeerUnreachableAfter how long without an answer makes a peer unreachable.
	PeerPingInterval     = 700 * time.Millisecond
	PeerTimeout          = 1500 * time.Millisecond
	PeerUnreachableAfter = 2500 * time.Millisecond
	// MaxPeerResponseBytes bounds a peer's answer, in bytes. The leader's has the number of running
	// tasks of each job that has some, at about 14 bytes a job.
	MaxPeerResponseBytes = 8 << 20
	// MinLeaderVoteInterval is the least time between two leaders that a node votes out: who
	// finds the next one dead as well at once is likely to be wrong.
	MinLeaderVoteInterval = 10 * time.Second
	// IsolatedAfter is how long a node has been without the state service and most
	// peers when it counts as cut off. Longer than a lost lease and than most
	// hiccups, since a load balancer holds up its return.
	IsolatedAfter = 4 * time.Second
	// PeerWatchTimeout is how long a node holds the answer by which its peers notice its
	// end, and PeerWatchRetryDelay the pause before they ask again or look closer.
	PeerWatchTimeout    = 15 * time.Second
	PeerWatchRetryDelay = 50 * time.Millisecond
	// KeepaliveMargin is taken off the time for which a follower keeps the
	// workers of a cut zone alive, see Node.KeepaliveBound: for clocks that drift
	// and timers that fire late. Cancellations that were not seen through when the
	// cut began need none, since that time counts from before them.
	KeepaliveMargin = 1 * time.Second
	// ResignMissedHeartbeats is how many report intervals a leader of up to ResignReferenceMachines
	// machines may go without hearing from any worker before it resigns; with more,
	// the time is shorter by as much, but MinResignSilence at the least: longer than
	// connections that are lost all at once take to come back.
	ResignMissedHeartbeats  = 4
	ResignReferenceMachines = 16
	MinResignSilence        = 3 * time.Second
	// SubmissionTimeout is how long a submission may be tried at the state service
	// before it is refused; users give up after 5 s.
	SubmissionTimeout = 2500 * time.Millisecond
	// HedgeDelay is how long a submission waits for the state service before a
	// peer is asked too. Most answers take under 10 ms; users want 200 ms.
	HedgeDelay = 100 * time.Millisecond
	// LocalQueryTimeout is how long a poll waits here before it is passed on; users
	// wait 2 s in all.
	LocalQueryTimeout = 700 * time.Millisecond
	// MaxAnswerAge is how soon after it was read a job's state is told: a process that
	// stood still in between reads it again. Running goroutines take far less.
	MaxAnswerAge = 500 * time.Millisecond
	// UnablePeerBackoff is how long a peer that could not decide is left alone.
	UnablePeerBackoff = 400 * time.Millisecond
	// ForwardTimeout bounds a request passed to a peer.
	ForwardTimeout = 1100 * time.Millisecond
	// RetryAfterS is what refused users are told to wait, in seconds.
	RetryAfterS = 1
	// MaxDecisionsInFlight and MaxSubmissionsInFlight bound concurrent work for
	// users; cancellations and polls rank above submissions.
	MaxDecisionsInFlight   = 200
	MaxSubmissionsInFlight = 60
	// MaxSubmissionTickLag and MaxDecisionTickLag are how late a tick may come before
	// submissions, and before polls and cancellations, are refused. Users wait
	// 5 s for the former and 2 s for a poll; workers wait 4 s, and their tasks
	// hang on it, so they are never refused for it.
	MaxSubmissionTickLag = 400 * time.Millisecond
	MaxDecisionTickLag   = 1200 * time.Millisecond
	// ListenerSocketShare is the share of the platform's socket limit that the user
	// and worker listener may hold, one for each machine and user; the rest is for
	// our own calls. Of that, ReservedSockets are for the state service, the cloud and
	// the peers, and direct calls to machines get the others, at least MinWorkerCalls
	// and at most MaxWorkerCalls at once.
	ListenerSocketShare = 0.8
	ReservedSockets     = 96
	MinWorkerCalls      = 32
	MaxWorkerCalls      = 1024
	// CrowdedListenerShare is from which part of the listener's connections on users are asked to
	// close theirs after each answer, so that workers, who rank first, find room.
	CrowdedListenerShare = 0.85
	// LateRecordAfter is how long a start may wait for its record before that is said.
	LateRecordAfter = 5 * time.Second
	// Settings below these are named at the start: memory for a fleet of hundreds,
	// in MB, and a job's record beside its done bits, in KiB.
	MinMemoryMB  = 64
	JobRecordKiB = 1.5
	// IdleConnTimeout is how long an idle connection is kept. Users poll every 5 s,
	// workers report every few seconds.
	IdleConnTimeout = 30 * time.Second
	// MaxConcurrentRequests is how many requests a server reads, or handles without waiting, at
	// once: a process has one processor at a time, and what is begun beside the first only
	// lengthens the queue that the lease's renewal waits in.
	MaxConcurrentRequests = 2
	// AcceptRetryDelay is the pause after a connection could not be taken for want of sockets.
	AcceptRetryDelay = 20 * time.Millisecond
	// BytesPerConn is what an open connection that waits for a request holds, in bytes: a
	// stack of 4 KiB, ConnReadBufferBytes, and some 2 KiB of the runtime's and our own. A test
	// measures it. ConnMemoryShare is the part of the platform's memory limit that
	// connections may take together, with the room between two collections: thousands of
	// workers may all come to one node, and there must be as much left to recover in.
	// MinConns is how many are taken however little there is.
	BytesPerConn    = 8 << 10
	ConnMemoryShare = 0.5
	MinConns        = 16
	// HeartbeatCPUCost is what a worker's report takes of the processor with all that follows
	// from it, system calls, packets, starts and rounds included, and HeartbeatsPerInterval
	// how many come from a machine in a report interval, those with news included: a
	// leader of 2150 machines used 58 ms a second for 350 reports.
	HeartbeatCPUCost      = 150 * time.Microsecond
	HeartbeatsPerInterval = 1.6
	// ConnReadBufferBytes is a connection's read buffer, in bytes: most requests fit into it whole,
	// and each open connection holds one.
	ConnReadBufferBytes = 1 << 10
	// MaxHeaderBytes bounds a request's head and MaxRequestBytes what follows: the protocol's
	// largest body, in chunks of a few bytes at worst.
	MaxHeaderBytes  = 8 << 10
	MaxRequestBytes = 256 << 10
	// MaxDrainBytes is how much of a body that its handler left is read to keep the
	// connection; after more it is closed.
	MaxDrainBytes = 4 << 10
	// LingerTimeout is how long a connection that is closed with something unread is read on,
	// so that its reset does not overtake the answer.
	LingerTimeout = 500 * time.Millisecond
	// MaxPooledBytes bounds the buffers that are kept for the next answer.
	MaxPooledBytes = 16 << 10
	// HeaderTimeout and BodyTimeout bound how long a slow client may take.
	HeaderTimeout = 4 * time.Second
	BodyTimeout   = 4 * time.Second
	// MemoryLimitShare is the share of the platform's memory limit given to the Go
	// runtime as its soft limit; the rest covers what it does not count.
	MemoryLimitShare = 0.7
	// GCPercent lets the heap grow this much between collections.
	GCPercent = 200
)
