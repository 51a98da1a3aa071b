package controller

import (
	"net/http"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/wire"
)

// HeartbeatAnswer is the answer to a worker's heartbeat: with status 200 the reply, with 421
// the redirect.
type HeartbeatAnswer struct {
	Status   int
	Reply    wire.HeartbeatReply
	Redirect wire.Redirect
}

// Heartbeat answers a worker's heartbeat.
func (c *Controller) Heartbeat(heartbeat *wire.Heartbeat) HeartbeatAnswer {
	var answer HeartbeatAnswer
	c.update(func() {
		if c.leadership.leading() {
			answer = c.leaderHeartbeat(heartbeat)
		} else {
			answer = c.followerHeartbeat(heartbeat)
		}
	})
	return answer
}

// leaderHeartbeat answers a heartbeat at the leader. Called with the lock held.
func (c *Controller) leaderHeartbeat(heartbeat *wire.Heartbeat) HeartbeatAnswer {
	//mutation:heartbeat-needs-cancellation-watermark
	if c.mayRenewLeases() {
		if reply, ok := c.leadership.scheduler.Heartbeat(c.now(), heartbeat); ok {
			return HeartbeatAnswer{Status: http.StatusOK, Reply: reply}
		}
	}
	return HeartbeatAnswer{Status: http.StatusServiceUnavailable}
}

// followerHeartbeat answers a heartbeat at a controller that does not lead. Workers are sent
// to the leader. Where that is unreachable, their leases are renewed with the fencing token
// that they hold, and nothing else: that starts nothing and stops nothing, and lets a
// partitioned zone keep its work. The time is bounded so that tasks of a job cancelled
// meanwhile end in time; see KeepaliveBound. Called with the lock held.
func (c *Controller) followerHeartbeat(heartbeat *wire.Heartbeat) HeartbeatAnswer {
	leader := c.membership.leader
	redirect := HeartbeatAnswer{Status: http.StatusMisdirectedRequest, Redirect: wire.Redirect{Leader: leader.name}}
	if c.membership.leaderReachable() {
		return redirect
	}
	//mutation:keepalive-bound
	if leader.term != 0 && scheduler.TermOf(heartbeat.FencingToken) == leader.term && time.Since(c.cancellations.enforcedUntil) < c.KeepaliveBound() {
		return HeartbeatAnswer{Status: http.StatusOK, Reply: wire.HeartbeatReply{FencingToken: heartbeat.FencingToken, Commands: []wire.Command{}}}
	}
	if leader.name != "" && c.membership.leaderPeer() != nil {
		return redirect
	}
	return HeartbeatAnswer{Status: http.StatusServiceUnavailable}
}
