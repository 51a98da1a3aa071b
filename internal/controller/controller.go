// Package controller runs a controller: it feeds the core's state machine with what
// the network brings and carries out what the core decides.
//
// All state is guarded by one lock, taken for each input (do). I/O happens in
// goroutines that hold no lock and come back with an input.
package controller

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

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

// Controller is one controller process. Its parts below mu may be read and changed
// only while mu is held; the parts above it never change after Run has begun, those
// below the guarded block have their own synchronization.
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

	refresher replicaRefresher
	admission admission
	outgoing  outgoingCalls
}

// leadership is what a controller holds while it leads, and what it remembers of its
// own candidacy. Guarded by Controller.mu.
type leadership struct {
	// scheduler is nil unless this controller leads.
	scheduler *scheduler.Scheduler
	// storeLease is the lease in the key-value store that the leader's key hangs on.
	storeLease uint64
	// leaseHeldUntil is when that lease ends if it is not renewed.
	leaseHeldUntil time.Time
	// lost is closed when the term ends.
	lost chan struct{}
	// electedAt is when this controller last asked for the leadership that it got.
	electedAt time.Time
	// loadingSince is since when this controller, elected, reads the records; zero: it does not.
	loadingSince time.Time
	// candidacyBarredUntil is until when this controller is no candidate.
	candidacyBarredUntil time.Time
	// settleScheduled is set while a timer is pending that settles the scheduler again.
	settleScheduled bool
}

// membership is what a controller knows of its peers and of who leads. Guarded by
// Controller.mu; the map itself never changes after New.
type membership struct {
	peers  map[string]*peerState
	leader leaderInfo
	// storeUnservedFor returns for how long the key-value store has not served this controller.
	storeUnservedFor func() time.Duration
}

// replication is the local copy of the jobs in the key-value store. Guarded by
// Controller.mu.
type replication struct {
	replica *scheduler.Replica
	// caughtUpAt is the moment as of which the replica has all changes.
	caughtUpAt time.Time
}

// cancellations is what is known of confirmed cancellations. Guarded by Controller.mu.
type cancellations struct {
	// confirmed lists the cancellations that users were told of here.
	confirmed confirmationLog
	// enforcedUntil is the moment as of which all cancellations were enforced by the
	// leader of the known term.
	enforcedUntil time.Time
}

// metrics are the signals that outlive a term. Guarded by Controller.mu.
type metrics struct {
	earlierTerms   scheduler.Counters
	startToAck     *hdrhistogram.Histogram
	submitToAnswer *hdrhistogram.Histogram
}

// replicaRefresher shares reads of the replica's changes among concurrent callers. It
// has its own lock, which is never held together with Controller.mu.
type replicaRefresher struct {
	mu      sync.Mutex
	next    *refreshCall // not sent yet; nil: nobody waits
	running bool         // a goroutine serves the calls
}

// admission bounds the users' requests in progress and sheds load when the process
// falls behind. Safe for concurrent use.
type admission struct {
	tickLag         atomic.Int64         // how late the last tick came, in nanoseconds
	requestBacklog  func() time.Duration // see Controller.SetRequestBacklog
	submissionSlots chan struct{}
	decisionSlots   chan struct{}
}

// outgoingCalls bounds what a leader sends. The slots are safe for concurrent use;
// shortfallLoggedFor belongs to the goroutine of pollMachineList.
type outgoingCalls struct {
	directCallSlots    chan struct{}
	shortfallLoggedFor int // machines, when settings were last logged to fall short of them
}

// New makes a controller. Run starts it.
func New(cfg *config.Settings, schedulingPolicy policy.Settings, log *slog.Logger) *Controller {
	c := &Controller{
		cfg: cfg, policy: schedulingPolicy, log: log, bootID: rand.Uint64() >> 1, startedAt: time.Now(),
		store:       kvstore.New(cfg.Endpoints.State, cfg.Deployment.State.RPS*tuning.StoreReadRateShare),
		cloud:       cloud.New(cfg.Endpoints.Cloud),
		workers:     worker.New(),
		peerClient:  peer.New(),
		membership:  membership{peers: map[string]*peerState{}},
		replication: replication{replica: scheduler.NewReplica()},
		metrics: metrics{
			startToAck:     hdrhistogram.New(1, 600_000, 2),
			submitToAnswer: hdrhistogram.New(1, 600_000, 2),
		},
		admission: admission{
			requestBacklog:  func() time.Duration { return 0 },
			submissionSlots: make(chan struct{}, tuning.MaxSubmissionsInFlight),
			decisionSlots:   make(chan struct{}, tuning.MaxDecisionsInFlight),
		},
		outgoing: outgoingCalls{directCallSlots: make(chan struct{}, directCallLimit(cfg))},
	}
	c.membership.storeUnservedFor = c.store.UnservedFor
	for _, p := range cfg.Peers {
		c.membership.peers[p.Name] = &peerState{Peer: p}
	}
	return c
}

