// Package policy reads the operators' settings from Starlark scripts. Each script is evaluated
// once, at startup, with a bounded number of steps and without access to files or the network.
// Its global variables are the settings, except functions and names that start with _.
package policy

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// Settings holds the settings that operators may change.
type Settings struct {
	AckTimeout            time.Duration // how long to wait for the acknowledgement of a start
	DispatchRetryCount    int           // dispatch retries that a task's time budget is divided into
	DefaultDispatchBudget time.Duration // time budget of tasks whose job has no deadline
	ErrorBackoff          time.Duration // first backoff of a job after a failed attempt
	MaxErrorBackoff       time.Duration // maximum backoff of a job after failed attempts
	HeadroomShare         float64       // free capacity kept ready, as a share of the capacity in use
	IdleTimeout           time.Duration // how long a machine may be idle before it is released
	MaxMachines           int           // maximum number of machines at once; 0 means no maximum
	UseSpot               bool          // provision spot machines for jobs that allow them
	Preempt               bool          // preempt work of lower rank
	BootTimeoutFactor     float64       // multiple of the usual boot time to wait for a machine
	// ReconcileRestarts holds back operations after a failover that may prove needless once the
	// machines that are not confirmed yet have sent a heartbeat.
	ReconcileRestarts bool
	// ReconcileWait is how long machines may take for their first heartbeat after a failover;
	// 0 means a bound computed from the heartbeat interval.
	ReconcileWait time.Duration
	// TraceFile is the target of trace spans: empty for none, "-" for standard output, else the
	// path of a file.
	TraceFile string
}

// CostSensitivity says whether scale-out saves cost, see config.Settings.CostSensitive.
type CostSensitivity bool

const (
	// CostInsensitive deployments keep free capacity ready.
	CostInsensitive CostSensitivity = false
	// CostSensitive deployments keep none, and release idle machines sooner.
	CostSensitive CostSensitivity = true
)

// Defaults returns the settings without a script.
func Defaults(sensitivity CostSensitivity) Settings {
	settings := Settings{
		AckTimeout:            tuning.AckTimeout,
		DispatchRetryCount:    tuning.DispatchRetryCount,
		DefaultDispatchBudget: tuning.DefaultDispatchBudget,
		ErrorBackoff:          tuning.ErrorBackoff,
		MaxErrorBackoff:       tuning.MaxErrorBackoff,
		HeadroomShare:         tuning.HeadroomShare,
		IdleTimeout:           tuning.IdleTimeout,
		UseSpot:               true,
		Preempt:               true,
		BootTimeoutFactor:     tuning.BootTimeoutFactor,
	}
	if sensitivity == CostSensitive {
		settings.HeadroomShare = tuning.CostSensitiveHeadroomShare
		settings.IdleTimeout = tuning.CostSensitiveIdleTimeout
	}
	return settings
}
