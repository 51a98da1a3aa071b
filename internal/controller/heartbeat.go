package controller

import (
	"net/http"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// HeartbeatAnswer is what a worker is told: with 200 the reply, with 421 the
// redirect.
type HeartbeatAnswer struct {
	Status   int
	Reply    wire.HeartbeatReply
	Redirect wire.Redirect
}

// Heartbeat answers a worker's report.
func (c *Controller) Heartbeat(heartbeat *wire.Heartbeat) HeartbeatAnswer {
	var answer HeartbeatAnswer
	c.update(func() {
		//mutation:heartbeat-needs-cancellation-watermark
		if c.leadership.scheduler != nil && c.mayRenewLeases() {
			reply, ok := c.leadership.scheduler.Heartbeat(c.now(), heartbeat)
			if ok {
				answer = HeartbeatAnswer{Status: http.StatusOK, Reply: reply}
				return
			}
		}
		if c.leadership.scheduler != nil {
			answer.Status = http.StatusServiceUnavailable
			return
		}
		answer = c.followerHeartbeat(heartbeat)
	})
	return answer
}

// followerHeartbeat answers a report at a node that does not lead. Workers are
// sent to the leader. Where that cannot be reached, their leases are renewed
// with the token that they hold, and nothing else: that starts nothing and
// stops nothing, and lets a cut zone keep its work. The time is bounded so that
// a job cancelled meanwhile is off its machines in time; see KeepaliveBound.
func (c *Controller) followerHeartbeat(heartbeat *wire.Heartbeat) HeartbeatAnswer {
	leader := c.membership.peers[c.membership.leader.name]
	reachable := leader != nil && !leader.notLeading && (time.Since(leader.lastHeardAt) < tuning.PeerUnreachableAfter ||
		// A refused connection came all the way: something between the nodes is
		// in the way, or it has no free socket, and not a cut between zones. By
		// the state service it leads, so it is there for workers.
		time.Since(leader.connectionRefusedAt) < tuning.PeerUnreachableAfter && c.membership.storeUnservedFor() == 0)
	if reachable {
		return HeartbeatAnswer{Status: http.StatusMisdirectedRequest, Redirect: wire.Redirect{Leader: c.membership.leader.name}}
	}
	//mutation:keepalive-bound
	if c.membership.leader.term != 0 && scheduler.TermOf(heartbeat.FencingToken) == c.membership.leader.term && time.Since(c.cancellations.enforcedUntil) < c.KeepaliveBound() {
		return HeartbeatAnswer{Status: http.StatusOK, Reply: wire.HeartbeatReply{FencingToken: heartbeat.FencingToken, Commands: []wire.Command{}}}
	}
	if leader != nil && c.membership.leader.name != "" {
		return HeartbeatAnswer{Status: http.StatusMisdirectedRequest, Redirect: wire.Redirect{Leader: c.membership.leader.name}}
	}
	return HeartbeatAnswer{Status: http.StatusServiceUnavailable}
}

// KeepaliveBound is for how long after the leader last knew all cancellations (cancellationWatermark)
// it may keep workers alive, and others after it had seen all of them through (led):
// what it could not stop may be where they are. A job may have been cancelled right after,
// and the worker's lease has to run out before the time for that is over. It does
// not count from the worker's first report here, which in a cut comes only after
// it has tried other nodes in vain, and where reports are rare much later.
func (c *Controller) KeepaliveBound() time.Duration {
	w := &c.cfg.Deployment.Workers
	//mutation:keepalive-drift-margin
	return max(0, config.Seconds(w.CancelS)-config.Seconds(w.LeaseS)-tuning.KeepaliveMargin)
}
