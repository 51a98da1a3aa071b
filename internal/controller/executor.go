package controller

import (
	"context"
	"errors"
	"log/slog"

	"github.com/yarrowgap/yarrowgap/internal/cloud"
	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/kvstore"
	"github.com/yarrowgap/yarrowgap/internal/rpc"
	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/internal/worker"
	"github.com/yarrowgap/yarrowgap/wire"
)

// execute starts the I/O that the scheduler decided on. Called with the lock held.
func (c *Controller) execute(sched *scheduler.Scheduler, effects scheduler.Effects) {
	for _, line := range effects.Log {
		c.log.Log(context.Background(), line.Level, line.Message, line.Attributes...)
	}
	c.tracer.ReconcileEvents(c.startedAt, effects.Reconciliation)
	calls := executor{c, sched}
	for _, request := range effects.Commits {
		go calls.commit(request)
	}
	for _, call := range effects.DirectCalls {
		go calls.callWorker(call)
	}
	for _, request := range effects.Provision {
		go calls.provision(request.Request)
	}
	for _, names := range effects.Release {
		go calls.release(names)
	}
	if effects.Resign != "" {
		c.resign(sched, stepDownReason(effects.Resign))
	}
}

// executor makes the calls of one term's scheduler and feeds it their results, which are
// dropped once the term is over. Its methods are called without the lock, each in a
// goroutine of its own, which ends with the call.
type executor struct {
	controller *Controller
	scheduler  *scheduler.Scheduler
}

func (e executor) commit(request scheduler.Commit) {
	c := e.controller
	revision, failedKeys, err := c.store.Commit(context.Background(), kvstore.PriorityLeader, request.Txn)
	if err != nil {
		logCallFailure(c.log, "transaction failed", err, "keys", failedKeys)
	}
	if errors.Is(err, kvstore.ErrMalformedRequest) {
		c.log.Error("transaction called malformed by the key-value store", "err", err)
	}
	c.updateScheduler(e.scheduler, func(now scheduler.Now) {
		e.scheduler.CommitDone(now, request.ID, commitResult(err), revision, failedKeys)
	})
}

func commitResult(err error) scheduler.CommitResult {
	switch {
	case err == nil:
		return scheduler.CommitDone
	case errors.Is(err, kvstore.ErrConflict):
		return scheduler.CommitConflict
	case errors.Is(err, kvstore.ErrUnavailable), errors.Is(err, kvstore.ErrRateLimited):
		return scheduler.CommitRefused
	}
	return scheduler.CommitUnknown
}

// maxDirectCalls returns how many calls to workers there may be at once: a placement round
// may have commands for every machine, and there are not enough sockets for all of them.
func maxDirectCalls(cfg *config.Settings) int {
	_, sockets := cfg.SocketLimits()
	return min(sockets, tuning.MaxWorkerCalls)
}

func (e executor) callWorker(call scheduler.DirectCall) {
	c := e.controller
	c.directCallSlots <- struct{}{}
	defer func() { <-c.directCallSlots }()
	outcome, heartbeat, err := c.workers.SendCommands(context.Background(), call.Addr, call.Body)
	if err != nil {
		logCallFailure(c.log, "commands not delivered", err, "machine", call.Machine)
	}
	c.updateScheduler(e.scheduler, func(now scheduler.Now) {
		e.scheduler.CallDone(now, call.ID, callResult(outcome), heartbeat)
	})
}

func callResult(outcome worker.Outcome) scheduler.CallResult {
	switch outcome {
	case worker.Executed:
		return scheduler.CallExecuted
	case worker.Rejected:
		return scheduler.CallRefused
	}
	return scheduler.CallLost
}

// holdsLease reports whether the leader's lease lasts for certain now: the cloud checks
// neither comparisons nor fencing tokens, and there may have been a process pause since the
// scheduler decided.
func (e executor) holdsLease() bool {
	e.controller.mu.Lock()
	defer e.controller.mu.Unlock()
	return e.controller.leadership.holdsLease(e.scheduler)
}

func (e executor) provision(request wire.ProvisionRequest) {
	var names []string
	err := cloud.ErrRejected
	if e.holdsLease() {
		names, err = e.controller.cloud.Provision(context.Background(), request)
	}
	e.controller.updateScheduler(e.scheduler, func(now scheduler.Now) {
		e.scheduler.Provisioned(now, request.RequestID, provisionResult(err), names)
	})
}

func provisionResult(err error) scheduler.ProvisionResult {
	switch {
	case err == nil:
		return scheduler.ProvisionDone
	case errors.Is(err, cloud.ErrNoCapacity):
		return scheduler.ProvisionNoCapacity
	case notCarriedOut(err):
		return scheduler.ProvisionRefused
	}
	return scheduler.ProvisionUnknown
}

func (e executor) release(names []string) {
	err := cloud.ErrRejected
	if e.holdsLease() {
		err = e.controller.cloud.Release(context.Background(), names)
	}
	if err != nil {
		e.controller.log.Info("machine release failed", "machines", names, "err", err)
	}
	e.controller.updateScheduler(e.scheduler, func(now scheduler.Now) {
		e.scheduler.Released(now, names, releaseResult(err))
	})
}

func releaseResult(err error) scheduler.ReleaseResult {
	switch {
	case err == nil:
		return scheduler.ReleaseDone
	case notCarriedOut(err):
		return scheduler.ReleaseRefused
	}
	return scheduler.ReleaseUnknown
}

// notCarriedOut reports whether the cloud said that it has not carried out the request.
func notCarriedOut(err error) bool {
	return errors.Is(err, cloud.ErrUnavailable) || errors.Is(err, cloud.ErrRateLimited) || errors.Is(err, cloud.ErrRejected)
}

// logCallFailure logs a failed call: at debug, since failures of its like are expected, or
// as an error if the other side does not keep to the protocol.
func logCallFailure(log *slog.Logger, message string, err error, attributes ...any) {
	level := slog.LevelDebug
	if errors.Is(err, rpc.ErrMalformedResponse) {
		level = slog.LevelError
	}
	log.Log(context.Background(), level, message, append([]any{"err", err}, attributes...)...)
}
