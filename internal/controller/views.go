package controller

import (
	"context"
	"errors"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/yarrowgap/yarrowgap/internal/kvstore"
	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// LeaderView is what a controller knows about the leader. Node is the controller that was asked,
// and UpS the uptime of its process, in seconds.
type LeaderView struct {
	Node    string  `json:"node"`
	Leader  string  `json:"leader"`
	Term    uint64  `json:"term"`
	Leading bool    `json:"leading"`
	UpS     float64 `json:"up_s"`
}

// LeaderView returns what this controller knows about the leader.
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

// queryScheduler reads the scheduler's state. ok is false if this controller does not lead.
func queryScheduler[T any](c *Controller, read func(scheduler.View, scheduler.Now) T) (result T, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leadership.leading() {
		return result, false
	}
	return read(c.leadership.scheduler.View(), c.now()), true
}

// MachinesView lists up to limit machines in the order of their names, starting after the given
// name. It returns false if this controller does not lead.
func (c *Controller) MachinesView(after string, limit int) ([]scheduler.MachineView, bool) {
	return queryScheduler(c, func(view scheduler.View, now scheduler.Now) []scheduler.MachineView {
		return view.Machines(now, after, limit)
	})
}

// JobView describes a job. The description has all details if the job is live and this controller
// leads; otherwise it has only the job's state and task counts. found is false if the job does not
// exist; an error means that this controller cannot determine the state now.
func (c *Controller) JobView(ctx context.Context, id string) (detail *scheduler.JobDetail, found bool, err error) {
	detail, _ = queryScheduler(c, func(view scheduler.View, now scheduler.Now) *scheduler.JobDetail { return view.Job(now, id) })
	if detail != nil {
		return detail, true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, tuning.LocalQueryTimeout)
	defer cancel()
	snapshot, err := c.lookUpJob(ctx, id)
	if err != nil || !snapshot.found {
		return nil, snapshot.found, err
	}
	view := snapshot.view
	return &scheduler.JobDetail{ID: id, State: view.State, Done: view.Done, Running: view.Running, Attempts: []scheduler.TaskView{}}, true, nil
}

// WaitingView lists up to limit jobs with waiting tasks, and the reason for the wait, in the order
// of their IDs, starting after the given ID. It returns false if this controller does not lead.
func (c *Controller) WaitingView(after string, limit int) ([]scheduler.JobDetail, bool) {
	return queryScheduler(c, func(view scheduler.View, now scheduler.Now) []scheduler.JobDetail {
		return view.Waiting(now, after, limit)
	})
}

// FailuresView lists up to limit failed attempts of this term, the newest first, after skipping
// the given number. It returns false if this controller does not lead.
func (c *Controller) FailuresView(skip, limit int) ([]scheduler.Failure, bool) {
	return queryScheduler(c, func(view scheduler.View, _ scheduler.Now) []scheduler.Failure {
		return view.Failures(skip, limit)
	})
}

// ErrNoRecovery means that there is no recovery to describe, because this controller has not known
// any leader since its process started.
var ErrNoRecovery = errors.New("there has been no recovery yet: nobody has led since this node began")

// RecoveryView describes the restart reconciliation of the current term. ok is false if this
// controller neither leads nor loads the records of a new term; err is ErrNoRecovery if also no
// leader has been known since the process started.
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

// DifferencesView lists up to limit differences of the given class, or of all classes for
// reconcile.None, that the reconciliation of the current term has found, after skipping the given
// number. It returns false if this controller does not lead.
func (c *Controller) DifferencesView(class reconcile.Class, skip, limit int) ([]reconcile.DifferenceView, bool) {
	return queryScheduler(c, func(view scheduler.View, _ scheduler.Now) []reconcile.DifferenceView {
		return view.ReconciliationDifferences(class, skip, limit)
	})
}

// LatencySummary summarizes a latency histogram.
type LatencySummary struct {
	Count    int64 `json:"count"`
	P50Milli int64 `json:"p50_ms"`
	P99Milli int64 `json:"p99_ms"`
	MaxMilli int64 `json:"max_ms"`
}

func summarize(histogram *hdrhistogram.Histogram) LatencySummary {
	return LatencySummary{
		Count:    histogram.TotalCount(),
		P50Milli: histogram.ValueAtQuantile(50),
		P99Milli: histogram.ValueAtQuantile(99),
		MaxMilli: histogram.Max(),
	}
}

// Metrics are the counters and latencies of a controller process since it started. Counters cover
// the terms in which it led.
type Metrics struct {
	DispatchRetries               uint64         `json:"start_probes_total_retry"`
	DispatchGiveUps               uint64         `json:"start_probes_total_giveup"`
	TaskRetries                   uint64         `json:"attempts_retried_total"`
	TasksStarted                  uint64         `json:"tasks_started_total"`
	TasksFinished                 uint64         `json:"tasks_finished_total"`
	TasksPreempted                uint64         `json:"tasks_preempted_total"`
	MachinesProvisioned           uint64         `json:"machines_rented_total"`
	MachinesReleased              uint64         `json:"machines_returned_total"`
	ReconcileOperations           uint64         `json:"recovery_orders_total"`
	ReconcileOperationsAttributed uint64         `json:"recovery_orders_total_traced"`
	Differences                   uint64         `json:"recovery_differences_total"`
	StartToAck                    LatencySummary `json:"start_to_ack"`
	SubmitToAnswer                LatencySummary `json:"submit_to_answer"`
	// UserRequests counts users' requests by "kind: outcome".
	UserRequests map[string]uint64 `json:"user_requests_total"`
	// HealthChecks counts the checks of load balancers, and Connections those of users and workers.
	HealthChecks HealthCheckSummary `json:"health_checks"`
	Connections  ConnectionCounts   `json:"connections"`
	// LongestUnansweredMilli is the longest time for which this controller was asked about a job
	// without answering.
	LongestUnansweredMilli int64  `json:"longest_unanswered_ms"`
	InvariantViolations    uint64 `json:"invariant_violations_total"`
	// StoreTransactions counts this controller's transactions at the key-value store by outcome.
	StoreTransactions kvstore.CommitCounts `json:"store_transactions_total"`
}

// MetricsView returns the metrics of this process.
func (c *Controller) MetricsView() Metrics {
	c.mu.Lock()
	defer c.mu.Unlock()
	counters := c.metrics.endedTermCounters
	userRequests, _ := c.requestCounts.snapshot()
	if c.leadership.leading() {
		addCounters(&counters, c.leadership.scheduler.Counters())
	}
	return Metrics{
		DispatchRetries:               counters.DispatchRetries,
		DispatchGiveUps:               counters.DispatchGiveUps,
		TaskRetries:                   counters.TaskRetries,
		TasksStarted:                  counters.Started,
		TasksFinished:                 counters.Finished,
		TasksPreempted:                counters.Preempted,
		MachinesProvisioned:           counters.MachinesProvisioned,
		MachinesReleased:              counters.MachinesReleased,
		ReconcileOperations:           counters.ReconcileOperations,
		ReconcileOperationsAttributed: counters.ReconcileAttributed,
		Differences:                   counters.Differences,
		StartToAck:                    summarize(c.metrics.startToAck),
		SubmitToAnswer:                summarize(c.metrics.submitToAnswer),
		UserRequests:                  userRequests,
		HealthChecks:                  c.healthChecks.summary(),
		Connections:                   c.connections(),
		LongestUnansweredMilli:        c.queryGaps.longest().Milliseconds(),
		InvariantViolations:           c.metrics.invariantViolations,
		StoreTransactions:             c.store.CommitCounts(),
	}
}
