// Package tuning holds every constant of the program, each with its unit and
// the reason for its value. What an operator may set is in package policy and
// takes its default from here; what a deployment sets comes from its settings
// file and has no constant.
package tuning

import "time"

// Leadership.
const (
	// LeaseTTL is how long the leader's lease outlives its last renewal. Short,
	// because starts wait while no one leads; three renewals fit into it.
	LeaseTTL = 2500 * time.Millisecond
	// LeaseTTLMost bounds the lease of a process with less than UsualShare of a core,
	// which is longer in proportion. When thousands of workers come to a new leader at
	// once, 7% of a core is busy with them for four seconds, in which a renewal waits
	// its turn: a lease that ends meanwhile sends all of them to the next node. Much
	// longer, and a leader that falls silent holds starts up for longer than a restart.
	LeaseTTLMost = 6 * time.Second
	// LeaseTTLPart bounds it by the workers' leases as well, to one part of so many: two
	// leaders that end soon after each other leave the workers without an answer for two
	// leases of the lead and two elections, and their tasks must outlast that.
	LeaseTTLPart = 4
	// RenewEvery is the renewal interval: a third of the TTL, so that one lost
	// renewal and one late one do not cost the lead.
	RenewEvery = 800 * time.Millisecond
	// CampaignWait is the pause between tries to become leader, before jitter.
	CampaignWait = 300 * time.Millisecond
	// ResignPause is how long a leader that resigned because no worker reached
	// it stays out of elections; the others need at most a lease's time.
	ResignPause = 12 * time.Second
	// FenceBits is the number of low bits of a token, and of an attempt's number, that
	// a leader may count up by itself; 44 bits are left for the state service's
	// revisions. 4,000 machines with tasks of half a minute use up 2^20 attempts in an
	// hour, so a leader whose counters have passed CountersUsed of that resigns, and the
	// next term has all of them again. What is left is for the starts of one tick.
	FenceBits    = 20
	CountersUsed = 15.0 / 16
	// TermAhead is by how many revisions a leader's term may be above our own to be
	// believed: days of changes at hundreds a second.
	TermAhead = 1 << 26
)

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

// Records in the state service.
const (
	// ValueSlack is the part of the value limit that records leave unused, for
	// the difference between our measure and the service's.
	ValueSlack = 0.1
	// BitmapTasks is how many tasks' done bits one value holds: base64 of 8192
	// bits takes 1.4 KB, which fits the smallest value limit with the job.
	BitmapTasks = 8192
	// TxnBytes is up to where a transaction of the leader is filled, and
	// BatchBytes the most that one batch of assigned attempts takes, in JSON: both
	// together stay under the service's 64 KiB.
	TxnBytes   = 36 << 10
	BatchBytes = 24 << 10
	// BatchShare is the share of the deployment's change rate at which batches
	// are written at the most; each is deleted once too. What is placed between
	// two of them shares the next.
	BatchShare = 0.3
	// ProgressShare is the same for the done tasks of unfinished jobs, and
	// WriteReserve how much of a second's changes these leave for starts.
	ProgressShare = 0.25
	WriteReserve  = 0.25
	// BatchesKept is how many batches there may be before what is left of old
	// ones is written again; FoldAttempts bounds how much at a time.
	BatchesKept  = 32
	FoldAttempts = 100
	// MachineTasks is how many tasks a machine may have to list, ended ones that it
	// has not been told to forget included: a report and its answer, at some hundred
	// bytes a task, have to stay under the protocol's 64 KiB.
	MachineTasks = 400
	// ImagesRecorded is how many of a machine's images are recorded with it.
	ImagesRecorded = 6
	// DoneFlush is how long done tasks of an unfinished job may wait for their
	// write, to share one. A crash in between costs nothing: workers list done
	// tasks until they are told to forget them.
	DoneFlush = 1200 * time.Millisecond
	// RecordFlush is how old a batch has to be before it is written again without
	// what is over. That only spares a new leader waiting for a report.
	RecordFlush = 4 * time.Second
)

