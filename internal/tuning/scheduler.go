package tuning

import "time"

// Starts, stops and what follows them.
const (
	// AckTimeout is how long the leader waits for the worker's acknowledgement of
	// a start before it counts as unanswered. A healthy worker answers within
	// tens of milliseconds.
	AckTimeout = 1500 * time.Millisecond
	// DispatchRetryCount is into how many probes a task's time budget is divided.
	DispatchRetryCount = 6
	// DefaultDispatchBudget is the time budget of a task whose job has no deadline.
	DefaultDispatchBudget = 60 * time.Second
	// MinDispatchBudget is the shortest time that a start is probed for, however long
	// its job has been queued: one wait and one more try.
	MinDispatchBudget = 4 * time.Second
	// MaxDispatchRetryInterval is the longest wait between two probes, however far off the
	// deadline is: a sixth of the 90 s for which no job may wait beside room.
	MaxDispatchRetryInterval = 15 * time.Second
	// StopResendInterval is the pause between repeated stops of the same task.
	StopResendInterval = 2 * time.Second
	// ErrorBackoff is the first pause of a job after a failed attempt, doubled
	// for each failure without a success in between, up to MaxErrorBackoff.
	ErrorBackoff    = 500 * time.Millisecond
	MaxErrorBackoff = 60 * time.Second
	// QuarantineJobThreshold is how many different jobs have to fail on a machine before
	// it counts as faulty, and QuarantineDuration how long it is then avoided.
	QuarantineJobThreshold = 2
	QuarantineDuration     = 5 * time.Minute
	// FaultyJobMachineThreshold is on how many machines a job that never came to stay has
	// to fail before it, and not they, counts as faulty.
	// Tasks that run for FailureRuntimeMargin longer than twice what failed ones ran speak for it.
	FaultyJobMachineThreshold = 3
	// RefusedStartBackoff keeps a machine from new starts after it refused one as
	// full: its picture and ours differ until its next report.
	RefusedStartBackoff = 2 * time.Second
	// DefaultGuaranteeStartTarget is how soon work within a guarantee should start where
	// the deployment does not say. For half of it, room may come by itself;
	// then borrowed work is stopped.
	DefaultGuaranteeStartTarget = 5 * time.Second
	FailureRuntimeMargin        = 2 * time.Second
	// MinDrainTimeS is how long before a machine is taken, in seconds, all that is
	// left on it is stopped: a stop and its report take less than one.
	MinDrainTimeS = 2.0
	// PreemptionReservationTTL is how long room that was made for a job is kept for it: stops
	// and the write before a start take well under a second.
	PreemptionReservationTTL = 1500 * time.Millisecond
	// ReservationTTL is how long room, on machines or under its team's limit, is kept for a
	// job that no machine could take even if all other work made way: about as long as
	// stops take, and machines that come up within seconds.
	ReservationTTL = 10 * time.Second
	// MinFetchForPreemptionS is how long an image's fetch has to take, in seconds, before
	// lower work is stopped on a machine that has the image. Its loss is at
	// most what it ran so far.
	MinFetchForPreemptionS = 0.5
	// MaxFetchSlotWait is how long a job may wait while machines with room fetch other jobs'
	// images: under the 90 s for which none may wait beside room.
	MaxFetchSlotWait = 60 * time.Second
	// MaxWarmCapacityWait is how long a service waits for such room before it takes what
	// there is. Starts are wanted within a second; stops take milliseconds.
	MaxWarmCapacityWait = 2 * time.Second
	// MinRuntimeSamples is how many completed tasks of a job outweigh its owner's
	// estimate. The first to complete are the shortest, so a few are needed.
	MinRuntimeSamples         = 5
	DeadlineFeasibilityFactor = 1.2
	// ArrayStarvationBound is how long an array may wait before it gets its first tasks ahead
	// of others, and StarvedArrayDivisor which part of it these are at the most: a tenth.
	// Its users are promised that the largest begin within four minutes.
	ArrayStarvationBound = 90 * time.Second
	StarvedArrayDivisor  = 10
	// EstablishedAfter is how long a task has to run for its job to have begun: users count
	// a start that no command undoes within 30 s. StarvedJobShare is the share of the
	// cluster that a job gets for that beyond its team's guarantee.
	EstablishedAfter = 35 * time.Second
	StarvedJobShare  = 0.02
	// DeadlineMissCost is what a stop costs beside the work lost, in CPU seconds, if the
	// task's job will be late for it: as much as a large task's whole run.
	DeadlineMissCost = 100
	// AgedAfter is how long after its submission a job that misses all its deadlines
	// gets a share of the cluster of its own, and AgedShare that share. Standard
	// days are over by then; under lasting overload the largest jobs, which are
	// given up first, would never end.
	AgedAfter = 240 * time.Second
	AgedShare = 0.2
	// PreemptionJobsPerRound is for how many waiting jobs a round of placement looks for
	// work to stop, production apart, and MinPreemptionInterval how often for one job: each
	// look goes over every task.
	PreemptionJobsPerRound = 4
	MinPreemptionInterval  = 200 * time.Millisecond
	// FreeCapacityMemory is how long it is remembered whether a job's task finds room.
	FreeCapacityMemory = time.Second
	// ExpectedSpotLoss is what part of its run a task is taken to lose on a cheap machine,
	// where price is no aim. Waves take half of them at once, rarely.
	ExpectedSpotLoss = 0.1
	// MaxListedFailures is how many failed attempts stay queryable.
	MaxListedFailures = 500
)
