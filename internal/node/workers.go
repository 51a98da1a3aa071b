package node

import (
	"net/http"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/core"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// WorkerAnswer is what a worker is told: with 200 the reply, with 421 the
// redirect.
type WorkerAnswer struct {
	Status   int
	Reply    wire.CheckinReply
	Redirect wire.Redirect
}

// Checkin answers a worker's report.
func (n *Node) Checkin(r *wire.Report) WorkerAnswer {
	var out WorkerAnswer
	n.do(func() {
		//mutation:heartbeat-needs-cancellation-watermark
		if n.leader != nil && n.mayRenewLeases() {
			reply, ok := n.leader.Checkin(n.now(), r)
			if ok {
				out = WorkerAnswer{Status: http.StatusOK, Reply: reply}
				return
			}
		}
		if n.leader != nil {
			out.Status = http.StatusServiceUnavailable
			return
		}
		out = n.followerCheckin(r)
	})
	return out
}

// followerCheckin answers a report at a node that does not lead. Workers are
// sent to the leader. Where that cannot be reached, their leases are renewed
// with the token that they hold, and nothing else: that starts nothing and
// stops nothing, and lets a cut zone keep its work. The time is bounded so that
// a job cancelled meanwhile is off its machines in time; see KeepaliveBound.
func (n *Node) followerCheckin(r *wire.Report) WorkerAnswer {
	p := n.peers[n.lead.name]
	reachable := p != nil && !p.idle && (time.Since(p.heard) < tuning.PeerDead ||
		// A refused connection came all the way: something between the nodes is
		// in the way, or it has no free socket, and not a cut between zones. By
		// the state service it leads, so it is there for workers.
		time.Since(p.refused) < tuning.PeerDead && n.without() == 0)
	if reachable {
		return WorkerAnswer{Status: http.StatusMisdirectedRequest, Redirect: wire.Redirect{Leader: n.lead.name}}
	}
	//mutation:keepalive-bound
	if n.lead.term != 0 && core.Term(r.Token) == n.lead.term && time.Since(n.led) < n.KeepaliveBound() {
		return WorkerAnswer{Status: http.StatusOK, Reply: wire.CheckinReply{Token: r.Token, Commands: []wire.Command{}}}
	}
	if p != nil && n.lead.name != "" {
		return WorkerAnswer{Status: http.StatusMisdirectedRequest, Redirect: wire.Redirect{Leader: n.lead.name}}
	}
	return WorkerAnswer{Status: http.StatusServiceUnavailable}
}

// KeepaliveBound is for how long after the leader last knew all cancellations (asOf)
// it may keep workers alive, and others after it had seen all of them through (led):
// what it could not stop may be where they are. A job may have been cancelled right after,
// and the worker's lease has to run out before the time for that is over. It does
// not count from the worker's first report here, which in a cut comes only after
// it has tried other nodes in vain, and where reports are rare much later.
func (n *Node) KeepaliveBound() time.Duration {
	w := &n.cfg.Deployment.Workers
	//mutation:keepalive-drift-margin
	return max(0, config.Seconds(w.CancelS)-config.Seconds(w.LeaseS)-tuning.KeepaliveMargin)
}