// Starts, stops and what follows them.
const (
	// AckWait is how long the leader waits for the worker's acknowledgement of
	// a start before it counts as unanswered. A healthy worker answers within
	// tens of milliseconds.
	AckWait = 1500 * time.Millisecond
	// ProbeCount is into how many probes a task's time budget is divided.
	ProbeCount = 6
	// DefaultBudget is the time budget of a task whose job has no deadline.
	DefaultBudget = 60 * time.Second
	// ProbeFloor is the shortest time that a start is probed for, however long
	// its job has been queued: one wait and one more try.
	ProbeFloor = 4 * time.Second
	// ProbeWaitMax is the longest wait between two probes, however far off the
	// deadline is: a sixth of the 90 s for which no job may wait beside room.
	ProbeWaitMax = 15 * time.Second
	// HaltRepeat is the pause between repeated stops of the same task.
	HaltRepeat = 2 * time.Second
	// ErrorBackoff is the first pause of a job after a failed attempt, doubled
	// for each failure without a success in between, up to ErrorBackoffMax.
	ErrorBackoff    = 500 * time.Millisecond
	ErrorBackoffMax = 60 * time.Second
	// SuspectJobs is how many different jobs have to fail on a machine before
	// it counts as faulty, and SuspectFor how long it is then avoided.
	SuspectJobs = 2
	SuspectFor  = 5 * time.Minute
	// JobSuspectMachines is on how many machines a job that never came to stay has
	// to fail before it, and not they, counts as faulty.
	// Tasks that run for FailsWithin longer than twice what failed ones ran speak for it.
	JobSuspectMachines = 3
	// RefusalPause keeps a machine from new starts after it refused one as
	// full: its picture and ours differ until its next report.
	RefusalPause = 2 * time.Second
	// GuaranteeWithin is how soon work within a guarantee should start where
	// the deployment does not say. For half of it, room may come by itself;
	// then borrowed work is stopped.
	GuaranteeWithin = 5 * time.Second
	FailsWithin     = 2 * time.Second
	// EvacuateBy is how long before a machine is taken, in seconds, all that is
	// left on it is stopped: a stop and its report take less than one.
	EvacuateBy = 2.0
	// KeepRoom is how long room that was made for a job is kept for it: stops
	// and the write before a start take well under a second.
	KeepRoom = 1500 * time.Millisecond
	// PromiseFor is how long room, on machines or under its team's limit, is kept for a
	// job that no machine could take even if all other work made way: about as long as
	// stops take, and machines that come up within seconds.
	PromiseFor = 10 * time.Second
	// WorthWarm is how long an image's fetch has to take, in seconds, before
	// lower work is stopped on a machine that has the image. Its loss is at
	// most what it ran so far.
	WorthWarm = 0.5
	// FetchTurn is how long a job may wait while machines with room fetch other jobs'
	// images: under the 90 s for which none may wait beside room.
	FetchTurn = 60 * time.Second
	// WarmWait is how long a service waits for such room before it takes what
	// there is. Starts are wanted within a second; stops take milliseconds.
	WarmWait = 2 * time.Second
	// RunsToTrust is how many completed tasks of a job outweigh its owner's
	// estimate. The first to complete are the shortest, so a few are needed.
	RunsToTrust = 5
	HopeFactor  = 1.2
	// BeginBy is how long an array may wait before it gets its first tasks ahead
	// of others, and BeginPart which part of it these are at the most: a tenth.
	// Its users are promised that the largest begin within four minutes.
	BeginBy   = 90 * time.Second
	BeginPart = 10
	// BegunAfter is how long a task has to run for its job to have begun: users count
	// a start that no command undoes within 30 s. BeginShare is the share of the
	// cluster that a job gets for that beyond its team's guarantee.
	BegunAfter = 35 * time.Second
	BeginShare = 0.02
	// TightCost is what a stop costs beside the work lost, in CPU seconds, if the
	// task's job will be late for it: as much as a large task's whole run.
	TightCost = 100
	// OldAfter is how long after its submission a job that misses all its deadlines
	// gets a share of the cluster of its own, and OldShare that share. Standard
	// days are over by then; under lasting overload the largest jobs, which are
	// given up first, would never end.
	OldAfter = 240 * time.Second
	OldShare = 0.2
	// PreemptJobs is for how many waiting jobs a round of placement looks for
	// work to stop, production apart, and PreemptGap how often for one job: each
	// look goes over every task.
	PreemptJobs = 4
	PreemptGap  = 200 * time.Millisecond
	// RoomLately is how long it is remembered whether a job's task finds room.
	RoomLately = time.Second
	// SpotRisk is what part of its run a task is taken to lose on a cheap machine,
	// where price is no aim. Waves take half of them at once, rarely.
	SpotRisk = 0.1
	// FailuresKept is how many failed attempts stay queryable.
	FailuresKept = 500
)

