package tuning

import "time"

// Placement rounds.
const (
	// MinPlacementInterval is the minimum time between two placement rounds, to batch
	// arrivals and finished tasks.
	MinPlacementInterval = 15 * time.Millisecond
	// PlacementIntervalPerMachine is added to MinPlacementInterval for each machine, because a
	// round goes over all machines.
	PlacementIntervalPerMachine = 50 * time.Microsecond
	// FreeCapacityCacheTTL is how long the scheduler caches whether there is free capacity for a
	// task of a job.
	FreeCapacityCacheTTL = time.Second
	// MaxTasksPerMachine is how many tasks a machine may list, including ended tasks that it
	// has not been told to forget. At some hundred bytes a task, a heartbeat and its answer
	// must stay under the protocol's 64 KiB.
	MaxTasksPerMachine = 400
	// ExpectedSpotLoss is the share of its run time that a task is expected to lose on a spot
	// machine. It is used unless placement minimizes cost. Interruptions are rare, but
	// take half of the machines at once.
	ExpectedSpotLoss = 0.1
)

// Images.
const (
	// MaxFetchSlotWait is how long a job with no task on any machine may wait while machines with
	// free capacity fetch the images of other jobs. It is below 90 s, because no job may wait that
	// long while there is free capacity for it.
	MaxFetchSlotWait = 60 * time.Second
	// MinFetchForPreemptionS is the duration of an image fetch, in seconds, from which tasks of
	// lower priority are preempted for a production service on a machine that already has its
	// image. A preempted task loses at most its progress so far.
	MinFetchForPreemptionS = 0.5
	// MaxWarmCapacityWait is how long a production service waits for capacity on a machine that has
	// its image before it takes any machine. A start should take under a second, and the stop of a
	// preempted task takes milliseconds.
	MaxWarmCapacityWait = 2 * time.Second
)

// Run times and deadlines.
const (
	// MinRuntimeSamples is the number of completed tasks of a job from which their run times
	// replace the estimate of the job's owner. Several are needed, because the first tasks to
	// complete are the shortest.
	MinRuntimeSamples = 5
	// DeadlineFeasibilityFactor is the factor by which a run time estimate is lengthened before
	// it is compared to the time that is left until a deadline.
	DeadlineFeasibilityFactor = 1.2
)

// Starvation.
const (
	// ArrayStarvationBound is how long an array may wait before it gets its first tasks ahead
	// of other jobs. Users are promised that the largest arrays start within four minutes.
	ArrayStarvationBound = 90 * time.Second
	// StarvedArrayDivisor limits these first tasks to a tenth of the array.
	StarvedArrayDivisor = 10
	// StarvedJobShare is the share of the cluster's CPUs that a job gets for its first tasks
	// beyond its team's guarantee.
	StarvedJobShare = 0.02
	// EstablishedAfter is how long a task must run for its job to count as established. For
	// users, a start counts only if no command stops the task within 30 s.
	EstablishedAfter = 35 * time.Second
	// AgedAfter is the time after its submission from which a job that misses all its deadlines
	// shares AgedShare of the cluster with other such jobs. Without this share, the largest jobs
	// would never end under lasting overload, because their deadlines are given up first. On days
	// without lasting overload, no job waits as long as AgedAfter.
	AgedAfter = 240 * time.Second
	// AgedShare is the share of the cluster's CPUs that aged jobs together get ahead of other
	// jobs.
	AgedShare = 0.2
)
