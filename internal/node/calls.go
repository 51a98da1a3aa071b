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

// carryOut starts the I/O that the core asked for.
func (n *Node) carryOut(l *core.Leader, e core.Effects) {
	for _, line := range e.Log {
		level := slog.LevelInfo
		if line.Debug {
			level = slog.LevelDebug
		}
		n.log.Log(context.Background(), level, line.Msg, line.Args...)
	}
	n.tracer.Recovery(n.start, e.Recovery)
	for _, c := range e.Commits {
		go n.commit(l, c)
	}
	for _, c := range e.Direct {
		go n.direct(l, c)
	}
	for _, r := range e.Rent {
		go n.rent(l, r.Request)
	}
	for _, names := range e.Release {
		go n.release(l, names)
	}
	if e.Resign != "" {
		n.stepDown(l, e.Resign)
	}
}

// trouble logs a failed call: at debug if its like is to be expected, as an error
// if the other side does not keep to the protocol.
func (n *Node) trouble(msg string, err error, args ...any) {
	level := slog.LevelDebug
	if errors.Is(err, rpc.ErrDecode) {
		level = slog.LevelError
	}
	n.log.Log(context.Background(), level, msg, append([]any{"err", err}, args...)...)
}

func (n *Node) commit(l *core.Leader, c core.Commit) {
	rev, failed, err := n.state.Commit(context.Background(), store.First, c.Txn)
	res := core.CommitUnknown
	switch {
	case err == nil:
		res = core.CommitDone
	case errors.Is(err, store.ErrConflict):
		res = core.CommitConflict
	case errors.Is(err, store.ErrRefused), errors.Is(err, store.ErrLimited):
		res = core.CommitRefused
	}
	if err != nil {
		n.trouble("commit", err, "failed", failed)
	}
	if errors.Is(err, store.ErrMalformed) {
		n.log.Error("the state service calls our write malformed", "err", err)
	}
	n.withLeader(l, func(now core.Now) { l.CommitDone(now, c.ID, res, rev, failed) })
}

// directCalls is how many direct calls there may be at once: a round of placement
// may have something for every machine, and sockets do not reach for all of them.
func directCalls(cfg *config.Settings) int {
	_, calls := cfg.Sockets()
	return min(calls, tuning.DirectMost)
}

func (n *Node) direct(l *core.Leader, c core.DirectCall) {
	n.calls <- struct{}{}
	defer func() { <-n.calls }()
	out, rep, err := n.workers.Commands(context.Background(), c.Addr, c.Body)
	if err != nil {
		n.trouble("direct call", err, "machine", c.Machine)
	}
	res := core.CallLost
	switch out {
	case worker.Executed:
		res = core.CallExecuted
	case worker.Refused:
		res = core.CallRefused
	}
	n.withLeader(l, func(now core.Now) { l.CallDone(now, c.ID, res, rep) })
}

// holds reports whether the leader's lease lasts for certain at this moment: the cloud
// checks neither conditions nor tokens, and the process may have stood still since the
// core decided.
func (n *Node) holds(l *core.Leader) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leader == l && time.Now().Before(n.heldTo)
}

func (n *Node) rent(l *core.Leader, r wire.RentRequest) {
	var names []string
	err := cloud.ErrRefused
	if n.holds(l) {
		names, err = n.cloud.Rent(context.Background(), r)
	}
	res := core.RentUnknown
	switch {
	case err == nil:
		res = core.RentDone
	case errors.Is(err, cloud.ErrCapacity):
		res = core.RentNone
	case errors.Is(err, cloud.ErrTrouble), errors.Is(err, cloud.ErrLimited), errors.Is(err, cloud.ErrRefused):
		res = core.RentRefused
	}
	n.withLeader(l, func(now core.Now) { l.Rented(now, r.Name, res, names) })
}

func (n *Node) release(l *core.Leader, names []string) {
	err := cloud.ErrRefused
	if n.holds(l) {
		err = n.cloud.Release(context.Background(), names)
	}
	res := core.ReleaseUnknown
	switch {
	case err == nil:
		res = core.ReleaseDone
	case errors.Is(err, cloud.ErrTrouble), errors.Is(err, cloud.ErrLimited), errors.Is(err, cloud.ErrRefused):
		res = core.ReleaseRefused
	}
	if err != nil {
		n.log.Info("release failed", "machines", names, "err", err)
	}
	n.withLeader(l, func(now core.Now) { l.Released(now, names, res) })
}

// listMachines reads the cloud's list while this node leads.
func (n *Node) listMachines(ctx context.Context, l *core.Leader) {
	wait := time.Duration(0)
	for sleep(ctx, wait) {
		list, err := n.cloud.List(ctx)
		if err != nil {
			wait = min(max(wait, tuning.CloudRetry)*2, tuning.CloudRetryMax)
			n.trouble("machine list", err)
			continue
		}
		// A long list takes several calls; three quarters of the rate are kept
		// for rentals and releases.
		pages := float64(1 + len(list)/tuning.ListPage)
		wait = max(tuning.ListEvery, config.Seconds(pages/(n.cfg.Deployment.Cloud.RPS*tuning.ListShare)))
		n.withLeader(l, func(now core.Now) { l.Listed(now, list) })
		if short := n.cfg.FleetShortfalls(len(list)); len(short) > 0 && len(list) > n.shortOf {
			n.shortOf = 2 * len(list)
			n.log.Error("settings fall short of the fleet", "what", short)
		}
	}
}
