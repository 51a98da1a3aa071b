package controller

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/peer"
)

const watchedTerm = 7

// newLeaderWatchOf returns a leaderWatch, the leader that it watches and that leader's address.
func newLeaderWatchOf(t *testing.T, addr string) (*leaderWatch, leaderInfo, *peerState) {
	t.Helper()
	c := newTestController(t)
	return newLeaderWatch(c), leaderInfo{name: "drover-1", term: watchedTerm, leaseID: 1}, &peerState{Peer: config.Peer{Name: "drover-1", Addr: addr}}
}

// A leader without a free socket refuses connections, and must not lose its lease for that.
func TestRefusedConnectionIsNoBrokenConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	_ = listener.Close()
	watch, leader, leaderPeer := newLeaderWatchOf(t, addr)
	if watch.connectionBroke(context.Background(), leader, leaderPeer) {
		t.Error("a refused connection counts as a broken one")
	}
}

func TestBrokenConnectionStaysKnownWhileLeaderRefusesNewOnes(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == peer.WatchProcessPath {
			panic(http.ErrAbortHandler)
		}
	}))
	watch, leader, leaderPeer := newLeaderWatchOf(t, server.Listener.Addr().String())
	if !watch.connectionBroke(context.Background(), leader, leaderPeer) {
		t.Fatal("a connection that the leader closed without an answer does not count as broken")
	}
	server.Close()
	if !watch.connectionBroke(context.Background(), leader, leaderPeer) {
		t.Error("the broken connection is forgotten once the leader refuses new ones")
	}
	nextLeader := leader
	nextLeader.term++
	if watch.connectionBroke(context.Background(), nextLeader, leaderPeer) {
		t.Error("the broken connection counts for the leader of the next term")
	}
}
