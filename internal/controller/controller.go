// Package controller implements a controller process. It passes network input, such as users'
// requests and workers' heartbeats, to the scheduler's state machine and carries out the
// scheduler's decisions.
//
// # State and locking
//
// One lock, Controller.mu, guards the state of the process, which is divided into parts:
//
//   - leadership: the scheduler and the lease, while this controller leads
//   - membership: the peers and the current leader
//   - replication: the local copy of the jobs
//   - cancellations: which cancellations were confirmed to users, and which are enforced
//   - machineTypes and metrics
//
// Methods of these parts are called with the lock held, unless their comments say that they need
// no lock, and access no state of other parts. Methods of Controller that need the lock held say
// so. Each input that the scheduler must act on, results of I/O included, is applied by update,
// which takes the lock and then also carries out the scheduler's decisions.
//
// Blocking work is done without the lock, by types that change the state through update, or
// take the lock briefly for reads and for changes that need no action of the scheduler:
// election and leaderTerm (leadership), leaderWatch and pinger (peers), jobSync (the replica),
// machineTypeSource, executor (the scheduler's calls), and userRequest, submission and jobReader
// (users' requests). replicaRefresher, admission, requestCounts, healthCheckCounts, queryGaps and
// rejectionLog have their own synchronization.
//
// # Goroutines
//
// Run starts the loops of the process, and leaderTerm.serve starts the loops of a term; each
// waits for its loops to end. A goroutine for a single call (an effect, a commit, a forwarded
// request) ends with that call, which has a timeout. The goroutine that makes the reads of
// replicaRefresher ends when no caller waits for another read.
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

// Controller is one controller process. The fields above mu do not change once Run has begun.
// The fields below metrics are not guarded by mu.
//
// Controller has an exported method for each kind of input (a user's request, a heartbeat, a
// ping, a forwarded request, an operator's query), and the methods that access several parts of
// the state. A method that needs only one part belongs to that part.
type Controller struct {
	cfg       *config.Settings
	policy    policy.Settings
	log       *slog.Logger
	bootID    uint64 // random ID that distinguishes this process from earlier ones of the node
	startedAt time.Time

	tracer     *tracing.Tracer // nil: tracing is disabled
	store      *kvstore.Client
	cloud      *cloud.Client
	workers    *worker.Client
	peerClient *peer.Client

	mu            sync.Mutex // guards the fields from here to metrics
	leadership    leadership
	membership    membership
	replication   replication
	cancellations cancellations
	healthGate    healthGate
	machineTypes  []wire.MachineType
	metrics       metrics

	jobSync         *jobSync
	admission       admission
	requestCounts   *requestCounts
	healthChecks    *healthCheckCounts
	queryGaps       *queryGaps
	connections     func() ConnectionCounts
	workerCallSlots chan struct{} // limits concurrent calls to workers
	// shortfallLogThreshold is the number of machines above which settings that are too small
	// for the fleet are logged again. Only pollMachineList uses it, and only one call of
	// pollMachineList runs at a time.
	shortfallLogThreshold int
}

// New creates a controller. Run starts it.
func New(cfg *config.Settings, schedulingPolicy policy.Settings, log *slog.Logger) *Controller {
	c := &Controller{
		cfg: cfg, policy: schedulingPolicy, log: log, bootID: rand.Uint64() >> 1, startedAt: time.Now(),
		store:           kvstore.New(cfg.Endpoints.Store, cfg.Deployment.Store.RPS*tuning.StoreRequestRateShare),
		cloud:           cloud.New(cfg.Endpoints.Cloud),
		workers:         worker.New(),
		peerClient:      peer.New(),
		replication:     replication{replica: scheduler.NewReplica()},
		metrics:         newMetrics(),
		admission:       newAdmission(),
		requestCounts:   newRequestCounts(),
		healthChecks:    &healthCheckCounts{},
		queryGaps:       newQueryGaps(),
		connections:     func() ConnectionCounts { return ConnectionCounts{} },
		workerCallSlots: make(chan struct{}, maxConcurrentWorkerCalls(cfg)),
	}
	c.store.OnRejection = (&rejectionLog{log: log}).record
	c.membership = newMembership(cfg.Peers, c.store.UnavailableFor)
	c.jobSync = newJobSync(c)
	return c
}

