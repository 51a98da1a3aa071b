package tuning

import "time"

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
