package controller

import (
	"net/http"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// A follower redirects workers to a reachable leader. While the leader is unreachable, it renews
// their leases, sends them no commands, and stops early enough for a cancellation to be enforced in
// time. It renews a lease only with the fencing token that the worker holds, and only if that token
// is of the last known term.
func TestFollowerKeepsWorkersAliveWhilePartitioned(t *testing.T) {
	c := newTestController(t)
	c.membership.peers["drover-1"] = &peerState{Peer: config.Peer{Name: "drover-1", Addr: "b:1"}, lastContactAt: time.Now()}
	c.setLeader("drover-1", 9)
	c.cancellations.enforcedUntil = time.Now()
	token := uint64(9)<<tuning.FencingBits | 3
	heartbeat := func(token uint64) HeartbeatAnswer {
		return c.Heartbeat(&wire.Heartbeat{Machine: "n-1", Address: "a:1", Incarnation: 1, Sequence: 1, FencingToken: token})
	}
	if a := heartbeat(token); a.Status != http.StatusMisdirectedRequest || a.Redirect.Leader != "drover-1" {
		t.Errorf("leader reachable: got %+v", a)
	}
	c.membership.peers["drover-1"].lastContactAt = time.Now().Add(-2 * tuning.PeerUnreachableAfter)
	if a := heartbeat(token); a.Status != http.StatusOK || a.Reply.FencingToken != token || len(a.Reply.Commands) != 0 {
		t.Errorf("in a partition: got %+v", a)
	}
	if a := heartbeat(uint64(8) << tuning.FencingBits); a.Status == http.StatusOK {
		t.Errorf("lease renewed for a fencing token of an earlier term: %+v", a)
	}
	c.cancellations.enforcedUntil = time.Now().Add(-c.KeepaliveBound())
	if a := heartbeat(token); a.Status == http.StatusOK {
		t.Errorf("lease renewed after the keepalive bound: %+v", a)
	}
	w := c.cfg.Deployment.Workers
	if c.KeepaliveBound() > config.Seconds(w.CancellationS-w.LeaseS) {
		t.Errorf("keepalive bound %v exceeds the cancellation time less the worker lease", c.KeepaliveBound())
	}
}

// A leader that refuses connections from a follower may still be reachable for workers, so the
// follower redirects them to it. A controller that knows of no enforced cancellations, since it has
// just started, renews no leases.
func TestFollowerRedirectsWhenLeaderRefusesConnections(t *testing.T) {
	c := newTestController(t)
	p := &peerState{Peer: config.Peer{Name: "drover-1", Addr: "b:1"}, connectionRefusedAt: time.Now()}
	c.membership.peers["drover-1"] = p
	c.setLeader("drover-1", 9)
	c.cancellations.enforcedUntil = time.Now()
	heartbeat := &wire.Heartbeat{Machine: "n-1", Address: "a:1", Incarnation: 1, Sequence: 1, FencingToken: 9 << tuning.FencingBits}
	if a := c.Heartbeat(heartbeat); a.Status != http.StatusMisdirectedRequest || a.Redirect.Leader != "drover-1" {
		t.Errorf("leader refuses connections: got %+v", a)
	}
	p.connectionRefusedAt, c.cancellations.enforcedUntil = time.Time{}, time.Time{}
	if a := c.Heartbeat(heartbeat); a.Status == http.StatusOK {
		t.Errorf("lease renewed by a controller that has just started: %+v", a)
	}
}
