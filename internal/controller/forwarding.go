package controller

import (
	"context"
	"net/http"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/peer"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// forwardOrRefuse hands a request that this node cannot serve to a peer, once. If that
// fails too, the user is told at once when to come back.
func (c *Controller) forwardOrRefuse(forwarded bool, request peer.ForwardRequest, cause error) Answer {
	c.log.Debug("cannot serve", "kind", request.Kind, "id", request.ID, "err", cause)
	if !forwarded {
		if answer, ok := c.forward(request); ok {
			return answer
		}
	}
	return refuse(http.StatusServiceUnavailable, "cannot be decided now")
}

// forward hands a request to the peers, one after the other, until one decides.
// A peer that could not decide a moment ago is not asked again for a while: in
// an outage, three nodes would only pass everything around.
func (c *Controller) forward(request peer.ForwardRequest) (Answer, bool) {
	for _, p := range c.forwardTargets() {
		reply, err := c.peerClient.Forward(context.Background(), p.Addr, request, tuning.ForwardTimeout)
		if err != nil || reply.Status == http.StatusServiceUnavailable || reply.Status == http.StatusTooManyRequests {
			c.mu.Lock()
			p.declinedAt = time.Now()
			c.mu.Unlock()
			continue
		}
		return Answer{Status: reply.Status, View: reply.View, State: reply.State, Error: reply.Error}, true
	}
	return Answer{}, false
}

// forwardTargets are the peers that were heard of lately, the leader first.
func (c *Controller) forwardTargets() []*peerState {
	c.mu.Lock()
	defer c.mu.Unlock()
	var targets []*peerState
	for _, p := range c.membership.peers {
		if time.Since(p.lastHeardAt) > tuning.PeerUnreachableAfter || time.Since(p.declinedAt) < tuning.UnablePeerBackoff {
			continue
		}
		if p.Name == c.membership.leader.name {
			targets = append([]*peerState{p}, targets...)
		} else {
			targets = append(targets, p)
		}
	}
	return targets
}

// HandleForward serves a peer's request.
func (c *Controller) HandleForward(ctx context.Context, request peer.ForwardRequest) peer.ForwardReply {
	var answer Answer
	switch request.Kind {
	case peer.KindSubmit:
		body, ok := peer.DecodeBytes(request.Body)
		if !ok {
			answer = refuse(http.StatusBadRequest, "malformed forward")
			break
		}
		answer = c.Submit(ctx, body, true)
	case peer.KindQuery:
		answer = c.Query(ctx, request.ID, true)
	case peer.KindCancel:
		answer = c.Cancel(ctx, request.ID, true)
	default:
		answer = refuse(http.StatusBadRequest, "unknown kind")
	}
	return peer.ForwardReply{Status: answer.Status, View: answer.View, State: answer.State, Error: answer.Error}
}
