package node

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/core"
	"github.com/yarrowgap/yarrowgap/internal/mesh"
	"github.com/yarrowgap/yarrowgap/internal/store"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// campaign watches the leader's key and takes it when it is free. The key hangs
// on a short lease; its stamp is the term, which only grows.
func (n *Node) campaign(ctx context.Context) {
	for ctx.Err() == nil {
		it, err := n.state.Get(ctx, store.First, store.LeaderKey)
		if err != nil {
			sleep(ctx, jitter(tuning.StateRetry))
			continue
		}
		if it.Stamp != 0 {
			var rec store.LeaderRecord
			if err := wire.Unmarshal(it.Value, &rec); err != nil {
				n.log.Error("leader's record unreadable", "err", err)
			}
			if rec.Node == n.cfg.Node && it.Permit != 0 {
				// Left by our own predecessor, which is dead, since only one process
				// runs under a node's name; or by a write of our own that was carried
				// out late. Nobody leads by it: ending its lease spares the wait.
				n.log.Info("ending a lease of this node that nobody leads by", "term", it.Stamp)
				_ = n.state.Revoke(ctx, it.Permit)
				continue
			}
			n.do(func() {
				if it.Stamp >= n.lead.term {
					n.setLead(rec.Node, it.Stamp)
					n.lead.permit = it.Permit
				}
			})
			n.awaitVacancy(ctx, it.Stamp)
			continue
		}
		n.mu.Lock()
		wait := time.Until(n.barred)
		if n.leader == nil {
			n.lead.name = ""
		}
		n.mu.Unlock()
		if wait > 0 {
			sleep(ctx, min(wait, tuning.CampaignWait))
			continue
		}
		if !n.runForLead(ctx) {
			sleep(ctx, jitter(tuning.CampaignWait))
		}
	}
}

// awaitVacancy returns when the leader's key may have changed after stamp.
func (n *Node) awaitVacancy(ctx context.Context, stamp uint64) {
	if _, err := n.state.Changes(ctx, store.First, store.LeaderPrefix, stamp, tuning.WatchBlock); err != nil {
		// The key may be older than what the service keeps, or the service is in
		// trouble. Reading the key again is right in both cases.
		sleep(ctx, jitter(n.leaseTTL()/2))
	}
}

// runForLead tries to take the free key, and leads until the lead is lost.
func (n *Node) runForLead(ctx context.Context) bool {
	asked := time.Now()
	permit, err := n.state.Grant(ctx, n.leaseTTL())
	if err != nil {
		n.trouble("lease", err)
		return false
	}
	rec := store.LeaderRecord{Node: n.cfg.Node, Addr: n.cfg.MeshAddr, Boot: n.boot}
	term, _, err := n.state.Commit(ctx, store.First, wire.Txn{
		If:    []wire.Condition{{Key: store.LeaderKey}},
		Apply: []wire.Change{{Set: store.LeaderKey, Value: rec, Permit: &permit}},
	})
	if errors.Is(err, store.ErrUnknown) {
		// The answer was lost: the key tells whether we have it. Should the
		// write be carried out later still, the lease lets it die.
		it, gerr := n.state.Get(ctx, store.First, store.LeaderKey)
		var have store.LeaderRecord
		if gerr == nil && it.Stamp != 0 && it.Permit == permit && wire.Unmarshal(it.Value, &have) == nil && have.Boot == n.boot {
			term, err = it.Stamp, nil
		}
	}
	if err != nil {
		_ = n.state.Revoke(ctx, permit)
		return false
	}
	n.serveTerm(ctx, permit, term, asked)
	return true
}

// leaseTTL is the leader's lease, longer where the process has a small share of the
// processor and the workers' leases outlast it. No rule depends on its length, only for
// how long nobody leads after a leader has fallen silent.
func (n *Node) leaseTTL() time.Duration {
	share := n.cfg.Deployment.Quota.CPUShare
	if share <= 0 || share >= tuning.UsualShare {
		return tuning.LeaseTTL
	}
	longest := min(tuning.LeaseTTLMost, config.Seconds(n.cfg.Deployment.Workers.LeaseS)/tuning.LeaseTTLPart)
	return max(tuning.LeaseTTL, min(time.Duration(float64(tuning.LeaseTTL)*tuning.UsualShare/share), longest))
}

