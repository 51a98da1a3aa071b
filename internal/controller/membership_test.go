package controller

import (
	"slices"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// A controller without the key-value store is isolated, and unhealthy, unless a peer that the
// store serves is reachable, or so many share the fault that it is an outage. Once served
// again it is healthy at once.
func TestIsolatedControllerIsUnhealthy(t *testing.T) {
	c := newTestController(t)
	setPeers := func(storeAvailable bool, reachable int) {
		clear(c.membership.peers)
		for i := range 4 {
			p := &peerState{Peer: config.Peer{Name: "drover-" + string(rune('1'+i))}, storeAvailable: storeAvailable}
			if i < reachable {
				p.lastHeardAt = time.Now()
			}
			c.membership.peers[p.Name] = p
		}
	}
	for _, tc := range []struct {
		without time.Duration
		served  bool
		near    int
		cut     bool
	}{
		{0, false, 0, false},
		{time.Minute, false, 0, true},
		{time.Minute, false, 1, true},  // two of five, in one zone
		{time.Minute, true, 1, false},  // the store serves a peer
		{time.Minute, false, 4, false}, // an outage
		// Three of five without the other two: an outage with two controllers down, or a
		// partitioned zone. Others may cancel jobs meanwhile: see
		// TestCancellationWatermarkIsNeverAheadOfConfirmations.
		{time.Minute, false, 2, false},
	} {
		c.membership.storeUnservedFor = func() time.Duration { return tc.without }
		setPeers(tc.served, tc.near)
		if c.Healthy() == tc.cut {
			t.Errorf("%+v: healthy %v", tc, !tc.cut)
		}
	}
	c.membership.storeUnservedFor = func() time.Duration { return 0 }
	setPeers(false, 0)
	if !c.Healthy() {
		t.Error("unhealthy though the store serves it")
	}
}

// Requests are forwarded to peers that were heard of lately and did not decline one a moment
// ago, first of all to the leader.
func TestForwardTargets(t *testing.T) {
	now := time.Now()
	m := newMembership([]config.Peer{{Name: "leader"}, {Name: "other"}, {Name: "unreachable"}, {Name: "declined"}}, nil)
	m.leader.name = "leader"
	for _, p := range m.peers {
		p.lastHeardAt = now
	}
	m.peers["unreachable"].lastHeardAt = now.Add(-2 * tuning.PeerUnreachableAfter)
	m.peers["declined"].declinedAt = now
	names := func() (names []string) {
		for _, target := range m.forwardTargets() {
			names = append(names, target.Name)
		}
		return names
	}
	if got := names(); !slices.Equal(got, []string{"leader", "other"}) {
		t.Errorf("targets %v", got)
	}
	m.peers["declined"].declinedAt = now.Add(-2 * tuning.DeclinedPeerBackoff)
	if got := names(); len(got) != 3 || got[0] != "leader" {
		t.Errorf("targets %v after the backoff", got)
	}
}

// Workers are sent to a leader that was heard of lately, or that refuses connections while the
// key-value store serves this controller, unless its process was restarted.
func TestLeaderReachable(t *testing.T) {
	now, longAgo := time.Now(), time.Now().Add(-time.Hour)
	for _, test := range []struct {
		name        string
		leader      peerState
		unservedFor time.Duration
		want        bool
	}{
		{"heard", peerState{lastHeardAt: now}, time.Minute, true},
		{"not heard", peerState{lastHeardAt: longAgo}, 0, false},
		{"restarted", peerState{lastHeardAt: now, notLeading: true}, 0, false},
		{"refuses connections", peerState{lastHeardAt: longAgo, connectionRefusedAt: now}, 0, true},
		{"refuses connections without the store", peerState{lastHeardAt: longAgo, connectionRefusedAt: now}, time.Minute, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := newMembership(nil, func() time.Duration { return test.unservedFor })
			m.peers["leader"] = &test.leader
			if m.leaderReachable() {
				t.Error("reachable though the leader is not known")
			}
			m.leader.name = "leader"
			if m.leaderReachable() != test.want {
				t.Errorf("reachable: %v", !test.want)
			}
		})
	}
}
