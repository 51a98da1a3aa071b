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

// execute carries out the effects of a scheduler: it logs and traces, starts each call in a new
// goroutine, and resigns if the scheduler asks for it. Called with the lock held.
func (c *Controller) execute(sched *scheduler.Scheduler, effects scheduler.Effects) {
	for _, line := range effects.Log {
		c.log.Log(context.Background(), line.Level, line.Message, line.Attributes...)
	}
	c.tracer.ReconcileEvents(c.startedAt, effects.Reconciliation)
	exec := executor{c, sched}
	for _, request := range effects.Commits {
		go exec.commit(request)
	}
	for _, call := range effects.DirectCalls {
		go exec.callWorker(call)
	}
	for _, request := range effects.Provision {
		go exec.provision(request.Request)
	}
	for _, names := range effects.Release {
		go exec.release(names)
	}
	if effects.Resign != "" {
		c.resign(sched, stepDownReason(effects.Resign))
	}
}

// executor makes the calls of one term's scheduler and passes their results to it, unless the term
// has ended by then. Its methods are called without the lock, each in a goroutine of its own,
// which ends with the call.
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
	c.updateScheduler(e.scheduler, func(now scheduler.Now) {
		e.scheduler.CommitEnded(now, request.ID, commitResult(err), revision, failedKeys)
	})
}

func commitResult(err error) scheduler.CommitResult {
	switch {
	case err == nil:
		return scheduler.CommitDone
	case errors.Is(err, kvstore.ErrConflict):
		return scheduler.CommitConflict
	case errors.Is(err, kvstore.ErrUnavailable), errors.Is(err, kvstore.ErrOverBudget):
		return scheduler.CommitRefused
	case errors.Is(err, kvstore.ErrRateLimited):
		return scheduler.CommitRateLimited
	//mutation:rejected-transaction-is-not-executed
	case errors.Is(err, kvstore.ErrRejected):
		return scheduler.CommitRejected
	}
	return scheduler.CommitUnknown
}

// maxConcurrentWorkerCalls returns the limit on concurrent calls to workers. A placement round may
// produce commands for every machine, and there are not enough sockets for all of them at once.
func maxConcurrentWorkerCalls(cfg *config.Settings) int {
	_, sockets := cfg.SocketLimits()
	return min(sockets, tuning.MaxWorkerCalls)
}

func (e executor) callWorker(call scheduler.DirectCall) {
	c := e.controller
	c.workerCallSlots <- struct{}{}
	defer func() { <-c.workerCallSlots }()
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

// holdsLease reports whether the leader's lease has certainly not expired. It is checked before
// each change at the cloud, which verifies neither compare conditions nor fencing tokens: there
// may have been a process pause since the scheduler decided on the change.
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
		e.scheduler.ProvisionEnded(now, request.RequestID, provisionResult(err), names)
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
		e.scheduler.ReleaseEnded(now, names, releaseResult(err))
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

// notCarriedOut reports whether err shows that the cloud has not carried out the request.
func notCarriedOut(err error) bool {
	return errors.Is(err, cloud.ErrUnavailable) || errors.Is(err, cloud.ErrRateLimited) || errors.Is(err, cloud.ErrRejected)
}

// logCallFailure logs a failed call: at level debug, since such failures are expected, or at level
// error if the other side violates the protocol.
func logCallFailure(log *slog.Logger, message string, err error, attributes ...any) {
	level := slog.LevelDebug
	if errors.Is(err, rpc.ErrMalformedResponse) {
		level = slog.LevelError
	}
	log.Log(context.Background(), level, message, append([]any{"err", err}, attributes...)...)
}