// SetRequestBacklog sets the function that returns how long requests wait before they are
// read. It must be called before Run.
func (c *Controller) SetRequestBacklog(backlog func() time.Duration) {
	c.admission.requestBacklog = backlog
}

// SetConnectionCounts sets the function that counts the connections of users and workers. It must be
// called before Run.
func (c *Controller) SetConnectionCounts(counts func() ConnectionCounts) { c.connections = counts }

// SetTracer sets the tracer that records spans. It must be called before Run.
func (c *Controller) SetTracer(tracer *tracing.Tracer) { c.tracer = tracer }

// Run runs the loops of the controller until ctx ends, and returns when all of them have
// ended.
func (c *Controller) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { election{c}.run(ctx) })
	loops.Go(func() { c.refreshMachineTypes(ctx) })
	loops.Go(func() { c.pingPeers(ctx) })
	loops.Go(func() { c.jobSync.run(ctx) })
	loops.Go(func() { c.runTicker(ctx) })
	loops.Go(func() { newLeaderWatch(c).run(ctx) })
	loops.Go(func() { (&statusReporter{controller: c}).run(ctx) })
	loops.Wait()
}

// Healthy reports whether load balancers should send users' requests to this controller, as of the
// last tick. It takes no lock, so that health checks do not wait for the scheduler.
func (c *Controller) Healthy() bool { return c.healthGate.inService() }

// updateHealth decides whether this controller is in service. Called with the lock held.
func (c *Controller) updateHealth() {
	isolated := c.membership.isolated()
	if isolated == c.healthGate.isolated {
		return
	}
	if isolated {
		c.healthGate.beginIsolation(time.Now())
	} else {
		c.healthGate.endIsolation()
	}
	c.log.Info("health changed", "healthy", c.Healthy(), "isolated", c.healthGate.isolated, "withdrawals", c.healthGate.withdrawals,
		"store_unavailable_ms", c.membership.storeUnavailableFor().Milliseconds())
}

// now returns the time for the scheduler: monotonic time since New, and wall-clock time.
func (c *Controller) now() scheduler.Now {
	now := time.Now()
	return scheduler.Now{Mono: now.Sub(c.startedAt), Wall: now.UnixMilli()}
}

// update applies one input with the lock held, then runs the scheduler and carries out its
// decisions.
func (c *Controller) update(input func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	input()
	c.runScheduler()
}

// updateScheduler applies an input to a term's scheduler, unless that term has ended.
func (c *Controller) updateScheduler(sched *scheduler.Scheduler, input func(scheduler.Now)) {
	c.update(func() {
		if c.leadership.scheduler == sched {
			input(c.now())
		}
	})
}

// runScheduler lets the scheduler act on what changed and carries out its decisions. There is
// a minimum interval between placement rounds; if a round has to wait for it, runScheduler runs
// again after the interval. Called with the lock held.
func (c *Controller) runScheduler() {
	sched := c.leadership.scheduler
	if sched == nil {
		return
	}
	c.runSchedulerPass(sched)
	c.execute(sched, sched.TakeEffects())
	if c.leadership.scheduler == sched && sched.PlacementPending() && !c.leadership.rerunScheduled {
		c.leadership.rerunScheduled = true
		time.AfterFunc(tuning.MinPlacementInterval, func() { c.update(func() { c.leadership.rerunScheduled = false }) })
	}
}

// runSchedulerPass runs the scheduler once. If that included a placement round and tracing is
// enabled, it records a span.
func (c *Controller) runSchedulerPass(sched *scheduler.Scheduler) {
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

// runTicker calls tick at intervals of tuning.TickInterval until ctx ends. It also measures how
// late each tick is, which shows whether the process gets too little processor time.
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

// tick updates the health, steps down if this controller may no longer lead, and otherwise runs the
// scheduler's periodic work. Called with the lock held.
func (c *Controller) tick() {
	c.updateHealth()
	sched := c.leadership.scheduler
	switch {
	case sched == nil:
	case c.membership.isolated():
		// A newer leader could not notify this controller, and the workers would keep sending
		// their heartbeats here. After the step-down, this controller renews their leases as a
		// follower, within KeepaliveBound.
		c.stepDown(sched, stepDownIsolated)
	case !c.mayRenewWorkerLeases():
		c.stepDown(sched, stepDownWatermarkTooOld)
	default:
		sched.Tick(c.now())
	}
}
