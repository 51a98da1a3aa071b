package controller

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/cloud"
	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/kvstore"
	"github.com/yarrowgap/yarrowgap/internal/rpc"
	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/internal/worker"
	"github.com/yarrowgap/yarrowgap/wire"
)

// execute starts the I/O that the core asked for.
func (c *Controller) execute(sched *scheduler.Scheduler, effects scheduler.Effects) {
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

func (c *Controller) commit(sched *scheduler.Scheduler, request scheduler.Commit) {
	revision, failed, err := c.store.Commit(context.Background(), kvstore.PriorityLeader, request.Txn)
	result := scheduler.CommitUnknown
	switch {
	case err == nil:
		result = scheduler.CommitDone
	case errors.Is(err, kvstore.ErrConflict):
		result = scheduler.CommitConflict
	case errors.Is(err, kvstore.ErrUnavailable), errors.Is(err, kvstore.ErrRateLimited):
		result = scheduler.CommitRefused
	}
	if err != nil {
		c.logCallFailure("commit", err, "failed", failed)
	}
	if errors.Is(err, kvstore.ErrMalformedRequest) {
		c.log.Error("the state service calls our write malformed", "err", err)
	}
	c.updateScheduler(sched, func(now scheduler.Now) { sched.CommitDone(now, request.ID, result, revision, failed) })
}

// directCallLimit is how many direct calls there may be at once: a round of placement
// may have something for every machine, and sockets do not reach for all of them.
func directCallLimit(cfg *config.Settings) int {
	_, sockets := cfg.SocketLimits()
	return min(sockets, tuning.MaxWorkerCalls)
}

func (c *Controller) callWorker(sched *scheduler.Scheduler, call scheduler.DirectCall) {
	c.outgoing.directCallSlots <- struct{}{}
	defer func() { <-c.outgoing.directCallSlots }()
	outcome, heartbeat, err := c.workers.SendCommands(context.Background(), call.Addr, call.Body)
	if err != nil {
		c.logCallFailure("direct call", err, "machine", call.Machine)
	}
	result := scheduler.CallLost
	switch outcome {
	case worker.Executed:
		result = scheduler.CallExecuted
	case worker.Rejected:
		result = scheduler.CallRefused
	}
	c.updateScheduler(sched, func(now scheduler.Now) { sched.CallDone(now, call.ID, result, heartbeat) })
}

// holdsLease reports whether the leader's lease lasts for certain at this moment: the cloud
// checks neither conditions nor tokens, and the process may have stood still since the
// core decided.
func (c *Controller) holdsLease(sched *scheduler.Scheduler) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leadership.scheduler == sched && time.Now().Before(c.leadership.leaseHeldUntil)
}

func (c *Controller) provision(sched *scheduler.Scheduler, request wire.ProvisionRequest) {
	var names []string
	err := cloud.ErrRejected
	if c.holdsLease(sched) {
		names, err = c.cloud.Provision(context.Background(), request)
	}
	result := scheduler.ProvisionUnknown
	switch {
	case err == nil:
		result = scheduler.ProvisionDone
	case errors.Is(err, cloud.ErrNoCapacity):
		result = scheduler.ProvisionNoCapacity
	case errors.Is(err, cloud.ErrUnavailable), errors.Is(err, cloud.ErrRateLimited), errors.Is(err, cloud.ErrRejected):
		result = scheduler.ProvisionRefused
	}
	c.updateScheduler(sched, func(now scheduler.Now) { sched.Provisioned(now, request.RequestID, result, names) })
}

func (c *Controller) releaseMachines(sched *scheduler.Scheduler, names []string) {
	err := cloud.ErrRejected
	if c.holdsLease(sched) {
		err = c.cloud.Release(context.Background(), names)
	}
	result := scheduler.ReleaseUnknown
	switch {
	case err == nil:
		result = scheduler.ReleaseDone
	case errors.Is(err, cloud.ErrUnavailable), errors.Is(err, cloud.ErrRateLimited), errors.Is(err, cloud.ErrRejected):
		result = scheduler.ReleaseRefused
	}
	if err != nil {
		c.log.Info("release failed", "machines", names, "err", err)
	}
	c.updateScheduler(sched, func(now scheduler.Now) { sched.Released(now, names, result) })
}

// pollMachineList reads the cloud's list while this node leads.
func (c *Controller) pollMachineList(ctx context.Context, sched *scheduler.Scheduler) {
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
		c.updateScheduler(sched, func(now scheduler.Now) { sched.MachinesListed(now, list) })
		if shortfalls := c.cfg.FleetShortfalls(len(list)); len(shortfalls) > 0 && len(list) > c.outgoing.shortfallLoggedFor {
			c.outgoing.shortfallLoggedFor = 2 * len(list)
			c.log.Error("settings fall short of the fleet", "what", shortfalls)
		}
	}
}