// serveTerm recovers the records and leads until the lead is lost.
func (n *Node) serveTerm(ctx context.Context, permit, term uint64, asked time.Time) {
	n.log.Info("elected", "term", term, "took_ms", time.Since(asked).Milliseconds())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lost := make(chan struct{})
	n.mu.Lock()
	n.permit, n.heldTo, n.electedAt = permit, asked.Add(n.leaseTTL()), asked
	n.setLead(n.cfg.Node, term)
	n.mu.Unlock()

	renewed := make(chan struct{})
	go func() {
		defer close(renewed)
		n.renew(ctx, permit, lost)
	}()
	leader := n.recover(ctx, term, lost)
	if leader != nil {
		n.log.Info("leading", "term", term, "after_ms", time.Since(asked).Milliseconds())
		go n.listMachines(ctx, leader)
		go n.watchJobs(ctx, leader)
		select {
		case <-lost:
		case <-ctx.Done():
		}
		n.do(func() {
			if n.leader == leader {
				n.log.Info("lead lost", "term", term)
				n.endTerm()
				n.lead.name = ""
			}
		})
	}
	cancel()
	<-renewed
	rctx, done := context.WithTimeout(context.Background(), tuning.StateTimeout)
	defer done()
	_ = n.state.Revoke(rctx, permit)
}

// renew keeps the lease until it is lost. That the service refuses us for a
// while is no proof of that: in an outage the lease keeps its full time.
func (n *Node) renew(ctx context.Context, permit uint64, lost chan struct{}) {
	for sleep(ctx, tuning.RenewEvery) {
		select {
		case <-lost:
			return
		default:
		}
		begun := time.Now()
		err := n.state.Renew(ctx, permit)
		if err == nil {
			n.do(func() {
				if n.permit == permit {
					n.heldTo = begun.Add(n.leaseTTL())
					if n.leader != nil {
						n.leader.Held(n.heldTo.Sub(n.start))
					}
				}
			})
		}
		if errors.Is(err, store.ErrNoLease) {
			n.mu.Lock()
			defer n.mu.Unlock()
			select {
			case <-lost:
			default:
				if n.leader != nil {
					n.log.Info("lead lost: the lease has ended", "term", n.lead.term)
					n.endTerm()
					n.lead.name = ""
				} else {
					close(lost)
				}
			}
			return
		}
		if err != nil {
			n.trouble("renewal", err)
		}
	}
}

// recover reads all records and installs the leader, or returns nil.
func (n *Node) recover(ctx context.Context, term uint64, lost chan struct{}) *core.Leader {
	n.do(func() { n.loadingSince = time.Now() })
	defer n.do(func() { n.loadingSince = time.Time{} })
	for {
		select {
		case <-lost:
			return nil
		case <-ctx.Done():
			return nil
		default:
		}
		var bits, records, earlier, jobs []wire.Item
		var epoch uint64
		var errs [4]error
		begun := time.Now()
		var wg sync.WaitGroup
		wg.Go(func() { bits, _, errs[0] = n.state.All(ctx, store.First, store.BitsPrefix) })
		wg.Go(func() { records, _, errs[1] = n.state.All(ctx, store.First, store.BatchPrefix) })
		wg.Go(func() { earlier, _, errs[2] = n.state.All(ctx, store.First, store.MachinePrefix) })
		wg.Go(func() { jobs, epoch, errs[3] = n.state.All(ctx, store.First, store.JobPrefix) })
		wg.Wait()
		err := errors.Join(errs[:]...)
		if err != nil {
			n.trouble("recovery", err)
			if !sleep(ctx, tuning.StateRetry) {
				return nil
			}
			continue
		}
		var leader *core.Leader
		n.do(func() {
			select {
			case <-lost:
				return
			default:
			}
			if n.lead.term > term {
				return // somebody leads after us already
			}
			if epoch >= n.replica.Epoch {
				n.reportBad(n.replica.Reset(jobs, epoch))
			}
			n.knownAt = later(n.knownAt, begun)
			leader = core.NewLeader(n.now(), n.coreSettings(), term, n.replica, bits, append(records, earlier...), n.types)
			for _, p := range n.peers {
				// What came of their lists while nobody here led is gone: all again.
				p.have, p.confirmedAsOf = 0, time.Time{}
			}
			// Our own list is told to no one who asks: what users were told here between
			// the read above and now, no answer of the watch may bring for long.
			leader.Cancelled(n.now(), n.confirmed.list)
			leader.AckLatency = func(d time.Duration) { _ = n.ack.RecordValue(min(max(1, d.Milliseconds()), 600_000)) }
			leader.Held(n.heldTo.Sub(n.start))
			for _, p := range n.peers {
				if !p.heard.IsZero() {
					leader.ZoneHeard(p.Zone, p.heard.Sub(n.start))
				}
			}
			leader.ZoneHeard(n.cfg.Zone, n.now().Mono)
			n.tracer.Loaded(term, n.loadingSince, time.Now(), len(jobs), len(records)+len(earlier))
			n.leader, n.lost = leader, lost
		})
		return leader
	}
}

