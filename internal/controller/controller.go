// Package controller runs a controller process: it feeds the scheduler's state machine with
// what the network brings and carries out what the scheduler decides.
//
// # State and its lock
//
// One lock, Controller.mu, guards the state of the process, which is divided into parts:
//
//   - leadership: the scheduler and the lease, while this controller leads
//   - membership: the peers, and who leads
//   - replication: the local copy of the jobs
//   - cancellations: which cancellations were confirmed to users, and which are enforced
//   - machineTypes and metrics
//
// Methods of these parts are called with the lock held and touch nothing else; methods of
// Controller that need the lock held say so. Each input takes the lock by update, which also
// carries out what the scheduler decided.
//
// Work that waits for others is done without the lock, by types that reach the state by
// update or take the lock for a look: election and leaderTerm (to lead), leaderWatch and
// pinger (peers), jobSync (the replica), machineTypeSource, executor (the scheduler's
// calls), and userRequest, submission and jobReader (users' requests). I/O comes back as an
// input. replicaRefresher and admission have their own synchronization.
//
// # Goroutines
//
// Run starts the loops of the process, leaderTerm.serve those of a term; both wait for them
// to end. Goroutines for a single call (an effect, a forwarded request, a read that callers
// share) end with the call, which has a timeout.
package controller

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/cloud"
	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/kvstore"
	"github.com/yarrowgap/yarrowgap/internal/peer"
	"github.com/yarrowgap/yarrowgap/internal/policy"
	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/internal/tracing"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/internal/worker"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Controller is one controller process. The fields above mu do not change once Run has
// begun; those below metrics have their own synchronization.
//
// It has an exported method for each kind of input (a user's request, a heartbeat, a ping, a
// forwarded request, an operator's query), and the methods that touch several of its parts
// at once; what needs one part alone is a method of the part.
type Controller struct {
	cfg       *config.Settings
	policy    policy.Settings
	log       *slog.Logger
	bootID    uint64 // tells this process from its predecessors
	startedAt time.Time

	tracer     *tracing.Tracer // nil: nothing is traced
	store      *kvstore.Client
	cloud      *cloud.Client
	workers    *worker.Client
	peerClient *peer.Client

	mu            sync.Mutex // guards the fields from here to metrics
	leadership    leadership
	membership    membership
	replication   replication
	cancellations cancellations
	machineTypes  []wire.MachineType
	metrics       metrics

	jobSync         *jobSync
	admission       admission
	directCallSlots chan struct{} // bounds concurrent calls to workers
	// shortfallsLoggedFor is up to how many machines it is logged that settings fall short
	// of them. Only pollMachineList uses it, of which one runs at a time.
	shortfallsLoggedFor int
}

// New makes a controller. Run starts it.
func New(cfg *config.Settings, schedulingPolicy policy.Settings, log *slog.Logger) *Controller {
	c := &Controller{
		cfg: cfg, policy: schedulingPolicy, log: log, bootID: rand.Uint64() >> 1, startedAt: time.Now(),
		store:           kvstore.New(cfg.Endpoints.Store, cfg.Deployment.Store.RPS*tuning.StoreReadRateShare),
		cloud:           cloud.New(cfg.Endpoints.Cloud),
		workers:         worker.New(),
		peerClient:      peer.New(),
		replication:     replication{replica: scheduler.NewReplica()},
		metrics:         newMetrics(),
		admission:       newAdmission(),
		directCallSlots: make(chan struct{}, maxDirectCalls(cfg)),
	}
	c.membership = newMembership(cfg.Peers, c.store.UnavailableFor)
	c.jobSync = newJobSync(c)
	return c
}

// SetRequestBacklog sets how the controller learns for how long requests wait before they
// are read. It is called before Run.
func (c *Controller) SetRequestBacklog(backlog func() time.Duration) {
	c.admission.requestBacklog = backlog
}

// SetTracer has the controller make spans. It is called before Run.
func (c *Controller) SetTracer(tracer *tracing.Tracer) { c.tracer = tracer }

// Run works until ctx ends, and returns when all its loops have ended.
func (c *Controller) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { election{c}.run(ctx) })
	loops.Go(func() { c.refreshMachineTypes(ctx) })
	loops.Go(func() { c.pingPeers(ctx) })
	loops.Go(func() { c.jobSync.run(ctx) })
	loops.Go(func() { c.runTicker(ctx) })
	loops.Go(func() { newLeaderWatch(c).run(ctx) })
	loops.Wait()
}

// Healthy reports whether users' requests should come to this controller: unless it is
// isolated, it can answer them or forward them to a peer that can. A controller that shares
// its fault with all others stays healthy, since taking it back in would take time.
func (c *Controller) Healthy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.membership.isolated()
}

func (c *Controller) now() scheduler.Now {
	now := time.Now()
	return scheduler.Now{Mono: now.Sub(c.startedAt), Wall: now.UnixMilli()}
}

// update runs one input under the lock and carries out what came of it.
func (c *Controller) update(input func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	input()
	c.settle()
}

// updateScheduler feeds the scheduler of a term, unless the term is over.
func (c *Controller) updateScheduler(sched *scheduler.Scheduler, input func(scheduler.Now)) {
	c.update(func() {
		if c.leadership.scheduler == sched {
			input(c.now())
		}
	})
}

// settle lets the scheduler act on what changed. Placement keeps a minimum interval between
// rounds; if it has to wait, settle runs again later. Called with the lock held.
func (c *Controller) settle() {
	sched := c.leadership.scheduler
	if sched == nil {
		return
	}
	c.settleScheduler(sched)
	c.execute(sched, sched.TakeEffects())
	if c.leadership.scheduler == sched && sched.PlacementPending() && !c.leadership.settleScheduled {
		c.leadership.settleScheduled = true
		time.AfterFunc(tuning.MinPlacementInterval, func() { c.update(func() { c.leadership.settleScheduled = false }) })
	}
}

// settleScheduler settles the scheduler, which may be a placement round, and traces that.
func (c *Controller) settleScheduler(sched *scheduler.Scheduler) {
	if !c.tracer.Enabled() {
		sched.Settle(c.now())
		return
	}
	roundsBefore, startedAt := sched.PlacementRounds(), time.Now()
	sched.Settle(c.now())
	if sched.PlacementRounds() != roundsBefore {
		c.tracer.PlacementRound(startedAt, time.Now())
	}
}

// runTicker drives what depends on time alone. How late its ticks come shows how far the
// process lags behind its share of the processor.
func (c *Controller) runTicker(ctx context.Context) {
	for {
		startedAt := time.Now()
		if !sleep(ctx, tuning.TickInterval) {
			return
		}
		c.admission.tickLag.Store(int64(time.Since(startedAt) - tuning.TickInterval))
		c.update(c.tick)
	}
}

// tick checks that this controller may still lead and lets time pass for the scheduler.
// Called with the lock held.
func (c *Controller) tick() {
	sched := c.leadership.scheduler
	switch {
	case sched == nil:
	case c.membership.isolated():
		// Whoever leads by now cannot tell us, and our workers would stay with us. Their
		// leases are renewed as followers do it.
		c.stepDown(sched, stepDownIsolated)
	case !c.mayRenewLeases():
		c.stepDown(sched, stepDownWatermarkTooOld)
	default:
		sched.Tick(c.now())
	}
}
