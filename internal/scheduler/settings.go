package scheduler

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/policy"
)

// TeamQuota is a team's resource quota. CPUs and GPUs are the amounts that the team is
// guaranteed. MaxCPUs and MaxGPUs are limits: no task that would exceed them is placed.
type TeamQuota struct {
	CPUs, MaxCPUs, GPUs, MaxGPUs float64
}

// Settings describe the deployment and the operators' policy. They do not change within a term.
type Settings struct {
	Teams             map[string]TeamQuota
	HeartbeatInterval time.Duration
	WorkerLease       time.Duration
	CancellationBound time.Duration // the tasks of a cancelled job are gone within this time
	MaxTransactionOps int           // limit of the key-value store, in operations per transaction
	MaxValueBytes     int           // limit of the key-value store, per value
	WriteRate         float64       // limit of the key-value store, in changes per second
	CloudRate         float64       // limit of the cloud API, in requests per second; 0: unknown
	CPUShare          float64       // cores available to this process; 0: unknown
	MinimizeCost      bool
	Objectives        map[string]Objective // by job class
	// GuaranteedStartWithin is the time within which a job within its team's guarantee should
	// start.
	GuaranteedStartWithin time.Duration
	CloudListLag          time.Duration // how stale the cloud's list of machines can be
	// ColdRestart is set if no controller is known to have been up when the previous
	// leader ended.
	ColdRestart     bool
	TraceOperations bool // emit an event for each operation during reconciliation
	Policy          policy.Settings
}
