// Package policy reads the operators' own settings from a Starlark script. The
// script is evaluated once, at start, with bounded steps and without any access
// to the outside; its global names are the settings.
package policy

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// Settings are what operators may set.
type Settings struct {
	AckTimeout            time.Duration // wait for a start's acknowledgement
	DispatchRetryCount    int           // dispatch retries into which a task's time budget is divided
	DefaultDispatchBudget time.Duration // time budget of tasks whose job has no deadline
	ErrorBackoff          time.Duration // first backoff of a job after a failed attempt
	MaxErrorBackoff       time.Duration // longest such backoff
	HeadroomShare         float64       // free capacity kept ready, as a share of what is in use
	IdleTimeout           time.Duration // how long a machine may be idle before it is released
	MaxMachines           int           // most machines at once; 0: no bound
	UseSpot               bool          // provision spot machines for jobs that allow them
	Preempt               bool          // preempt work of lower rank
	BootTimeoutFactor     float64       // multiple of the usual boot time to wait
	ReconcileRestarts     bool          // after a failover, hold back operations that unconfirmed machines may make needless
	ReconcileWait         time.Duration // how long machines may take for their first heartbeat then; 0: follows from their intervals
	TraceFile             string        // where spans go: empty nowhere, "-" standard output, else a file
}

// CostSensitivity is whether price or useful work is among the deployment's objectives.
type CostSensitivity bool

const (
	// CostInsensitive deployments keep headroom ready.
	CostInsensitive CostSensitivity = false
	// CostSensitive deployments economise.
	CostSensitive CostSensitivity = true
)

// Defaults are the settings without a script.
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
