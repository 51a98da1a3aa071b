// Package node runs a controller: it feeds the core's state machine with what
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

// Controller is one controller.
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

	mu           sync.Mutex
	replica      *scheduler.Replica
	machineTypes []wire.MachineType
	leader       *scheduler.Scheduler // nil unless this node leads
	permit       uint64               // the lease of our lead
	heldTo       time.Time            // until then that lease lasts, if it is not renewed
	lost         chan struct{}
	lead         leaderInfo
	electedAt    time.Time // when this node last asked for the lead that it got
	// loadingSince is since when this node, elected, reads the records; zero: it does not.
	loadingSince time.Time
	barred       time.Time // no candidate until then
	peers        map[string]*peerState
	without      func() time.Duration // for how long the state service has not served us
	led          time.Time            // as of when all cancellations were seen through, by the leader of the term known
	knownAt      time.Time            // as of when the replica has all changes
	confirmed    confirmationLog
	settling     bool
	totals       scheduler.Counters // of earlier terms
	ack          *hdrhistogram.Histogram
	answers      *hdrhistogram.Histogram

	syncMu sync.Mutex
	next   *refreshCall
	active bool

	lag                    atomic.Int64         // how late the last tick came, in nanoseconds
	backlog                func() time.Duration // see SetRequestBacklog
	submissions, decisions chan struct{}
	calls                  chan struct{} // places of direct calls
	shortOf                int           // machines, when settings were last said to fall short of them
}

// NewHandler makes a node. Run starts it.
func New(cfg *config.Settings, schedulingPolicy policy.Settings, log *slog.Logger) *Controller {
	c := &Controller{
		cfg: cfg, policy: schedulingPolicy, log: log, bootID: rand.Uint64() >> 1, startedAt: time.Now(),
		store:       kvstore.New(cfg.Endpoints.State, cfg.Deployment.State.RPS*tuning.StoreReadRateShare),
		cloud:       cloud.New(cfg.Endpoints.Cloud),
		workers:     worker.New(),
		peerClient:  peer.New(),
		replica:     scheduler.NewReplica(),
		peers:       map[string]*peerState{},
		ack:         hdrhistogram.New(1, 600_000, 2),
		answers:     hdrhistogram.New(1, 600_000, 2),
		submissions: make(chan struct{}, tuning.MaxSubmissionsInFlight),
		decisions:   make(chan struct{}, tuning.MaxDecisionsInFlight),
		calls:       make(chan struct{}, directCallLimit(cfg)),
	}
	c.without = c.store.UnservedFor
	c.backlog = func() time.Duration { return 0 }
	for _, p := range cfg.Peers {
		c.peers[p.Name] = &peerState{Peer: p}
	}
	return c
}

// SetRequestBacklog tells the node how to learn for how long requests wait before they are
// read. It is called before Run.
func (c *Controller) SetRequestBacklog(backlog func() time.Duration) { c.backlog = backlog }

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
		if c.leader == sched {
			f(c.now())
		}
	})
}

// settle lets the leader act on what changed. Placement keeps its own pace; if
// it has to wait, settle comes again.
func (c *Controller) settle() {
	sched := c.leader
	if sched == nil {
		return
	}
	c.settleScheduler(sched)
	c.execute(sched, sched.TakeEffects())
	if c.leader == sched && sched.PlacementPending() && !c.settling {
		c.settling = true
		time.AfterFunc(tuning.MinPlacementInterval, func() { c.update(func() { c.settling = false }) })
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
		c.lag.Store(int64(time.Since(startedAt) - tuning.TickInterval))
		c.update(func() {
			if c.leader == nil {
				return
			}
			if c.isolated() {
				// Whoever leads by now cannot tell us, and our workers would
				// stay with us. Their leases are kept as followers keep them.
				c.stepDown(c.leader, "cut off from the state service and most peers")
				return
			}
			if !c.mayRenewLeases() {
				c.stepDown(c.leader, "cancellations may have passed it by for too long")
				return
			}
			c.leader.Tick(c.now())
		})
	}
}

// storeAvailable reports whether the state service has served this node lately.
func (c *Controller) storeAvailable() bool { return c.without() < tuning.IsolatedAfter }

// isolated reports whether this node, and those that it still hears, if any, may be on
// the wrong side of a cut: the state service has served none of them for a while,
// and they are no more than half of all. More of them without it are rather an
// outage, in which the leader goes on for as long as it is entitled to.
// Called with the lock held.
func (c *Controller) isolated() bool {
	if len(c.peers) == 0 || c.storeAvailable() {
		return false
	}
	reachable := 1
	for _, p := range c.peers {
		if time.Since(p.lastHeardAt) < tuning.IsolatedAfter {
			if p.storeAvailable {
				return false
			}
			reachable++
		}
	}
	return 2*reachable <= 1+len(c.peers)
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
	if c.leader != sched {
		return
	}
	c.log.Info("lead given up", "term", c.lead.term, "why", reason)
	c.led = later(c.led, c.enforcedWatermark())
	c.endTerm()
	c.lead.name = ""
	if reason == scheduler.ResignNoHeartbeats {
		// Whoever is in a better place goes first. After other ends nobody is
		// barred: five nodes that depose each other would leave no candidate.
		c.barred = time.Now().Add(tuning.ResignBackoff)
	}
}

func (c *Controller) endTerm() {
	counters := c.leader.Counters()
	addCounters(&c.totals, counters)
	c.leader = nil
	c.tracer.TermEnded(time.Now())
	close(c.lost)
}

func addCounters(total *scheduler.Counters, term scheduler.Counters) {
	totalFields, termFields := reflect.ValueOf(total).Elem(), reflect.ValueOf(term)
	for i := range totalFields.NumField() {
		totalFields.Field(i).SetUint(totalFields.Field(i).Uint() + termFields.Field(i).Uint())
	}
}