// SetRequestBacklog tells the node how to learn for how long requests wait before they are
// read. It is called before Run.
func (c *Controller) SetRequestBacklog(backlog func() time.Duration) {
	c.admission.requestBacklog = backlog
}

// SetTracer has the node make spans. It is called before Run.
func (c *Controller) SetTracer(tracer *tracing.Tracer) { c.tracer = tracer }

// Run works until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){c.campaign, c.refreshMachineTypes, c.pingPeers, c.followJobs, c.runTicker, c.watchLeaderProcess} {
		wg.Add(1)
		go func() { defer wg.Done(); f(ctx) }()
	}
	wg.Wait()
}

func (c *Controller) now() scheduler.Now {
	t := time.Now()
	return scheduler.Now{Mono: t.Sub(c.startedAt), Wall: t.UnixMilli()}
}

// update runs one input under the lock and carries out what came of it.
func (c *Controller) update(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
	c.settle()
}

// updateScheduler feeds the leader of the given term, if it still leads.
func (c *Controller) updateScheduler(sched *scheduler.Scheduler, f func(scheduler.Now)) {
	c.update(func() {
		if c.leadership.scheduler == sched {
			f(c.now())
		}
	})
}

// settle lets the leader act on what changed. Placement keeps its own pace; if
// it has to wait, settle comes again.
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

// settleScheduler has the leader settle, which may be a round of placement.
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

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

// runTicker drives the leader's housekeeping. How late its ticks come shows how far
// the process is behind its share of the processor.
func (c *Controller) runTicker(ctx context.Context) {
	for {
		startedAt := time.Now()
		if !sleep(ctx, tuning.TickInterval) {
			return
		}
		c.admission.tickLag.Store(int64(time.Since(startedAt) - tuning.TickInterval))
		c.update(func() {
			if c.leadership.scheduler == nil {
				return
			}
			if c.isolated() {
				// Whoever leads by now cannot tell us, and our workers would
				// stay with us. Their leases are kept as followers keep them.
				c.stepDown(c.leadership.scheduler, "cut off from the state service and most peers")
				return
			}
			if !c.mayRenewLeases() {
				c.stepDown(c.leadership.scheduler, "cancellations may have passed it by for too long")
				return
			}
			c.leadership.scheduler.Tick(c.now())
		})
	}
}

// storeAvailable reports whether the state service has served this node lately.
func (c *Controller) storeAvailable() bool {
	return c.membership.storeUnservedFor() < tuning.IsolatedAfter
}

// isolated reports whether this node, and those that it still hears, if any, may be on
// the wrong side of a cut: the state service has served none of them for a while,
// and they are no more than half of all. More of them without it are rather an
// outage, in which the leader goes on for as long as it is entitled to.
// Called with the lock held.
func (c *Controller) isolated() bool {
	if len(c.membership.peers) == 0 || c.storeAvailable() {
		return false
	}
	reachable := 1
	for _, p := range c.membership.peers {
		if time.Since(p.lastHeardAt) < tuning.IsolatedAfter {
			if p.storeAvailable {
				return false
			}
			reachable++
		}
	}
	return 2*reachable <= 1+len(c.membership.peers)
}

// Healthy reports whether users had better come here than elsewhere: unless cut
// off, this node can answer them or pass them to a peer that can. A node whose
// trouble all share stays healthy, since its return would be held up.
func (c *Controller) Healthy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.isolated()
}

// stepDown gives up the lead. The lease is ended, so that the others need not
// wait for it to run out.
func (c *Controller) stepDown(sched *scheduler.Scheduler, reason string) {
	if c.leadership.scheduler != sched {
		return
	}
	c.log.Info("lead given up", "term", c.membership.leader.term, "why", reason)
	c.cancellations.enforcedUntil = later(c.cancellations.enforcedUntil, c.enforcedWatermark())
	c.endTerm()
	c.membership.leader.name = ""
	if reason == scheduler.ResignNoHeartbeats {
		// Whoever is in a better place goes first. After other ends nobody is
		// barred: five nodes that depose each other would leave no candidate.
		c.leadership.candidacyBarredUntil = time.Now().Add(tuning.ResignBackoff)
	}
}

func (c *Controller) endTerm() {
	counters := c.leadership.scheduler.Counters()
	addCounters(&c.metrics.earlierTerms, counters)
	c.leadership.scheduler = nil
	c.tracer.TermEnded(time.Now())
	close(c.leadership.lost)
}

func addCounters(total *scheduler.Counters, term scheduler.Counters) {
	totalFields, termFields := reflect.ValueOf(total).Elem(), reflect.ValueOf(term)
	for i := range totalFields.NumField() {
		totalFields.Field(i).SetUint(totalFields.Field(i).Uint() + termFields.Field(i).Uint())
	}
}
