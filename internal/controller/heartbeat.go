package controller

import (
	"net/http"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/wire"
)

// HeartbeatAnswer is the answer to a worker's heartbeat. Reply is sent with status 200, Redirect
// with status 421.
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
	if c.mayRenewWorkerLeases() {
		if reply, ok := c.leadership.scheduler.Heartbeat(c.now(), heartbeat); ok {
			return HeartbeatAnswer{Status: http.StatusOK, Reply: reply}
		}
	}
	return HeartbeatAnswer{Status: http.StatusServiceUnavailable}
}

// followerHeartbeat answers a heartbeat at a controller that does not lead. It redirects the
// worker to the leader. If the leader is unreachable and the worker's fencing token is of the latest
// known term, it renews the worker's lease with that token and sends no commands: no task starts or
// stops, and the tasks in a partitioned zone keep running. KeepaliveBound limits for how long it
// does so, so that the tasks of a job that is cancelled in the meantime end in time. Called with
// the lock held.
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
