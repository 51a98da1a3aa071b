// Package node runs a controller: it feeds the core's state machine with what
// the network brings and carries out what the core decides.
//
// All state is guarded by one lock, taken for each input (do). I/O happens in
// goroutines that hold no lock and come back with an input.
package node

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"reflect"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/yarrowgap/yarrowgap/internal/cloud"
	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/core"
	"github.com/yarrowgap/yarrowgap/internal/mesh"
	"github.com/yarrowgap/yarrowgap/internal/policy"
	"github.com/yarrowgap/yarrowgap/internal/rpc"
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

// leadInfo is what this node knows of the lead.
type leadInfo struct {
	name string // empty: nobody leads, as far as is known
	addr string
	term uint64 // highest term known, of name or of an earlier leader
	// permit is the leader's lease, 0 if not known or no longer to be ended.
	permit uint64
}

type peer struct {
	config.Peer
	heard         time.Time // when it was last asked and answered, or asked us
	boot          uint64    // its process
	have          uint64    // up to where we have that process's list of cancellations
	begun         time.Time // the list has all that it told since then
	confirmedAsOf time.Time // as of when we have the list, see asOf
	served        bool      // by the state service, when it was last heard
	born          time.Time // its process's start; zero: not known
	idle          bool      // it does not lead although it should: its process has started anew
	refused       time.Time // last time that it refused a connection
	unable        time.Time // last time that it could not decide a request passed on
	running       map[string]int
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

// learnTypes keeps the machine types: from the cloud, or, while that is down,
// from the state service, where the leader keeps a copy.
func (n *Node) learnTypes(ctx context.Context) {
	var stored []wire.MachineType // what the state service has, as far as known
	var due time.Time             // when the cloud is to be asked
	pause, fromCloud := tuning.CloudRetry, false
	for wait := time.Millisecond; sleep(ctx, jitter(wait)); wait = tuning.CloudRetry {
		if !time.Now().Before(due) {
			types, err := n.cloud.Types(ctx)
			if err != nil {
				n.trouble("machine types", err)
				pause = min(pause*2, tuning.CloudRetryMax)
				due = time.Now().Add(pause)
				if types = n.knownTypes(); len(types) == 0 {
					types, _ = n.storedTypes(ctx) // an error leaves them unknown: asked again
					stored = types
				}
			} else {
				pause, fromCloud = tuning.CloudRetry, true
				due = time.Now().Add(tuning.TypesEvery)
			}
			n.do(func() {
				n.types = types
				if n.leader != nil {
					n.leader.SetTypes(n.now(), types)
				}
			})
		}
		types := n.knownTypes()
		n.mu.Lock()
		lead := n.leader != nil
		n.mu.Unlock()
		if lead && fromCloud && !sameTypes(stored, types) && n.storeTypes(ctx, types) == nil {
			stored = types
		}
	}
}

func (n *Node) knownTypes() []wire.MachineType {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.types
}

func (n *Node) storedTypes(ctx context.Context) ([]wire.MachineType, error) {
	items, _, err := n.state.All(ctx, store.Second, store.TypesPrefix)
	if err != nil {
		return nil, err
	}
	var types []wire.MachineType
	for _, it := range items {
		var t wire.MachineType
		if err := wire.Unmarshal(it.Value, &t); err != nil || t.Name == "" {
			n.log.Error("stored machine type unreadable", "key", it.Key)
			continue
		}
		types = append(types, t)
	}
	return types, nil
}

func (n *Node) storeTypes(ctx context.Context, types []wire.MachineType) error {
	for i, t := range types {
		// One at a time and unhurried: starts have the writes' rate first.
		_, _, err := n.state.Commit(ctx, store.Third, wire.Txn{Apply: []wire.Change{{Set: store.TypesPrefix + t.Name, Value: t}}})
		if err != nil {
			return err
		}
		if i > 0 && !sleep(ctx, tuning.StateRetry) {
			return ctx.Err()
		}
	}
	return nil
}

// sameTypes compares all but prices, which move.
func sameTypes(a, b []wire.MachineType) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		x, y := a[i], b[i]
		x.Price, x.SpotCost, y.Price, y.SpotCost = 0, 0, 0, 0
		if !reflect.DeepEqual(x, y) {
			return false
		}
	}
	return true
}

