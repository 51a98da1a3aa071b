package reconcile

import (
	"slices"
	"time"
)

// PhaseTime says when a phase began, after the reconciliation did.
type PhaseTime struct {
	Phase  string  `json:"phase"`
	AfterS float64 `json:"after_s"`
}

// Status is a reconciliation as operators see it.
type Status struct {
	Phase               string                    `json:"phase"`
	Enabled             bool                      `json:"enabled"`
	Cold                bool                      `json:"cold"`
	AgeS                float64                   `json:"age_s"`
	History             []PhaseTime               `json:"history"`
	WaitsUntilS         float64                   `json:"waits_until_s"` // after its start; 0: it waits for nothing
	Machines            int                       `json:"machines"`
	Unconfirmed         int                       `json:"unheard"`
	Unproven            int                       `json:"unproven"`
	PendingStops        int                       `json:"open_stops"`
	Classes             map[string]int            `json:"classes"`
	Operations          map[string]OperationCount `json:"orders"`
	Differences         int                       `json:"differences"`
	DifferencesDropped  int                       `json:"differences_not_kept"`
	UnconfirmedMachines []string                  `json:"waiting"` // the first few of them
}

// maxMachinesShown is how many machines a Status names.
const maxMachinesShown = 20

// Status describes the reconciliation.
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
		status.WaitsUntilS = r.config.CollectBound().Seconds()
	case Reconciling:
		status.WaitsUntilS = (r.settleUntil() - r.startedAt).Seconds()
	}
	for c := MissingUnproven; c < classCount; c++ {
		status.Classes[c.String()] = r.counts[c]
	}
	for k := StartOperation; k < operationKindCount; k++ {
		status.Operations[k.String()] = r.operations.counts[k]
	}
	return status
}

// DifferenceView is a difference as operators see it.
type DifferenceView struct {
	Attempt
	Class  string  `json:"class"`
	Action string  `json:"action"`
	Late   bool    `json:"late"`
	AfterS float64 `json:"after_s"`
}

// Differences lists differences of a class, or of all for None, in the order in which
// they were found, up to the limit after those to skip.
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
		views = append(views, DifferenceView{d.Attempt, d.Class.String(), d.Action.String(), d.Late, (d.At - r.startedAt).Seconds()})
	}
	return views
}

// UnconfirmedMachines lists machines without a heartbeat in this term by name, those
// after from, up to the limit.
func (r *Reconciler) UnconfirmedMachines(from string, limit int) []string {
	var names []string
	for name, m := range r.machines {
		if !m.confirmed && name > from {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names[:min(len(names), limit)]
}
