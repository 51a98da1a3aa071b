package controller

import (
	"context"
	"errors"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// LeaderView says who leads, as far as a controller knows.
type LeaderView struct {
	Node    string  `json:"node"`
	Leader  string  `json:"leader"`
	Term    uint64  `json:"term"`
	Leading bool    `json:"leading"`
	UpS     float64 `json:"up_s"`
}

// LeaderView says who leads, as far as this controller knows.
func (c *Controller) LeaderView() LeaderView {
	c.mu.Lock()
	defer c.mu.Unlock()
	return LeaderView{
		Node:    c.cfg.Node,
		Leader:  c.membership.leader.name,
		Term:    c.membership.leader.term,
		Leading: c.leadership.leading(),
		UpS:     time.Since(c.startedAt).Seconds(),
	}
}

// queryScheduler reads the scheduler's state; ok is false where this controller does not lead.
func queryScheduler[T any](c *Controller, read func(scheduler.View, scheduler.Now) T) (answer T, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leadership.leading() {
		return answer, false
	}
	return read(c.leadership.scheduler.View(), c.now()), true
}

// MachinesView lists machines.
func (c *Controller) MachinesView(from string, most int) ([]scheduler.MachineView, bool) {
	return queryScheduler(c, func(view scheduler.View, now scheduler.Now) []scheduler.MachineView {
		return view.Machines(now, from, most)
	})
}

// JobView describes a job: in full while it is live and this controller leads, else by its
// stored state. found is false for a job that nobody submitted; an error says that this
// cannot be told here and now.
func (c *Controller) JobView(ctx context.Context, id string) (detail *scheduler.JobDetail, found bool, err error) {
	detail, _ = queryScheduler(c, func(view scheduler.View, now scheduler.Now) *scheduler.JobDetail { return view.Job(now, id) })
	if detail != nil {
		return detail, true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, tuning.LocalQueryTimeout)
	defer cancel()
	view, found, err := c.lookUpJob(ctx, id)
	if err != nil || !found {
		return nil, found, err
	}
	return &scheduler.JobDetail{ID: id, State: view.State, Done: view.Done, Running: view.Running, Attempts: []scheduler.TaskView{}}, true, nil
}

// WaitingView lists waiting jobs, with the reason.
func (c *Controller) WaitingView(from string, most int) ([]scheduler.JobDetail, bool) {
	return queryScheduler(c, func(view scheduler.View, now scheduler.Now) []scheduler.JobDetail {
		return view.Waiting(now, from, most)
	})
}

// FailuresView lists failed attempts of this term, the newest first.
func (c *Controller) FailuresView(skip, most int) ([]scheduler.Failure, bool) {
	return queryScheduler(c, func(view scheduler.View, _ scheduler.Now) []scheduler.Failure {
		return view.Failures(skip, most)
	})
}

// ErrNoRecovery says that there has been no recovery, as far as the controller knows.
var ErrNoRecovery = errors.New("there has been no recovery yet: nobody has led since this node began")

// RecoveryView describes the restart reconciliation of the current term. ok is false where
// this controller does not lead; ErrNoRecovery says that nobody has led yet.
func (c *Controller) RecoveryView() (status reconcile.Status, ok bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch loading := !c.leadership.loadingSince.IsZero(); {
	case c.leadership.leading():
		return c.leadership.scheduler.View().ReconciliationStatus(c.now()), true, nil
	case loading:
		return reconcile.Status{
			Phase:   reconcile.Loading.String(),
			Enabled: c.policy.ReconcileRestarts,
			AgeS:    time.Since(c.leadership.loadingSince).Seconds(),
		}, true, nil
	case c.membership.leader.term == 0:
		return status, false, ErrNoRecovery
	}
	return status, false, nil
}

// DifferencesView lists what the reconciliation of the current term found.
func (c *Controller) DifferencesView(class reconcile.Class, skip, most int) ([]reconcile.DifferenceView, bool) {
	return queryScheduler(c, func(view scheduler.View, _ scheduler.Now) []reconcile.DifferenceView {
		return view.ReconciliationDifferences(class, skip, most)
	})
}

// Latency summarizes a histogram, in milliseconds.
type Latency struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_ms"`
	P99   int64 `json:"p99_ms"`
	Max   int64 `json:"max_ms"`
}

func summarize(histogram *hdrhistogram.Histogram) Latency {
	return Latency{
		Count: histogram.TotalCount(),
		P50:   histogram.ValueAtQuantile(50),
		P99:   histogram.ValueAtQuantile(99),
		Max:   histogram.Max(),
	}
}

// Metrics are the signals of a process since it started.
type Metrics struct {
	DispatchRetries      uint64  `json:"start_probes_total_retry"`
	DispatchGiveUps      uint64  `json:"start_probes_total_giveup"`
	Retried              uint64  `json:"attempts_retried_total"`
	Started              uint64  `json:"tasks_started_total"`
	Finished             uint64  `json:"tasks_finished_total"`
	Preempted            uint64  `json:"tasks_preempted_total"`
	Provisioned          uint64  `json:"machines_rented_total"`
	Released             uint64  `json:"machines_returned_total"`
	RecoveryOrders       uint64  `json:"recovery_orders_total"`
	RecoveryOrdersTraced uint64  `json:"recovery_orders_total_traced"`
	Differences          uint64  `json:"recovery_differences_total"`
	StartToAck           Latency `json:"start_to_ack"`
	SubmitToAnswer       Latency `json:"submit_to_answer"`
}

// MetricsView returns the signals.
func (c *Controller) MetricsView() Metrics {
	c.mu.Lock()
	defer c.mu.Unlock()
	counters := c.metrics.earlierTerms
	if c.leadership.leading() {
		addCounters(&counters, c.leadership.scheduler.Counters())
	}
	return Metrics{
		DispatchRetries:      counters.DispatchRetries,
		DispatchGiveUps:      counters.DispatchGiveUps,
		Retried:              counters.TaskRetries,
		Started:              counters.Started,
		Finished:             counters.Finished,
		Preempted:            counters.Preempted,
		Provisioned:          counters.MachinesProvisioned,
		Released:             counters.MachinesReleased,
		RecoveryOrders:       counters.ReconcileOperations,
		RecoveryOrdersTraced: counters.ReconcileAttributed,
		Differences:          counters.Differences,
		StartToAck:           summarize(c.metrics.startToAck),
		SubmitToAnswer:       summarize(c.metrics.submitToAnswer),
	}
}
