package tuning

import "time"

// Reconciliation of machines and records after a failover, see package reconcile.
const (
	// SettleGrace is how long after the expiry of the workers' leases a reconciliation may
	// still have open differences. Machines are released in this time, with a call or two.
	SettleGrace = 10 * time.Second
	// ReconcileCloudRateShare is the largest share of the cloud's request rate that provisioning
	// and releases take, in addition to machine lists, until a reconciliation is settled.
	// ReconcileCloudBurst is how many of these calls may be made at once. A call covers up to
	// fifty machines to provision, or a hundred to release.
	ReconcileCloudRateShare = 0.5
	ReconcileCloudBurst     = 4
	// MaxListedDifferences is how many differences of a reconciliation operators can list, at
	// about 150 bytes each. Further differences are only counted.
	MaxListedDifferences = 5000
	// ColdRestartLeaseDivisor divides the workers' lease. A change of leader counts as a
	// failover if at least one controller had been up for longer than the result, because
	// workers were answered in that time. Otherwise all controllers were down, and the
	// machines' heartbeats are late.
	ColdRestartLeaseDivisor = 2
)

// Tracing of reconciliations and placement rounds.
const (
	// TraceQueueSpans is the number of spans that may wait for their export: enough for the
	// operations of a large reconciliation. Further spans are dropped, so that nothing waits
	// for the export.
	TraceQueueSpans = 16384
	// MaxTraceFileBytes is the size at which a trace file is rotated. The rotated file replaces
	// the one rotated before. A span takes about 1 KB.
	MaxTraceFileBytes = 64 << 20
)
