package tuning

import "time"

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
	// TraceQueue is how many spans may wait for their export: the orders of a large
	// recovery. Further ones are dropped rather than waited for.
	TraceQueue = 16384
	// TraceFileBytes is how large a trace file grows before it is put aside; one that was
	// put aside before is replaced. A span takes about 1 KB.
	TraceFileBytes = 64 << 20
	// ColdPart is the part of the workers' lease, one to so many, for which at least one
	// controller must have been up for a change of leader to count as a failover: its
	// workers have been answered then. Otherwise all were away, and machines are late.
	ColdPart = 2
)
