package tuning

import "time"

// Preemption and reservations.
const (
	// DefaultGuaranteeStartTarget is how soon work within a quota guarantee should start where
	// the deployment does not say. For half of it, capacity may become free by itself; then
	// work beyond a guarantee is preempted.
	DefaultGuaranteeStartTarget = 5 * time.Second
	// PreemptionJobsPerRound is for how many waiting jobs a round of placement searches for work
	// to preempt, production apart, and MinPreemptionInterval how often for one job: each
	// search goes over every task.
	PreemptionJobsPerRound = 4
	MinPreemptionInterval  = 200 * time.Millisecond
	// DeadlineMissCost is what a preemption costs beside the work lost, in CPU seconds, if the
	// task's job misses its deadline for it: as much as a large task's whole run.
	DeadlineMissCost = 100
	// PreemptionReservationTTL is how long capacity that was freed for a job is reserved for it:
	// stops and the write before a start take well under a second.
	PreemptionReservationTTL = 1500 * time.Millisecond
	// ReservationTTL is how long capacity, on machines or under its team's limit, is reserved
	// for a job that no machine could take even if all other work made way: about as long as
	// stops take, and machines that come up within seconds.
	ReservationTTL = 10 * time.Second
	// MinDrainTimeS is how long before a spot interruption, in seconds, all that is left on the
	// machine is stopped: a stop and its heartbeat take less than one.
	MinDrainTimeS = 2.0
)
