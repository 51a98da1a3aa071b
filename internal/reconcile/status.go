package reconcile

import (
	"slices"
	"time"
)

// PhaseTime is the start of a phase, relative to the start of the reconciliation.
type PhaseTime struct {
	Phase  string  `json:"phase"`
	AfterS float64 `json:"after_s"`
}

// Status describes a reconciliation to operators.
type Status struct {
	Phase   string      `json:"phase"`
	Enabled bool        `json:"enabled"`
	Cold    bool        `json:"cold"`
	AgeS    float64     `json:"age_s"`
	History []PhaseTime `json:"history"`
	// WaitsUntilS is the latest end of the current phase, in seconds after the start of the
	// reconciliation; 0 if it has settled.
	WaitsUntilS         float64                   `json:"waits_until_s"`
	Machines            int                       `json:"machines"`
	Unconfirmed         int                       `json:"unheard"`
	Unproven            int                       `json:"unproven"`
	PendingStops        int                       `json:"open_stops"`
	Classes             map[string]int            `json:"classes"`
	Operations          map[string]OperationCount `json:"orders"`
	Differences         int                       `json:"differences"`
	DifferencesDropped  int                       `json:"differences_not_kept"`
	UnconfirmedMachines []string                  `json:"waiting"` // the first maxMachinesShown, by name
}

// maxMachinesShown is the maximum number of machines that a Status names.
const maxMachinesShown = 20

// Status returns the state of the reconciliation.
func (r *Reconciler) Status(now time.Duration) Status {
	status := Status{
		Phase: r.phase.String(), Enabled: r.config.Enabled, Cold: r.config.Cold, AgeS: (now - r.startedAt).Seconds(),
		Machines: len(r.machines), Unconfirmed: r.unconfirmed, Unproven: r.unproven, PendingStops: r.pendingStops,
		Classes: map[string]int{}, Operations: map[string]OperationCount{},
		Differences: len(r.differences) + r.droppedDifferences, DifferencesDropped: r.droppedDifferences,
		UnconfirmedMachines: r.UnconfirmedMachines("", maxMachinesShown),
	}
	for p := Collecting; p <= r.phase; p++ {
		status.History = append(status.History, PhaseTime{p.String(), (r.phaseStartedAt[p] - r.startedAt).Seconds()})
	}
	switch r.phase {
	case Collecting:
		status.WaitsUntilS = r.config.MaxCollectTime().Seconds()
	case Reconciling:
		status.WaitsUntilS = (r.settleDeadline() - r.startedAt).Seconds()
	}
	for c := MissingUnproven; c < classCount; c++ {
		status.Classes[c.String()] = r.counts[c]
	}
	for k := StartOperation; k < operationKindCount; k++ {
		status.Operations[k.String()] = r.operations.counts[k]
	}
	return status
}

// DifferenceView describes a difference to operators.
type DifferenceView struct {
	Attempt
	Class  string  `json:"class"`
	Action string  `json:"action"`
	Late   bool    `json:"late"`
	AfterS float64 `json:"after_s"`
}

// Differences returns the differences of a class, or of all classes for None, in the order in
// which they were found. It omits the first skip differences and returns at most limit.
func (r *Reconciler) Differences(class Class, skip, limit int) []DifferenceView {
	views := []DifferenceView{}
	for _, d := range r.differences {
		if class != None && d.Class != class {
			continue
		}
		if skip > 0 {
			skip--
			continue
		}
		if len(views) == limit {
			break
		}
		views = append(views, DifferenceView{d.Attempt, d.Class.String(), d.Action.String(), d.Late, (d.FoundAt - r.startedAt).Seconds()})
	}
	return views
}

// UnconfirmedMachines returns the names of machines that are not confirmed and whose names sort
// after the given one, in order, at most limit.
func (r *Reconciler) UnconfirmedMachines(after string, limit int) []string {
	var names []string
	for name, m := range r.machines {
		if !m.confirmed && name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names[:min(len(names), limit)]
}
