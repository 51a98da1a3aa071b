package controller

import (
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/config"
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
