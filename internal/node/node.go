// Package node runs a controller: it feeds the core's state machine with what
// the network brings and carries out what the core decides.
//
// All state is guarded by one lock, taken for each input (do). I/O happens in
// goroutines that hold no lock and come back with an input.
package node

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
	"github.com/yarrowgap/yarrowgap/internal/core"
	"github.com/yarrowgap/yarrowgap/internal/mesh"
	"github.com/yarrowgap/yarrowgap/internal/policy"
	"github.com/yarrowgap/yarrowgap/internal/store"
	"github.com/yarrowgap/yarrowgap/internal/tracing"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/internal/worker"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Node is one controller.
type Node struct {
	cfg    *config.Settings
	policy policy.Settings
	log    *slog.Logger
	boot   uint64 // tells this process from its predecessors
	start  time.Time

	tracer  *tracing.Tracer // nil: nothing is traced
	state   *store.Client
	cloud   *cloud.Client
	workers *worker.Client
	mesh    *mesh.Client

	mu        sync.Mutex
	replica   *core.Replica
	types     []wire.MachineType
	leader    *core.Leader // nil unless this node leads
	permit    uint64       // the lease of our lead
	heldTo    time.Time    // until then that lease lasts, if it is not renewed
	lost      chan struct{}
	lead      leadInfo
	electedAt time.Time // when this node last asked for the lead that it got
	// loadingSince is since when this node, elected, reads the records; zero: it does not.
	loadingSince time.Time
	barred       time.Time // no candidate until then
	peers        map[string]*peer
	without      func() time.Duration // for how long the state service has not served us
	led          time.Time            // as of when all cancellations were seen through, by the leader of the term known
	knownAt      time.Time            // as of when the replica has all changes
	confirmed    confirmations
	settling     bool
	totals       core.Counters // of earlier terms
	ack          *hdrhistogram.Histogram
	answers      *hdrhistogram.Histogram

	syncMu sync.Mutex
	next   *syncCall
	active bool

	lag                    atomic.Int64         // how late the last tick came, in nanoseconds
	backlog                func() time.Duration // see WatchBacklog
	submissions, decisions chan struct{}
	calls                  chan struct{} // places of direct calls
	shortOf                int           // machines, when settings were last said to fall short of them
}

// New makes a node. Run starts it.
func New(cfg *config.Settings, pol policy.Settings, log *slog.Logger) *Node {
	n := &Node{
		cfg: cfg, policy: pol, log: log, boot: rand.Uint64() >> 1, start: time.Now(),
		state:       store.New(cfg.Outside.State, cfg.Deployment.State.RPS*tuning.ReadShare),
		cloud:       cloud.New(cfg.Outside.Cloud),
		workers:     worker.New(),
		mesh:        mesh.New(),
		replica:     core.NewReplica(),
		peers:       map[string]*peer{},
		ack:         hdrhistogram.New(1, 600_000, 2),
		answers:     hdrhistogram.New(1, 600_000, 2),
		submissions: make(chan struct{}, tuning.SubmissionsInFlight),
		decisions:   make(chan struct{}, tuning.DecisionsInFlight),
		calls:       make(chan struct{}, directCalls(cfg)),
	}
	n.without = n.state.Without
	n.backlog = func() time.Duration { return 0 }
	for _, p := range cfg.Peers {
		n.peers[p.Name] = &peer{Peer: p}
	}
	return n
}

// WatchBacklog tells the node how to learn for how long requests wait before they are
// read. It is called before Run.
func (n *Node) WatchBacklog(backlog func() time.Duration) { n.backlog = backlog }

// Trace has the node make spans. It is called before Run.
func (n *Node) Trace(tracer *tracing.Tracer) { n.tracer = tracer }

// Run works until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){n.campaign, n.learnTypes, n.pingPeers, n.follow, n.ticker, n.watchLeader} {
		wg.Add(1)
		go func() { defer wg.Done(); f(ctx) }()
	}
	wg.Wait()
}

func (n *Node) now() core.Now {
	t := time.Now()
	return core.Now{Mono: t.Sub(n.start), Wall: t.UnixMilli()}
}

