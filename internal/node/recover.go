package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/core"
	"github.com/yarrowgap/yarrowgap/internal/store"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

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
			//mutation:recovery-applies-own-cancellations
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
	//mutation:survived-from-election
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
