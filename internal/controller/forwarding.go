package controller

import (
	"context"
	"net/http"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/peer"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// Origin says where a user's request came from.
type Origin bool

// Origins. A request that a peer forwarded is not forwarded again.
const (
	FromUser Origin = false
	FromPeer Origin = true
)

// userRequest is a user's request while it is served, with the form in which it can be
// forwarded. Its methods are called without the lock.
type userRequest struct {
	controller *Controller
	message    peer.ForwardRequest
	origin     Origin
}

// forwardOrRefuse forwards a request that this controller cannot decide, unless it was
// forwarded already. If that fails too, the user is told at once when to come back.
func (r userRequest) forwardOrRefuse(cause error) Answer {
	r.logUndecided(cause)
	if r.origin == FromUser {
		if answer, ok := r.controller.forward(r.message); ok {
			return answer
		}
	}
	return undecided
}

func (r userRequest) logUndecided(cause error) {
	r.controller.log.Debug("request not decided here", "kind", string(r.message.Kind), "job", r.message.ID, "err", cause)
}

// forward passes a request to the peers, one after the other, until one decides. A peer that
// could not decide a moment ago is left alone for a while: in an outage, the controllers
// would only pass requests around.
func (c *Controller) forward(message peer.ForwardRequest) (Answer, bool) {
	c.mu.Lock()
	targets := c.membership.forwardTargets()
	c.mu.Unlock()
	for _, target := range targets {
		reply, err := c.peerClient.Forward(context.Background(), target.Addr, message, tuning.ForwardTimeout)
		if err == nil && reply.Status != http.StatusServiceUnavailable && reply.Status != http.StatusTooManyRequests {
			return Answer{Status: reply.Status, View: reply.View, State: reply.State, Error: reply.Error}, true
		}
		c.mu.Lock()
		target.declinedAt = time.Now()
		c.mu.Unlock()
	}
	return Answer{}, false
}

// HandleForward serves a request that a peer forwarded.
func (c *Controller) HandleForward(ctx context.Context, message peer.ForwardRequest) peer.ForwardReply {
	var answer Answer
	switch message.Kind {
	case peer.KindSubmit:
		if body, ok := peer.DecodeBytes(message.Body); ok {
			answer = c.Submit(ctx, body, FromPeer)
		} else {
			answer = refuse(http.StatusBadRequest, "malformed forward")
		}
	case peer.KindQuery:
		answer = c.Query(ctx, message.ID, FromPeer)
	case peer.KindCancel:
		answer = c.Cancel(ctx, message.ID, FromPeer)
	default:
		answer = refuse(http.StatusBadRequest, "unknown kind")
	}
	return peer.ForwardReply{Status: answer.Status, View: answer.View, State: answer.State, Error: answer.Error}
}
