package controller

import (
	"sync/atomic"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// healthGate decides whether this controller tells load balancers that it can take requests. It
// withdraws while it is isolated, so that users are sent to controllers that can answer.
//
// A load balancer keeps a controller out for twice as long with each withdrawal in a row, up to
// longer than users may go without an answer. An isolated controller cannot know whether the others
// serve: if all are isolated, all withdraw, and nobody answers until long after the cause has ended.
// Hence it withdraws at most tuning.MaxWithdrawals times in a row and then stays in service.
//
// Its methods are called with Controller.mu held, except inService.
type healthGate struct {
	withdrawn       atomic.Bool // whether health checks are answered with 503
	isolated        bool
	withdrawals     int // in a row, each within tuning.WithdrawalMemory after the one before
	lastWithdrawnAt time.Time
}

// inService reports whether health checks are answered with 200. It needs no lock.
func (g *healthGate) inService() bool { return !g.withdrawn.Load() }

// beginIsolation withdraws the controller from load balancers, unless it did so too often. It has no
// effect while the controller is isolated already.
func (g *healthGate) beginIsolation(now time.Time) {
	if g.isolated {
		return
	}
	g.isolated = true
	if g.mayWithdraw(now) {
		g.withdrawals++
		g.lastWithdrawnAt = now
		g.withdrawn.Store(true)
	}
}

// endIsolation returns the controller to service.
func (g *healthGate) endIsolation() {
	g.isolated = false
	g.withdrawn.Store(false)
}

// mayWithdraw reports whether another withdrawal is allowed.
func (g *healthGate) mayWithdraw(now time.Time) bool {
	if now.Sub(g.lastWithdrawnAt) >= tuning.WithdrawalMemory {
		g.withdrawals = 0
	}
	//mutation:withdrawals-bound
	return g.withdrawals < tuning.MaxWithdrawals
}
