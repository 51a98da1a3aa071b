package tuning

import "time"

// Rounds of placement.
const (
	// MinPlacementInterval is the least time between two placement rounds, to batch
	// arrivals and finished tasks.
	MinPlacementInterval = 15 * time.Millisecond
	// PlacementIntervalPerMachine is added to it for each machine, since a round goes over all.
	PlacementIntervalPerMachine = 50 * time.Microsecond
	// FreeCapacityMemory is how long it is remembered whether there was free capacity for a
	// job's task.
	FreeCapacityMemory = time.Second
	// MaxTasksPerMachine is how many tasks a machine may have to list, ended ones that it has
	// not been told to forget included: a heartbeat and its answer, at some hundred bytes a
	// task, have to stay under the protocol's 64 KiB.
	MaxTasksPerMachine = 400
	// ExpectedSpotLoss is the part of its run that a task is expected to lose on a spot machine,
	// where price is no objective. Interruptions take half of the machines at once, rarely.
	ExpectedSpotLoss = 0.1
)

// Images.
const (
	// MaxFetchSlotWait is how long a job may wait while machines with free capacity fetch other
	// jobs' images: under the 90 s for which none may wait while there is free capacity.
	MaxFetchSlotWait = 60 * time.Second
	// MinFetchForPreemptionS is how long an image's fetch has to take, in seconds, before work
	// of lower rank is preempted on a machine that has the image. Its loss is at most what it
	// ran so far.
	MinFetchForPreemptionS = 0.5
	// MaxWarmCapacityWait is how long a service waits for such a machine before it takes any.
	// Starts are wanted within a second; stops take milliseconds.
	MaxWarmCapacityWait = 2 * time.Second
)

// Run times and deadlines.
const (
	// MinRuntimeSamples is how many completed tasks of a job outweigh its owner's estimate. The
	// first to complete are the shortest, so a few are needed.
	MinRuntimeSamples = 5
	// DeadlineFeasibilityFactor is by how much a run time estimate is lengthened before it is
	// compared to the time that is left.
	DeadlineFeasibilityFactor = 1.2
)

// Starvation.
const (
	// ArrayStarvationBound is how long an array may wait before it gets its first tasks ahead
	// of others. Users are promised that the largest arrays start within four minutes.
	ArrayStarvationBound = 90 * time.Second
	// StarvedArrayDivisor makes these first tasks at most a tenth of the array.
	StarvedArrayDivisor = 10
	// StarvedJobShare is the share of the cluster that a job gets for its first tasks beyond
	// its team's guarantee.
	StarvedJobShare = 0.02
	// EstablishedAfter is how long a task has to run for its job to count as established:
	// users count a start that no command undoes within 30 s.
	EstablishedAfter = 35 * time.Second
	// AgedAfter is how long after its submission a job that misses all its deadlines gets a
	// share of the cluster of its own, and AgedShare that share. Standard days are over by
	// then; under lasting overload the largest jobs, which are given up first, would never end.
	AgedAfter = 240 * time.Second
	AgedShare = 0.2
)
