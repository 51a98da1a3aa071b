package tuning

import "time"

// Dispatch of starts and stops to workers.
const (
	// AckTimeout is how long the leader waits for the worker's acknowledgement of a start
	// before the start counts as unanswered. A healthy worker answers within tens of
	// milliseconds.
	AckTimeout = 1500 * time.Millisecond
	// DispatchRetryCount is the number of dispatch retries that a task's time budget is divided
	// into.
	DispatchRetryCount = 6
	// DefaultDispatchBudget is the time budget of a task whose job has no deadline.
	DefaultDispatchBudget = 60 * time.Second
	// MinDispatchBudget is the minimum time for which a start is retried, however long its job
	// has been queued: enough for one timeout and one more attempt.
	MinDispatchBudget = 4 * time.Second
	// MaxDispatchRetryInterval is the maximum time between two dispatch retries, however far
	// off the deadline is. No job may wait 90 s while there is free capacity for it; this is a
	// sixth of that.
	MaxDispatchRetryInterval = 15 * time.Second
	// StopResendInterval is the pause between repeated stops of the same task.
	StopResendInterval = 2 * time.Second
	// RefusedStartBackoff is how long a machine gets no starts after it refused one because it was
	// full or already had an attempt of the task: its state differs from the leader's record of it
	// until its next heartbeat.
	RefusedStartBackoff = 2 * time.Second
	// StartUnreceivedAfter is the time after a start from which a heartbeat that does not list
	// the started task shows that the start did not arrive, if a dispatch retry is due as well.
	StartUnreceivedAfter = 1 * time.Second
	// LateRecordAfter is how long a start may wait for its assignment record before the wait is
	// logged.
	LateRecordAfter = 5 * time.Second
	// CommandTimeout bounds one direct call to a worker.
	CommandTimeout = 1500 * time.Millisecond
	// MaxIdleWorkerConns bounds the idle connections kept to all workers together. Hundreds
	// would use up the platform's sockets.
	MaxIdleWorkerConns = 64
)

// Status probes: direct calls that ask a machine for its heartbeat.
const (
	// MinStatusProbeInterval is the minimum time between two status probes of a machine. It
	// doubles with each unanswered call, up to a limit.
	MinStatusProbeInterval = 2 * time.Second
	// MaxStatusProbeRate is the maximum rate of status probes, in probes a second for a whole
	// core, where the process has less than ReferenceCPUShare of a core. A probe costs about
	// 0.4 ms of CPU time for its own connection, system calls and packets, and all probes
	// together may take a fifth of the process's share. Probing two thousand machines at once
	// keeps 7% of a core busy for twelve seconds, in which the leader's own lease expires.
	MaxStatusProbeRate = 500.0
	// StatusProbeHoldOff is how long a worker is not probed after an answer to its heartbeat that
	// had a fencing token new to the worker, where the rate of probes is bounded. Such a token
	// makes the worker send another heartbeat within half a second.
	StatusProbeHoldOff = 1500 * time.Millisecond
	// MinConcurrentStatusProbes is the number of machines that are probed at once in a small
	// fleet. It is bounded because each probe costs a connection and a new leader has hundreds
	// of machines to probe. A larger fleet gets one probe for each MachinesPerStatusProbe
	// machines, up to MaxConcurrentStatusProbes: of two thousand machines, a tenth may become
	// unreachable together, and each probe of those waits for its timeout.
	MinConcurrentStatusProbes = 32
	MachinesPerStatusProbe    = 8
	MaxConcurrentStatusProbes = 256
)

// Failed attempts.
const (
	// ErrorBackoff is the first backoff of a job after a failed attempt. It doubles with each
	// failure without a success in between, up to MaxErrorBackoff.
	ErrorBackoff    = 500 * time.Millisecond
	MaxErrorBackoff = 60 * time.Second
	// QuarantineJobThreshold is the number of different jobs that must fail on a machine before
	// the machine counts as faulty and is quarantined. The quarantine ends at the latest
	// QuarantineDuration after the last of these failures. A quarantined machine keeps its tasks.
	// Its placement cost is raised, so that it gets another task only if no machine with a lower
	// placement cost has capacity. No task is preempted there, and the machine is released once
	// it has no tasks.
	QuarantineJobThreshold = 2
	QuarantineDuration     = 5 * time.Minute
	// FaultyJobMachineThreshold is the number of machines on which a job without an established
	// task must fail before the job, and not the machines, counts as faulty. If one of its
	// tasks runs for longer than FailureRuntimeMargin plus twice the longest run of a failed
	// task, the job does not count as faulty.
	FaultyJobMachineThreshold = 3
	FailureRuntimeMargin      = 2 * time.Second
	// MaxListedFailures is how many failed attempts can be queried.
	MaxListedFailures = 500
)
