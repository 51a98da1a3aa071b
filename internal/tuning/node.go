package tuning

import "time"

// Node.
const (
	// TickEvery is the pace of the leader's housekeeping. Everything urgent is
	// done when its event arrives.
	TickEvery = 200 * time.Millisecond
	// ProcessPause is how far apart two ticks have to be for the process to have stood
	// still: a busy one falls behind by less.
	ProcessPause = 1500 * time.Millisecond
	// LoadLine is the interval of the line on the cluster's load, at debug.
	LoadLine = 10 * time.Second
	// PlaceGap is the least time between two placement rounds, to batch
	// arrivals and finished tasks.
	PlaceGap = 15 * time.Millisecond
	// PlaceGapMachine is added to it for each machine, since each is looked at.
	PlaceGapMachine = 50 * time.Microsecond
	// LookGapMachine is the same for ticks that look at every machine, which cost about
	// as much as a round of placement that has nothing to place.
	LookGapMachine = 50 * time.Microsecond
	// UsualShare is the share of a core for which these are meant, as are the times
	// between two looks at what to rent. With less, they are longer by as much.
	UsualShare = 0.2
	// PeerEvery is the interval of pings between nodes, PeerTimeout the bound
	// on one, and PeerDead how long without an answer makes a peer unreachable.
	PeerEvery   = 700 * time.Millisecond
	PeerTimeout = 1500 * time.Millisecond
	PeerDead    = 2500 * time.Millisecond
	// PeerAnswer bounds a peer's answer, in bytes. The leader's has the number of running
	// tasks of each job that has some, at about 14 bytes a job.
	PeerAnswer = 8 << 20
	// VoteGap is the least time between two leaders that a node votes out: who
	// finds the next one dead as well at once is likely to be wrong.
	VoteGap = 10 * time.Second
	// CutAfter is how long a node has been without the state service and most
	// peers when it counts as cut off. Longer than a lost lease and than most
	// hiccups, since a load balancer holds up its return.
	CutAfter = 4 * time.Second
	// HoldFor is how long a node holds the answer by which its peers notice its
	// end, and HoldGap the pause before they ask again or look closer.
	HoldFor = 15 * time.Second
	HoldGap = 50 * time.Millisecond
	// KeepaliveMargin is taken off the time for which a follower keeps the
	// workers of a cut zone alive, see Node.KeepaliveBound: for clocks that drift
	// and timers that fire late. Cancellations that were not seen through when the
	// cut began need none, since that time counts from before them.
	KeepaliveMargin = 1 * time.Second
	// SilentIntervals is how many report intervals a leader of up to SilentMachines
	// machines may go without hearing from any worker before it resigns; with more,
	// the time is shorter by as much, but SilentLeast at the least: longer than
	// connections that are lost all at once take to come back.
	SilentIntervals = 4
	SilentMachines  = 16
	SilentLeast     = 3 * time.Second
	// SubmitPatience is how long a submission may be tried at the state service
	// before it is refused; users give up after 5 s.
	SubmitPatience = 2500 * time.Millisecond
	// HedgeAfter is how long a submission waits for the state service before a
	// peer is asked too. Most answers take under 10 ms; users want 200 ms.
	HedgeAfter = 100 * time.Millisecond
	// QueryPatience is how long a poll waits here before it is passed on; users
	// wait 2 s in all.
	QueryPatience = 700 * time.Millisecond
	// AnswerWithin is how soon after it was read a job's state is told: a process that
	// stood still in between reads it again. Running goroutines take far less.
	AnswerWithin = 500 * time.Millisecond
	// PeerUnable is how long a peer that could not decide is left alone.
	PeerUnable = 400 * time.Millisecond
	// ForwardTimeout bounds a request passed to a peer.
	ForwardTimeout = 1100 * time.Millisecond
	// RetryAfter is what refused users are told to wait, in seconds.
	RetryAfter = 1
	// DecisionsInFlight and SubmissionsInFlight bound concurrent work for
	// users; cancellations and polls rank above submissions.
	DecisionsInFlight   = 200
	SubmissionsInFlight = 60
	// LagSubmissions and LagDecisions are how late a tick may come before
	// submissions, and before polls and cancellations, are refused. Users wait
	// 5 s for the former and 2 s for a poll; workers wait 4 s, and their tasks
	// hang on it, so they are never refused for it.
	LagSubmissions = 400 * time.Millisecond
	LagDecisions   = 1200 * time.Millisecond
	// SocketShare is the share of the platform's socket limit that the user
	// and worker listener may hold, one for each machine and user; the rest is for
	// our own calls. Of that, SocketsKept are for the state service, the cloud and
	// the peers, and direct calls to machines get the others, at least DirectLeast
	// and at most DirectMost at once.
	SocketShare = 0.8
	SocketsKept = 96
	DirectLeast = 32
	DirectMost  = 1024
	// Crowded is from which part of the listener's connections on users are asked to
	// close theirs after each answer, so that workers, who rank first, find room.
	Crowded = 0.85
	// RecordsLate is how long a start may wait for its record before that is said.
	RecordsLate = 5 * time.Second
	// Settings below these are named at the start: memory for a fleet of hundreds,
	// in MB, and a job's record beside its done bits, in KiB.
	MemoryLeast = 64
	RecordKB    = 1.5
	// IdleConn is how long an idle connection is kept. Users poll every 5 s,
	// workers report every few seconds.
	IdleConn = 30 * time.Second
	// RequestsAtOnce is how many requests a server reads, or handles without waiting, at
	// once: a process has one processor at a time, and what is begun beside the first only
	// lengthens the queue that the lease's renewal waits in.
	RequestsAtOnce = 2
	// AcceptRetry is the pause after a connection could not be taken for want of sockets.
	AcceptRetry = 20 * time.Millisecond
	// ConnBytes is what an open connection that waits for a request holds, in bytes: a
	// stack of 4 KiB, ConnBuffer, and some 2 KiB of the runtime's and our own. A test
	// measures it. ConnMemoryShare is the part of the platform's memory limit that
	// connections may take together, with the room between two collections: thousands of
	// workers may all come to one node, and there must be as much left to recover in.
	// ConnsLeast is how many are taken however little there is.
	ConnBytes       = 8 << 10
	ConnMemoryShare = 0.5
	ConnsLeast      = 16
	// ReportCost is what a worker's report takes of the processor with all that follows
	// from it, system calls, packets, starts and rounds included, and ReportsPerInterval
	// how many come from a machine in a report interval, those with news included: a
	// leader of 2150 machines used 58 ms a second for 350 reports.
	ReportCost         = 150 * time.Microsecond
	ReportsPerInterval = 1.6
	// ConnBuffer is a connection's read buffer, in bytes: most requests fit into it whole,
	// and each open connection holds one.
	ConnBuffer = 1 << 10
	// HeadBytes bounds a request's head and RequestBytes what follows: the protocol's
	// largest body, in chunks of a few bytes at worst.
	HeadBytes    = 8 << 10
	RequestBytes = 256 << 10
	// DrainBytes is how much of a body that its handler left is read to keep the
	// connection; after more it is closed.
	DrainBytes = 4 << 10
	// LingerFor is how long a connection that is closed with something unread is read on,
	// so that its reset does not overtake the answer.
	LingerFor = 500 * time.Millisecond
	// PooledBytes bounds the buffers that are kept for the next answer.
	PooledBytes = 16 << 10
	// HeaderTimeout and BodyTimeout bound how long a slow client may take.
	HeaderTimeout = 4 * time.Second
	BodyTimeout   = 4 * time.Second
	// MemoryShare is the share of the platform's memory limit given to the Go
	// runtime as its soft limit; the rest covers what it does not count.
	MemoryShare = 0.7
	// GCPercent lets the heap grow this much between collections.
	GCPercent = 200
)
