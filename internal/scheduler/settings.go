package scheduler

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/policy"
)

// TeamQuota is a team's quota: the amounts that it is guaranteed, and the limits (Max)
// beyond which nothing of it is placed.
type TeamQuota struct {
	CPUs, CPUsMax, GPUs, GPUsMax float64
}

// Settings are what the scheduler needs to know of the deployment and of the operators'
// policy. They do not change within a term.
type Settings struct {
	Teams             map[string]TeamQuota
	HeartbeatInterval time.Duration
	WorkerLease       time.Duration
	CancellationBound time.Duration // within which a cancelled job's tasks are gone
	MaxTransactionOps int           // that the key-value store takes
	MaxValueBytes     int           // that the key-value store takes
	WriteRate         float64       // changes a second that the key-value store takes
	CloudRate         float64       // requests a second that the cloud takes; 0: unknown
	CPUShare          float64       // of a core, that this process has; 0: unknown
	MinimizeCost      bool
	Objectives        map[string]Objective // by class
	// GuaranteedStartWithin is how soon work within a quota guarantee should start.
	GuaranteedStartWithin time.Duration
	CloudListLag          time.Duration // by which the cloud's list is out of date
	// ColdRestart is whether no controller is known to have survived the last leader.
	ColdRestart     bool
	TraceOperations bool // have an event for each operation during reconciliation
	Policy          policy.Settings
}
