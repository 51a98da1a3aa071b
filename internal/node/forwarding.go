package node

import (
	"context"
	"net/http"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/mesh"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// pass hands a request that this node cannot serve to a peer, once. If that
// fails too, the user is told at once when to come back.
func (n *Node) pass(forwarded bool, f mesh.Forward, cause error) Answer {
	n.log.Debug("cannot serve", "kind", f.Kind, "id", f.ID, "err", cause)
	if !forwarded {
		if a, ok := n.passOn(f); ok {
			return a
		}
	}
	return refuse(http.StatusServiceUnavailable, "cannot be decided now")
}

// passOn hands a request to the peers, one after the other, until one decides.
// A peer that could not decide a moment ago is not asked again for a while: in
// an outage, three nodes would only pass everything around.
func (n *Node) passOn(f mesh.Forward) (Answer, bool) {
	for _, p := range n.livePeers() {
		out, err := n.mesh.Forward(context.Background(), p.Addr, f, tuning.ForwardTimeout)
		if err != nil || out.Status == http.StatusServiceUnavailable || out.Status == http.StatusTooManyRequests {
			n.mu.Lock()
			p.unable = time.Now()
			n.mu.Unlock()
			continue
		}
		return Answer{Status: out.Status, View: out.View, State: out.State, Error: out.Error}, true
	}
	return Answer{}, false
}

// livePeers are the peers that were heard of lately, the leader first.
func (n *Node) livePeers() []*peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []*peer
	for _, p := range n.peers {
		if time.Since(p.heard) > tuning.PeerDead || time.Since(p.unable) < tuning.PeerUnable {
			continue
		}
		if p.Name == n.lead.name {
			out = append([]*peer{p}, out...)
		} else {
			out = append(out, p)
		}
	}
	return out
}

// Forwarded serves a peer's request.
func (n *Node) Forwarded(ctx context.Context, f mesh.Forward) mesh.Forwarded {
	var a Answer
	switch f.Kind {
	case mesh.Submit:
		body, ok := mesh.Bytes(f.Body)
		if !ok {
			a = refuse(http.StatusBadRequest, "malformed forward")
			break
		}
		a = n.Submit(ctx, body, true)
	case mesh.Query:
		a = n.Query(ctx, f.ID, true)
	case mesh.Cancel:
		a = n.Cancel(ctx, f.ID, true)
	default:
		a = refuse(http.StatusBadRequest, "unknown kind")
	}
	return mesh.Forwarded{Status: a.Status, View: a.View, State: a.State, Error: a.Error}
}