// do runs one input under the lock and carries out what came of it.
func (n *Node) do(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	n.settle()
}

// withLeader feeds the leader of the given term, if it still leads.
func (n *Node) withLeader(l *core.Leader, f func(core.Now)) {
	n.do(func() {
		if n.leader == l {
			f(n.now())
		}
	})
}

// settle lets the leader act on what changed. Placement keeps its own pace; if
// it has to wait, settle comes again.
func (n *Node) settle() {
	l := n.leader
	if l == nil {
		return
	}
	n.round(l)
	n.carryOut(l, l.Take())
	if n.leader == l && l.Unsettled() && !n.settling {
		n.settling = true
		time.AfterFunc(tuning.PlaceGap, func() { n.do(func() { n.settling = false }) })
	}
}

// round has the leader settle, which may be a round of placement.
func (n *Node) round(l *core.Leader) {
	if !n.tracer.Enabled() {
		l.Settle(n.now())
		return
	}
	before, begun := l.Rounds(), time.Now()
	l.Settle(n.now())
	if l.Rounds() != before {
		n.tracer.Round(begun, time.Now())
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

// ticker drives the leader's housekeeping. How late its ticks come shows how far
// the process is behind its share of the processor.
func (n *Node) ticker(ctx context.Context) {
	for {
		begun := time.Now()
		if !sleep(ctx, tuning.TickEvery) {
			return
		}
		n.lag.Store(int64(time.Since(begun) - tuning.TickEvery))
		n.do(func() {
			if n.leader == nil {
				return
			}
			if n.cutOff() {
				// Whoever leads by now cannot tell us, and our workers would
				// stay with us. Their leases are kept as followers keep them.
				n.stepDown(n.leader, "cut off from the state service and most peers")
				return
			}
			if !n.mayRenewLeases() {
				n.stepDown(n.leader, "cancellations may have passed it by for too long")
				return
			}
			n.leader.Tick(n.now())
		})
	}
}

// served reports whether the state service has served this node lately.
func (n *Node) served() bool { return n.without() < tuning.CutAfter }

// cutOff reports whether this node, and those that it still hears, if any, may be on
// the wrong side of a cut: the state service has served none of them for a while,
// and they are no more than half of all. More of them without it are rather an
// outage, in which the leader goes on for as long as it is entitled to.
// Called with the lock held.
func (n *Node) cutOff() bool {
	if len(n.peers) == 0 || n.served() {
		return false
	}
	near := 1
	for _, p := range n.peers {
		if time.Since(p.heard) < tuning.CutAfter {
			if p.served {
				return false
			}
			near++
		}
	}
	return 2*near <= 1+len(n.peers)
}

// Healthy reports whether users had better come here than elsewhere: unless cut
// off, this node can answer them or pass them to a peer that can. A node whose
// trouble all share stays healthy, since its return would be held up.
func (n *Node) Healthy() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.cutOff()
}

// stepDown gives up the lead. The lease is ended, so that the others need not
// wait for it to run out.
func (n *Node) stepDown(l *core.Leader, why string) {
	if n.leader != l {
		return
	}
	n.log.Info("lead given up", "term", n.lead.term, "why", why)
	n.led = later(n.led, n.settledAsOf())
	n.endTerm()
	n.lead.name = ""
	if why == core.NoWorkerReports {
		// Whoever is in a better place goes first. After other ends nobody is
		// barred: five nodes that depose each other would leave no candidate.
		n.barred = time.Now().Add(tuning.ResignPause)
	}
}

func (n *Node) endTerm() {
	c := n.leader.Counters()
	addCounters(&n.totals, c)
	n.leader = nil
	n.tracer.TermEnded(time.Now())
	close(n.lost)
}

func addCounters(to *core.Counters, c core.Counters) {
	a, b := reflect.ValueOf(to).Elem(), reflect.ValueOf(c)
	for i := range a.NumField() {
		a.Field(i).SetUint(a.Field(i).Uint() + b.Field(i).Uint())
	}
}