func (n *Node) reportBad(keys []string) {
	for _, k := range keys {
		n.log.Error("job record unreadable", "key", k)
	}
}

func (n *Node) coreSettings() core.Settings {
	d := &n.cfg.Deployment
	s := core.Settings{
		Teams:  map[string]core.Team{},
		Report: config.Seconds(d.Workers.ReportS), Lease: config.Seconds(d.Workers.LeaseS), Cancel: config.Seconds(d.Workers.CancelS),
		TxnOps: d.State.TxnOps, ValueBytes: int(d.State.ValueKB * 1024), WriteRate: d.State.WriteRPS,
		ColdRestart: n.coldRestart(), TraceOrders: n.tracer.Enabled(),
		Aims: map[string]core.Aim{}, Thrifty: n.cfg.Thrifty(), GuaranteeWithin: n.cfg.GuaranteeWithin(),
		CloudRate: d.Cloud.RPS, CPUShare: d.Quota.CPUShare, ListLag: config.Seconds(d.Cloud.ListLagS), Policy: n.policy,
	}
	for _, o := range d.Objectives {
		aim := s.Aims[o.Class]
		switch o.Kind {
		case "deadline":
			aim.Times = append(aim.Times, max(o.Times, 1))
		case "finished":
			aim.Within = o.WithinS
		}
		s.Aims[o.Class] = aim
	}
	for _, t := range d.Teams {
		s.Teams[t.Name] = core.Team{CPUs: t.CPUs, CPUsMax: t.CPUsMax, GPUs: t.GPUs, GPUsMax: t.GPUsMax}
	}
	return s
}

// outlived reports whether a process that began then was up long before this node was
// elected, so that workers could be answered until the change of leader. What it was up
// since says nothing. Called with the lock held.
func (n *Node) outlived(born time.Time) bool {
	lease := config.Seconds(n.cfg.Deployment.Workers.LeaseS)
	return !born.IsZero() && n.electedAt.Sub(born) > lease/tuning.ColdPart
}

// coldRestart reports whether no controller that this node has heard outlived the leader
// before. Called with the lock held.
func (n *Node) coldRestart() bool {
	if n.outlived(n.start) {
		return false
	}
	for _, p := range n.peers {
		if n.outlived(p.born) {
			return false
		}
	}
	return true
}

// watchJobs keeps the leader's picture of the jobs fresh.
func (n *Node) watchJobs(ctx context.Context, l *core.Leader) {
	for ctx.Err() == nil {
		n.mu.Lock()
		from := n.replica.Epoch
		n.mu.Unlock()
		begun := time.Now()
		c, err := n.state.Changes(ctx, store.First, store.JobsPrefix, from, tuning.WatchBlock)
		switch {
		case errors.Is(err, store.ErrTooOld):
			n.reload(ctx)
		case err != nil:
			n.trouble("watch", err)
			sleep(ctx, jitter(tuning.StateRetry))
		default:
			n.applyChanges(c, begun)
			sleep(ctx, tuning.WatchGap)
		}
	}
}

