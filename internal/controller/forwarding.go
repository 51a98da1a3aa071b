package controller

import (
	"context"
	"net/http"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/peer"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// Origin says whether a user's request came from the user or was forwarded by a peer.
type Origin bool

// Origins of requests. A request from a peer is not forwarded again.
const (
	FromUser Origin = false
	FromPeer Origin = true
)

// userRequest is a user's request in progress, with the message that forwards it to a peer. Its
// methods are called without the lock.
type userRequest struct {
	controller     *Controller
	forwardRequest peer.ForwardRequest
	origin         Origin
}

// forwardOrRefuse handles a request that this controller cannot serve for the given cause. It
// forwards the request unless a peer forwarded it here. If no peer serves it either, the answer
// is unavailableAnswer, which asks the user to retry later.
func (r userRequest) forwardOrRefuse(cause error) Answer {
	r.recordNotServedLocally(cause)
	if r.origin == FromUser {
		if answer, ok := r.controller.forward(r.forwardRequest); ok {
			return answer
		}
	}
	return unavailableAnswer
}

func (r userRequest) recordNotServedLocally(cause error) {
	r.controller.requestCounts.add(r.forwardRequest.Kind, undecidedOutcome(cause))
	r.controller.log.Debug("request not decided here", "kind", string(r.forwardRequest.Kind), "job", r.forwardRequest.ID, "err", cause)
}

// forward sends a request to the peers, one after the other, until one serves it, and reports
// whether one did. A peer that fails to serve a request gets no further ones for
// tuning.DeclinedPeerBackoff: otherwise, in an outage, all controllers would keep forwarding
// requests to each other.
func (c *Controller) forward(request peer.ForwardRequest) (Answer, bool) {
	c.mu.Lock()
	targets := c.membership.forwardTargets()
	c.mu.Unlock()
	if len(targets) == 0 {
		c.requestCounts.add(request.Kind, outcomeNoPeerReachable)
		return Answer{}, false
	}
	for _, target := range targets {
		sentAt := time.Now()
		reply, err := c.peerClient.Forward(context.Background(), target.Addr, request, tuning.ForwardTimeout)
		if err == nil && reply.Status != http.StatusServiceUnavailable && reply.Status != http.StatusTooManyRequests {
			c.requestCounts.add(request.Kind, outcomeAnsweredByPeer)
			answer := Answer{Status: reply.Status, View: reply.View, State: reply.State, Error: reply.Error}
			answer.validity = replyValidity(reply, answer.hasFinalState(), sentAt, time.Now())
			c.log.Debug("request answered by a peer", "kind", string(request.Kind), "job", request.ID, "peer", target.Name,
				"status", answer.Status, "state", answer.jobState(), "took_ms", time.Since(sentAt).Milliseconds())
			return answer, true
		}
		c.mu.Lock()
		target.declinedAt = time.Now()
		c.mu.Unlock()
	}
	c.requestCounts.add(request.Kind, outcomeNoPeerAnswered)
	return Answer{}, false
}

// HandleForward serves a request that a peer forwarded.
func (c *Controller) HandleForward(ctx context.Context, request peer.ForwardRequest) peer.ForwardReply {
	var answer Answer
	receivedAt := time.Now()
	switch request.Kind {
	case peer.KindSubmit:
		if body, ok := peer.DecodeBytes(request.Body); ok {
			answer = c.Submit(ctx, body, FromPeer)
		} else {
			answer = errorAnswer(http.StatusBadRequest, "malformed forward")
		}
	case peer.KindQuery:
		answer = c.Query(ctx, request.ID, FromPeer)
	case peer.KindCancel:
		answer = c.Cancel(ctx, request.ID, FromPeer)
	default:
		answer = errorAnswer(http.StatusBadRequest, "unknown kind")
	}
	c.log.Debug("forwarded request answered", "kind", string(request.Kind), "job", request.ID,
		"status", answer.Status, "state", answer.jobState(), "took_ms", time.Since(receivedAt).Milliseconds())
	reply := peer.ForwardReply{Status: answer.Status, View: answer.View, State: answer.State, Error: answer.Error}
	answer.validity.addTo(&reply, receivedAt, time.Now())
	return reply
}
