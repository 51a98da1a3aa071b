package tuning

import "time"

// Recovery, see package recovery.
const (
	// WorkerHeartbeatTimeout and WorkerRetryDelay are the protocol's: after how long a worker gives a
	// report up that nobody answers, and when it then tries the next controller.
	WorkerHeartbeatTimeout = 4 * time.Second
	WorkerRetryDelay       = 1 * time.Second
	// SettleGrace is how long after the end of the workers' leases a recovery may still
	// have open differences: machines are given back then, which takes a call or two.
	SettleGrace = 10 * time.Second
	// ReconcileCloudRateShare is the share of the cloud's rate that rentals and releases take
	// at the most until a recovery is settled, beside the lists, and ReconcileCloudBurst
	// how many of them may come at once. A call moves up to fifty or a hundred machines.
	ReconcileCloudRateShare = 0.5
	ReconcileCloudBurst     = 4
	// MaxListedDifferences is how many differences of a recovery operators can list; further
	// ones are only counted. Each holds some 150 bytes.
	MaxListedDifferences = 5000
	// TraceQueueSpans is how many spans may wait for their export: the orders of a large
	// recovery. Further ones are dropped rather than waited for.
	TraceQueueSpans = 16384
	// MaxTraceFileBytes is how large a trace file grows before it is put aside; one that was
	// put aside before is replaced. A span takes about 1 KB.
	MaxTraceFileBytes = 64 << 20
	// ColdRestartLeaseDivisor is the part of the workers' lease, one to so many, for which at least one
	// controller must have been up for a change of leader to count as a failover: its
	// workers have been answered then. Otherwise all were away, and machines are late.
	ColdRestartLeaseDivisor = 2
)