// Machines.
const (
	// CommandTimeout bounds one direct command.
	CommandTimeout = 1500 * time.Millisecond
	// WorkerConnsIdle is how many connections to workers are kept without a call,
	// to all together: hundreds of them would take the platform's sockets.
	WorkerConnsIdle = 64
	// QuestionPause is the least time between two direct questions to a machine that
	// does not answer.
	QuestionPause = 2 * time.Second
	// QuestionRate is how many questions a second there may be at the most for a whole
	// core, where the process has less than UsualShare of one. A question costs some
	// 0.4 ms (a connection of its own, its system calls and packets), and all of them
	// together may take a fifth of the share: asking two thousand machines at once takes
	// 7% of a core twelve seconds, in which the leader's own lease runs out.
	QuestionRate = 500.0
	// AnswersSoon is how long after our answer to a worker no question is asked there
	// where they are bounded: a token that is new to it is news, which it reports within
	// half a second.
	AnswersSoon = 1500 * time.Millisecond
	// QuestionsOut is how many machines are asked for their reports at once: each
	// costs a connection, and a new leader has hundreds to ask. Large fleets get a
	// place for each QuestionsPart machines, up to QuestionsMost: of two thousand,
	// a tenth may fall silent together, and each holds its place until it times out.
	QuestionsOut  = 32
	QuestionsPart = 8
	QuestionsMost = 256
	// AskedInVain is how many questions in a row a silent machine has to leave
	// unanswered before it is given back ahead of its lease's end, and ReportSlack
	// how much later than the protocol allows a report may come before the first.
	AskedInVain = 2
	ReportSlack = 500 * time.Millisecond
	// UnreachableAfter is how long after a start a report that does not show it says
	// that the start did not arrive, where a probe is due as well.
	UnreachableAfter = 1 * time.Second
	// ReleaseAhead is how long before its lease must have ended a silent
	// machine is given back: about as long as the call takes. Its tasks end
	// themselves then in any case; the answer proves it.
	ReleaseAhead = 300 * time.Millisecond
	// ZoneSilence is how many leases long a zone may be silent as a whole
	// before its machines are given back; a node in it may keep them alive.
	ZoneSilence = 2.5
	// SilentShare is which share of a zone's machines has to be silent for that.
	// Waves in which cheap machines are taken stay below it.
	SilentShare = 2.0 / 3
	// BootPatience is how many times its usual boot time a machine may take
	// before it is given back; BootPatienceMin is the least, in seconds, since
	// some machines take several times as long.
	BootPatience    = 3.0
	BootPatienceMin = 60 * time.Second
	// BootLate is from which part of its usual boot time on, in percent, a machine is
	// late: most take up to one and a half times as long.
	BootLate = 160
	// NewcomerGrace is how long a new leader waits for the report of a machine
	// that, by its age, should have come up before.
	NewcomerGrace = 20 * time.Second
	// IdleRelease is how long an ordinary machine may stand idle where renting
	// economises; a cheap one longer, by the ratio of the prices. It is about
	// the time of a boot, which is paid for too. Shorter trades deadlines for
	// price one for one (docs/limits.md).
	IdleRelease = 30 * time.Second
	// IdleReleaseFree is the same where neither is an aim.
	IdleReleaseFree = 20 * time.Minute
	// SpareShare is the spare capacity kept where price is no aim, as a share
	// of what is in use.
	SpareShare = 0.5
	// LooseShare is the share of starts in time under which an aim on starts
	// counts as loose, and spare capacity is not kept for it.
	LooseShare = 0.9
	// PatientStart is from which time allowed such an aim counts as loose too.
	PatientStart = 10 * time.Second
	// SpareShareThrift is the same where it is one.
	SpareShareThrift = 0.0
)

// Recovery, see package recovery.
const (
	// WorkerTimeout and WorkerRetry are the protocol's: after how long a worker gives a
	// report up that nobody answers, and when it then tries the next controller.
	WorkerTimeout = 4 * time.Second
	WorkerRetry   = 1 * time.Second
	// SettleGrace is how long after the end of the workers' leases a recovery may still
	// have open differences: machines are given back then, which takes a call or two.
	SettleGrace = 10 * time.Second
	// RecoveryCloudShare is the share of the cloud's rate that rentals and releases take
	// at the most until a recovery is settled, beside the lists, and RecoveryCloudBurst
	// how many of them may come at once. A call moves up to fifty or a hundred machines.
	RecoveryCloudShare = 0.5
	RecoveryCloudBurst = 4
	// DifferencesKept is how many differences of a recovery operators can list; further
	// ones are only counted. Each holds some 150 bytes.
	DifferencesKept = 5000
	// ColdPart is the part of the workers' lease, one to so many, for which at least one
	// controller must have been up for a change of leader to count as a failover: its
	// workers have been answered then. Otherwise all were away, and machines are late.
	ColdPart = 2
)

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
