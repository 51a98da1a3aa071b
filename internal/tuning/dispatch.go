package tuning

import "time"

// Dispatch of starts and stops to workers.
const (
	// AckTimeout is how long the leader waits for the worker's acknowledgement of a start
	// before it counts as unanswered. A healthy worker answers within tens of milliseconds.
	AckTimeout = 1500 * time.Millisecond
	// DispatchRetryCount is how many dispatch retries a task's time budget is divided into.
	DispatchRetryCount = 6
	// DefaultDispatchBudget is the time budget of a task whose job has no deadline.
	DefaultDispatchBudget = 60 * time.Second
	// MinDispatchBudget is the shortest time for which a start is retried, however long its
	// job has been queued: one timeout and one more attempt.
	MinDispatchBudget = 4 * time.Second
	// MaxDispatchRetryInterval is the longest wait between two dispatch retries, however far
	// off the deadline is: a sixth of the 90 s for which no job may wait while there is free
	// capacity for it.
	MaxDispatchRetryInterval = 15 * time.Second
	// StopResendInterval is the pause between repeated stops of the same task.
	StopResendInterval = 2 * time.Second
	// RefusedStartBackoff keeps a machine from new starts after it refused one as full: its
	// state and the leader's record of it differ until its next heartbeat.
	RefusedStartBackoff = 2 * time.Second
	// StartUnreceivedAfter is how long after a start a heartbeat that does not list it says
	// that the start did not arrive, where a dispatch retry is due as well.
	StartUnreceivedAfter = 1 * time.Second
	// LateRecordAfter is how long a start may wait for its assignment record before that is
	// logged.
	LateRecordAfter = 5 * time.Second
	// CommandTimeout bounds one direct call to a worker.
	CommandTimeout = 1500 * time.Millisecond
	// MaxIdleWorkerConns is how many connections to workers are kept without a call, to all of
	// them together: hundreds would take the platform's sockets.
	MaxIdleWorkerConns = 64
)

// Status probes: direct calls that ask a machine for its heartbeat.
const (
	// MinStatusProbeInterval is the least time between two status probes of a machine that
	// does not answer.
	MinStatusProbeInterval = 2 * time.Second
	// MaxStatusProbeRate is the most status probes a second for a whole core, where the process
	// has less than ReferenceCPUShare of one. A probe costs some 0.4 ms (a connection of its
	// own, its system calls and packets), and all of them together may take a fifth of the
	// share: probing two thousand machines at once takes 7% of a core twelve seconds, in which
	// the leader's own lease expires.
	MaxStatusProbeRate = 500.0
	// StatusProbeHoldOff is how long after an answer to a worker it is not probed, where probes
	// are bounded: a fencing token that is new to it makes it send a heartbeat within half a
	// second.
	StatusProbeHoldOff = 1500 * time.Millisecond
	// MinConcurrentStatusProbes is how many machines are probed at once: each probe costs a
	// connection, and a new leader has hundreds to probe. Large fleets get one more for each
	// MachinesPerStatusProbe machines, up to MaxConcurrentStatusProbes: of two thousand, a
	// tenth may become unreachable together, and each probe of those waits for its timeout.
	MinConcurrentStatusProbes = 32
	MachinesPerStatusProbe    = 8
	MaxConcurrentStatusProbes = 256
)

// Failed attempts.
const (
	// ErrorBackoff is the first backoff of a job after a failed attempt, doubled for each
	// failure without a success in between, up to MaxErrorBackoff.
	ErrorBackoff    = 500 * time.Millisecond
	MaxErrorBackoff = 60 * time.Second
	// QuarantineJobThreshold is how many different jobs have to fail on a machine before it
	// counts as faulty, and QuarantineDuration how long it gets no work then.
	QuarantineJobThreshold = 2
	QuarantineDuration     = 5 * time.Minute
	// FaultyJobMachineThreshold is on how many machines a job without an established task has
	// to fail before the job, and not the machines, counts as faulty. A task that runs for
	// FailureRuntimeMargin longer than twice what the failed ones ran is evidence for the job.
	FaultyJobMachineThreshold = 3
	FailureRuntimeMargin      = 2 * time.Second
	// MaxListedFailures is how many failed attempts stay queryable.
	MaxListedFailures = 500
)
