package tuning

import "time"

// Preemption and reservations.
const (
	// DefaultGuaranteeStartTarget is how soon work within a quota guarantee should start if the
	// deployment does not set a target. For half of this time capacity may become free by
	// itself; after that, work beyond a guarantee is preempted.
	DefaultGuaranteeStartTarget = 5 * time.Second
	// PreemptionJobsPerRound is the maximum number of waiting jobs, not counting production,
	// for which a placement round searches for work to preempt. MinPreemptionInterval is the
	// minimum time between two searches for one job. Both are limited because each search goes
	// over every task.
	PreemptionJobsPerRound = 4
	MinPreemptionInterval  = 200 * time.Millisecond
	// DeadlineMissCost is the cost of a preemption beside the lost work, in CPU seconds, if the
	// task's job misses its deadline because of it: as much as the whole run of a large task.
	DeadlineMissCost = 100
	// PreemptionReservationTTL is how long capacity that was freed for a job is reserved for the
	// job. Stops and the write before a start take well under a second.
	PreemptionReservationTTL = 1500 * time.Millisecond
	// ReservationTTL is how long capacity, on machines or under its team's limit, is reserved
	// for a job that no machine could take even if all other work were preempted: about the
	// time that stops take, and machines that come up within seconds.
	ReservationTTL = 10 * time.Second
	// MinDrainTimeS is how long before a spot interruption, in seconds, all remaining work on
	// the machine is stopped. A stop and the heartbeat that reports it take under a second.
	MinDrainTimeS = 2.0
)
