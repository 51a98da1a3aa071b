package controller

import (
	"slices"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// A controller that the key-value store does not serve is isolated, and so unhealthy, unless it
// reaches a peer that the store serves, or more than half of the controllers, which suggests an
// outage of the store. It is healthy again as soon as the store serves it.
func TestIsolatedControllerIsUnhealthy(t *testing.T) {
	c := newTestController(t)
	setPeers := func(storeAvailable bool, reachable int) {
		clear(c.membership.peers)
		for i := range 4 {
			p := &peerState{Peer: config.Peer{Name: "drover-" + string(rune('1'+i))}, storeAvailable: storeAvailable}
			if i < reachable {
				p.lastContactAt = time.Now()
			}
			c.membership.peers[p.Name] = p
		}
	}
	for _, tc := range []struct {
		unservedFor time.Duration
		peersServed bool
		reachable   int
		isolated    bool
	}{
		{0, false, 0, false},
		{time.Minute, false, 0, true},
		{time.Minute, false, 1, true},  // two of five controllers, those in one zone
		{time.Minute, true, 1, false},  // the store serves a peer
		{time.Minute, false, 4, false}, // an outage of the store
		// Three of five controllers reach each other. This is an outage of the store while two
		// controllers are down, or a partition. In a partition, the others may cancel jobs
		// meanwhile: see
		// TestCancellationWatermarkIsNeverAheadOfConfirmations.
		{time.Minute, false, 2, false},
	} {
		c.membership.storeUnavailableFor = func() time.Duration { return tc.unservedFor }
		setPeers(tc.peersServed, tc.reachable)
		c.healthGate = healthGate{}
		c.updateHealth()
		if c.Healthy() == tc.isolated {
			t.Errorf("%+v: healthy %v", tc, !tc.isolated)
		}
	}
	c.membership.storeUnavailableFor = func() time.Duration { return 0 }
	setPeers(false, 0)
	c.updateHealth()
	if !c.Healthy() {
		t.Error("unhealthy though the store serves it")
	}
}

// Requests are forwarded to peers with recent contact that have not recently declined one, and to
// the leader first.
func TestForwardTargets(t *testing.T) {
	now := time.Now()
	m := newMembership([]config.Peer{{Name: "leader"}, {Name: "other"}, {Name: "unreachable"}, {Name: "declined"}}, nil)
	m.leader.name = "leader"
	for _, p := range m.peers {
		p.lastContactAt = now
	}
	m.peers["unreachable"].lastContactAt = now.Add(-2 * tuning.PeerUnreachableAfter)
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

// Workers are redirected to a leader with recent contact, or to one that refuses connections while
// the key-value store serves this controller, unless the leader's process was restarted.
func TestLeaderReachable(t *testing.T) {
	now, longAgo := time.Now(), time.Now().Add(-time.Hour)
	for _, test := range []struct {
		name        string
		leader      peerState
		unservedFor time.Duration
		want        bool
	}{
		{"recent contact", peerState{lastContactAt: now}, time.Minute, true},
		{"no recent contact", peerState{lastContactAt: longAgo}, 0, false},
		{"restarted", peerState{lastContactAt: now, notLeading: true}, 0, false},
		{"refuses connections", peerState{lastContactAt: longAgo, connectionRefusedAt: now}, 0, true},
		{"refuses connections without the store", peerState{lastContactAt: longAgo, connectionRefusedAt: now}, time.Minute, false},
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
