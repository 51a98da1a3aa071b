package node

import (
	"context"
	"errors"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/yarrowgap/yarrowgap/internal/core"
	"github.com/yarrowgap/yarrowgap/internal/recovery"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// LeaderView says who leads, as far as this node knows.
type LeaderView struct {
	Node    string  `json:"node"`
	Leader  string  `json:"leader"`
	Term    uint64  `json:"term"`
	Leading bool    `json:"leading"`
	UpS     float64 `json:"up_s"`
}

// LeaderView says who leads, as far as this node knows.
func (n *Node) LeaderView() LeaderView {
	n.mu.Lock()
	defer n.mu.Unlock()
	return LeaderView{n.cfg.Node, n.lead.name, n.lead.term, n.leader != nil, time.Since(n.start).Seconds()}
}

// ask runs f on the leader's state; ok is false where this node does not lead.
func ask[T any](n *Node, f func(*core.Leader, core.Now) T) (out T, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leader == nil {
		return out, false
	}
	return f(n.leader, n.now()), true
}

// MachinesView lists machines.
func (n *Node) MachinesView(from string, most int) ([]core.MachineView, bool) {
	return ask(n, func(l *core.Leader, now core.Now) []core.MachineView { return l.Machines(now, from, most) })
}

// JobView describes a job: in full while it is live and this node leads, else
// by what is remembered of it. found is false for a job that nobody submitted;
// an error says that it cannot be told here and now.
func (n *Node) JobView(ctx context.Context, id string) (d *core.JobDetail, found bool, err error) {
	d, _ = ask(n, func(l *core.Leader, now core.Now) *core.JobDetail { return l.Job(now, id) })
	if d != nil {
		return d, true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, tuning.QueryPatience)
	defer cancel()
	v, found, err := n.known(ctx, id)
	if err != nil || !found {
		return nil, found, err
	}
	return &core.JobDetail{ID: id, State: v.State, Done: v.Done, Running: v.Running, Attempts: []core.TaskView{}}, true, nil
}

// WaitingView lists jobs that wait, with the reason.
func (n *Node) WaitingView(from string, most int) ([]core.JobDetail, bool) {
	return ask(n, func(l *core.Leader, now core.Now) []core.JobDetail { return l.Waiting(now, from, most) })
}

// FailuresView lists failed attempts of this term, the newest first.
func (n *Node) FailuresView(skip, most int) ([]core.Failure, bool) {
	return ask(n, func(l *core.Leader, now core.Now) []core.Failure { return l.Failures(skip, most) })
}

// ErrNoRecovery says that there has been no recovery to show, as far as the node knows.
var ErrNoRecovery = errors.New("there has been no recovery yet: nobody has led since this node began")

// RecoveryView describes the recovery of the present term. ok is false where this node
// does not lead; the error says that nobody has led yet.
func (n *Node) RecoveryView() (status recovery.Status, ok bool, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.leader != nil:
		return n.leader.RecoveryStatus(n.now()), true, nil
	case n.loadingSince.IsZero() && n.lead.term == 0:
		return status, false, ErrNoRecovery
	case n.loadingSince.IsZero():
		return status, false, nil
	}
	return recovery.Status{Phase: recovery.Loading.String(), Enabled: n.policy.Recovery, AgeS: time.Since(n.loadingSince).Seconds()}, true, nil
}

// DifferencesView lists what the recovery of the present term found.
func (n *Node) DifferencesView(class recovery.Class, skip, most int) ([]recovery.DifferenceView, bool) {
	return ask(n, func(l *core.Leader, _ core.Now) []recovery.DifferenceView {
		return l.RecoveryDifferences(class, skip, most)
	})
}

// Latency sums up a histogram, in milliseconds.
type Latency struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_ms"`
	P99   int64 `json:"p99_ms"`
	Max   int64 `json:"max_ms"`
}

func latency(h *hdrhistogram.Histogram) Latency {
	return Latency{h.TotalCount(), h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.Max()}
}

// Metrics are this process's signals since it started.
type Metrics struct {
	ProbeRetry     uint64  `json:"start_probes_total_retry"`
	ProbeGiveUp    uint64  `json:"start_probes_total_giveup"`
	Retried        uint64  `json:"attempts_retried_total"`
	Started        uint64  `json:"tasks_started_total"`
	Finished       uint64  `json:"tasks_finished_total"`
	Preempted      uint64  `json:"tasks_preempted_total"`
	Rented         uint64  `json:"machines_rented_total"`
	Returned       uint64  `json:"machines_returned_total"`
	RecoveryOrders uint64  `json:"recovery_orders_total"`
	RecoveryTraced uint64  `json:"recovery_orders_total_traced"`
	Differences    uint64  `json:"recovery_differences_total"`
	StartToAck     Latency `json:"start_to_ack"`
	SubmitToAnswer Latency `json:"submit_to_answer"`
}

// MetricsView returns the signals.
func (n *Node) MetricsView() Metrics {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.totals
	if n.leader != nil {
		addCounters(&c, n.leader.Counters())
	}
	return Metrics{c.ProbeRetry, c.ProbeGiveUp, c.Retried, c.Started, c.Finished, c.Preempted, c.Rented, c.Returned,
		c.RecoveryOrders, c.RecoveryTraced, c.Differences, latency(n.ack), latency(n.answers)}
}