// pingPeers keeps up with the other nodes.
func (n *Node) pingPeers(ctx context.Context) {
	var wg sync.WaitGroup
	for _, p := range n.peers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for sleep(ctx, jitter(tuning.PeerEvery)) {
				n.mu.Lock()
				begun := time.Now()
				ping := mesh.Ping{Node: n.cfg.Node, Boot: n.boot, Leader: n.lead.name, Term: n.lead.term, Served: n.served(),
					Have: p.have, HaveBoot: p.boot}
				n.mu.Unlock()
				pong, err := n.mesh.Ping(ctx, p.Addr, ping)
				if errors.Is(err, syscall.ECONNREFUSED) {
					n.do(func() { p.refused = time.Now() })
				}
				if err != nil {
					continue
				}
				n.do(func() {
					// As of when we asked: a process that stood still since then
					// would take an old answer for a new one.
					if begun.After(p.heard) {
						p.heard, p.served = begun, pong.Served
					}
					p.idle = pong.Leader == p.Name && !pong.Leading
					p.born = begun.Add(-time.Duration(pong.UpMilli) * time.Millisecond)
					if n.leader != nil && n.outlived(p.born) {
						n.leader.PeerOutlived()
					}
					n.leaderKnows()
					p.takeConfirmations(pong, begun, time.Now())
					if n.leader != nil && len(pong.Confirmed) > 0 {
						n.leader.Cancelled(n.now(), pong.Confirmed)
					}
					p.running = pong.Running
					n.hearLead(pong.Leader, pong.Term)
					if pong.Term == n.lead.term && pong.LedMilli > 0 {
						n.led = later(n.led, begun.Add(-time.Duration(pong.LedMilli)*time.Millisecond))
					}
				})
			}
		}()
	}
	wg.Wait()
}

// hearLead takes a peer's word on who leads, if it is newer than ours.
func (n *Node) hearLead(name string, term uint64) {
	if term <= n.lead.term || name == "" {
		return
	}
	if n.leader != nil {
		n.stepDown(n.leader, "a peer knows a later leader")
	}
	n.setLead(name, term)
}

func (n *Node) setLead(name string, term uint64) {
	if n.lead.name != name || n.lead.term != term {
		n.log.Info("leader known", "leader", name, "term", term)
	}
	permit := uint64(0)
	if n.lead.term == term {
		permit = n.lead.permit
	} else {
		// What a leader says to be seen through is so for what it can have started. One
		// that stood still, and does not know yet of the next, reads all cancellations
		// when it goes on, and nothing of that one's tasks: workers that have a later
		// token are kept alive by its leader's word alone.
		n.led = time.Time{}
	}
	n.lead = leadInfo{name: name, term: term, permit: permit}
	if p := n.peers[name]; p != nil {
		n.lead.addr, p.idle = p.Addr, false
	}
}

// Ping answers a peer.
func (n *Node) Ping(p mesh.Ping) mesh.Pong {
	var out mesh.Pong
	n.do(func() {
		if q := n.peers[p.Node]; q != nil {
			q.heard, q.served = time.Now(), p.Served
		}
		n.hearLead(p.Leader, p.Term)
		out = mesh.Pong{Node: n.cfg.Node, Boot: n.boot, Leader: n.lead.name, Term: n.lead.term, Served: n.served(),
			Leading: n.leader != nil, UpMilli: 1 + time.Since(n.start).Milliseconds()}
		if n.leader != nil {
			n.led = later(n.led, n.settledAsOf())
		}
		if age := time.Since(n.led); age < time.Hour {
			out.LedMilli = age.Milliseconds() + 1
		}
		if p.HaveBoot != n.boot {
			p.Have = 0
		}
		out.From, out.Confirmed = n.confirmed.after(p.Have)
		if n.leader != nil {
			out.Running = n.leader.Running()
		}
	})
	return out
}
