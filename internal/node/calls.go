package node

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/cloud"
	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/core"
	"github.com/yarrowgap/yarrowgap/internal/rpc"
	"github.com/yarrowgap/yarrowgap/internal/store"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/internal/worker"
	"github.com/yarrowgap/yarrowgap/wire"
)

// execute starts the I/O that the core asked for.
func (c *Controller) execute(sched *core.Scheduler, effects core.Effects) {
	for _, entry := range effects.Log {
		level := slog.LevelInfo
		if entry.Debug {
			level = slog.LevelDebug
		}
		c.log.Log(context.Background(), level, entry.Msg, entry.Args...)
	}
	c.tracer.ReconcileEvents(c.startedAt, effects.Reconciliation)
	for _, item := range effects.Commits {
		go c.commit(sched, item)
	}
	for _, item := range effects.DirectCalls {
		go c.callWorker(sched, item)
	}
	for _, request := range effects.Provision {
		go c.provision(sched, request.Request)
	}
	for _, names := range effects.Release {
		go c.releaseMachines(sched, names)
	}
	if effects.Resign != "" {
		c.stepDown(sched, effects.Resign)
	}
}

// logCallFailure logs a failed call: at debug if its like is to be expected, as an error
// if the other side does not keep to the protocol.
func (c *Controller) logCallFailure(msg string, err error, args ...any) {
	level := slog.LevelDebug
	if errors.Is(err, rpc.ErrMalformedAnswer) {
		level = slog.LevelError
	}
	c.log.Log(context.Background(), level, msg, append([]any{"err", err}, args...)...)
}

func (c *Controller) commit(sched *core.Scheduler, request core.Commit) {
	revision, failed, err := c.store.Commit(context.Background(), store.PriorityLeader, request.Txn)
	result := core.CommitUnknown
	switch {
	case err == nil:
		result = core.CommitDone
	case errors.Is(err, store.ErrConflict):
		result = core.CommitConflict
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrRateLimited):
		result = core.CommitRefused
	}
	if err != nil {
		c.logCallFailure("commit", err, "failed", failed)
	}
	if errors.Is(err, store.ErrMalformedRequest) {
		c.log.Error("the state service calls our write malformed", "err", err)
	}
	c.updateScheduler(sched, func(now core.Now) { sched.CommitDone(now, request.ID, result, revision, failed) })
}

// directCallLimit is how many direct calls there may be at once: a round of placement
// may have something for every machine, and sockets do not reach for all of them.
func directCallLimit(cfg *config.Settings) int {
	_, sockets := cfg.SocketLimits()
	return min(sockets, tuning.MaxWorkerCalls)
}

func (c *Controller) callWorker(sched *core.Scheduler, call core.DirectCall) {
	c.calls <- struct{}{}
	defer func() { <-c.calls }()
	outcome, heartbeat, err := c.workers.SendCommands(context.Background(), call.Addr, call.Body)
	if err != nil {
		c.logCallFailure("direct call", err, "machine", call.Machine)
	}
	result := core.CallLost
	switch outcome {
	case worker.Executed:
		result = core.CallExecuted
	case worker.Rejected:
		result = core.CallRefused
	}
	c.updateScheduler(sched, func(now core.Now) { sched.CallDone(now, call.ID, result, heartbeat) })
}

// holdsLease reports whether the leader's lease lasts for certain at this moment: the cloud
// checks neither conditions nor tokens, and the process may have stood still since the
// core decided.
func (c *Controller) holdsLease(sched *core.Scheduler) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader == sched && time.Now().Before(c.heldTo)
}

func (c *Controller) provision(sched *core.Scheduler, request wire.ProvisionRequest) {
	var names []string
	err := cloud.ErrRejected
	if c.holdsLease(sched) {
		names, err = c.cloud.Provision(context.Background(), request)
	}
	result := core.ProvisionUnknown
	switch {
	case err == nil:
		result = core.ProvisionDone
	case errors.Is(err, cloud.ErrNoCapacity):
		result = core.ProvisionNoCapacity
	case errors.Is(err, cloud.ErrUnavailable), errors.Is(err, cloud.ErrRateLimited), errors.Is(err, cloud.ErrRejected):
		result = core.ProvisionRefused
	}
	c.updateScheduler(sched, func(now core.Now) { sched.Provisioned(now, request.RequestID, result, names) })
}

func (c *Controller) releaseMachines(sched *core.Scheduler, names []string) {
	err := cloud.ErrRejected
	if c.holdsLease(sched) {
		err = c.cloud.Release(context.Background(), names)
	}
	result := core.ReleaseUnknown
	switch {
	case err == nil:
		result = core.ReleaseDone
	case errors.Is(err, cloud.ErrUnavailable), errors.Is(err, cloud.ErrRateLimited), errors.Is(err, cloud.ErrRejected):
		result = core.ReleaseRefused
	}
	if err != nil {
		c.log.Info("release failed", "machines", names, "err", err)
	}
	c.updateScheduler(sched, func(now core.Now) { sched.Released(now, names, result) })
}

// pollMachineList reads the cloud's list while this node leads.
func (c *Controller) pollMachineList(ctx context.Context, sched *core.Scheduler) {
	wait := time.Duration(0)
	for sleep(ctx, wait) {
		list, err := c.cloud.ListMachines(ctx)
		if err != nil {
			wait = min(max(wait, tuning.CloudRetryDelay)*2, tuning.MaxCloudRetryDelay)
			c.logCallFailure("machine list", err)
			continue
		}
		// A long list takes several calls; three quarters of the rate are kept
		// for rentals and releases.
		pages := float64(1 + len(list)/tuning.MachineListPageSize)
		wait = max(tuning.MachineListInterval, config.Seconds(pages/(c.cfg.Deployment.Cloud.RPS*tuning.MachineListRateShare)))
		c.updateScheduler(sched, func(now core.Now) { sched.MachinesListed(now, list) })
		if shortfalls := c.cfg.FleetShortfalls(len(list)); len(shortfalls) > 0 && len(list) > c.shortOf {
			c.shortOf = 2 * len(list)
			c.log.Error("settings fall short of the fleet", "what", shortfalls)
		}
	}
}