// applyChanges takes an answer to a question sent at begun.
func (n *Node) applyChanges(c wire.Changes, begun time.Time) {
	n.do(func() {
		n.leaderKnows()
		n.knownAt = later(n.knownAt, begun)
		touched, bad := n.replica.Apply(c)
		n.reportBad(bad)
		if n.leader != nil {
			n.leader.ReadAsOf(begun.Sub(n.start))
		}
		if n.leader != nil && len(touched) > 0 {
			n.leader.JobsChanged(n.now(), touched)
		}
	})
}

// reload reads all live jobs again.
func (n *Node) reload(ctx context.Context) error {
	begun := time.Now()
	items, epoch, err := n.state.All(ctx, store.Second, store.JobPrefix)
	if err != nil {
		return err
	}
	n.do(func() {
		if epoch < n.replica.Epoch {
			return
		}
		n.leaderKnows()
		n.knownAt = later(n.knownAt, begun)
		n.reportBad(n.replica.Reset(items, epoch))
		if n.leader != nil {
			n.leader.ReadAsOf(begun.Sub(n.start))
			n.leader.JobsReset(n.now(), n.replica)
		}
	})
	return nil
}

// watchLeader notices at once when the leader's process ends, and then ends its
// lease, so that nobody has to wait for it to run out. The signs are three: a held
// answer breaks off, new connections are refused, twice, and another peer answers.
// Without the last, it may be a filter between the nodes that refuses; then, and
// when the others are silent too, the lease's own end has to do. The signs may
// mislead all the same; that costs an election, once a while, and no rule, since
// those rest on tokens and conditions and not on the lease's time.
func (n *Node) watchLeader(ctx context.Context) {
	var voted time.Time
	for sleep(ctx, tuning.HoldGap) {
		n.mu.Lock()
		lead, p := n.lead, n.peers[n.lead.name]
		n.mu.Unlock()
		if p == nil || lead.permit == 0 {
			continue
		}
		begun := time.Now()
		if n.mesh.Hold(ctx, p.Addr) == nil || time.Since(begun) >= tuning.HoldFor {
			continue
		}
		if time.Since(voted) < tuning.VoteGap || !n.refuses(ctx, p) || !n.othersAnswer(ctx, p) {
			continue
		}
		n.mu.Lock()
		same := n.lead.term == lead.term && n.leader == nil
		if same {
			n.lead.permit = 0 // once a term
		}
		n.mu.Unlock()
		if same {
			voted = time.Now()
			n.log.Info("the leader's process has ended, ending its lease", "leader", lead.name, "term", lead.term)
			if err := n.state.Revoke(ctx, lead.permit); err != nil {
				n.log.Debug("revoke", "err", err)
			}
		}
	}
}

func (n *Node) probe(ctx context.Context, p *peer) error {
	_, err := n.mesh.Ping(ctx, p.Addr, mesh.Ping{Node: n.cfg.Node, Boot: n.boot, Served: n.served()})
	return err
}

// refuses reports whether the peer refuses two connections in a row.
func (n *Node) refuses(ctx context.Context, p *peer) bool {
	for range 2 {
		if !sleep(ctx, tuning.HoldGap) || !errors.Is(n.probe(ctx, p), syscall.ECONNREFUSED) {
			return false
		}
	}
	return true
}

// othersAnswer reports whether any peer but the given one answers now. Where there
// is no other, there is nobody to ask.
func (n *Node) othersAnswer(ctx context.Context, but *peer) bool {
	if len(n.peers) < 2 {
		return true
	}
	answers := make(chan bool, len(n.peers))
	asked := 0
	for _, p := range n.peers {
		if p != but {
			asked++
			go func() { answers <- n.probe(ctx, p) == nil }()
		}
	}
	for range asked {
		if <-answers {
			return true
		}
	}
	return false
}
