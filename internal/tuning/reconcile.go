package tuning

import "time"

// Reconciliation of machines and records after a failover, see package reconcile.
const (
	// SettleGrace is how long after the expiry of the workers' leases a reconciliation may
	// still have open differences: machines are released then, which takes a call or two.
	SettleGrace = 10 * time.Second
	// ReconcileCloudRateShare is the largest share of the cloud's rate that provisioning and
	// releases take until a reconciliation is settled, beside the lists, and
	// ReconcileCloudBurst how many of them may come at once. A call moves up to fifty or a
	// hundred machines.
	ReconcileCloudRateShare = 0.5
	ReconcileCloudBurst     = 4
	// MaxListedDifferences is how many differences of a reconciliation operators can list;
	// further ones are only counted. Each holds some 150 bytes.
	MaxListedDifferences = 5000
	// ColdRestartLeaseDivisor is the part of the workers' lease, one of so many, for which at
	// least one controller must have been up for a change of leader to count as a failover:
	// its workers have been answered then. Otherwise all controllers were down, and machines
	// are late.
	ColdRestartLeaseDivisor = 2
)

// Tracing of reconciliations and placement rounds.
const (
	// TraceQueueSpans is how many spans may wait for their export: the operations of a large
	// reconciliation. Further ones are dropped rather than waited for.
	TraceQueueSpans = 16384
	// MaxTraceFileBytes is how large a trace file grows before it is rotated; one that was
	// rotated before is replaced. A span takes about 1 KB.
	MaxTraceFileBytes = 64 << 20
)
