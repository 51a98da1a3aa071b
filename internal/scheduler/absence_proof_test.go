package scheduler

import (
	"math/rand/v2"
	"testing"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Each condition of provenAbsent alone prevents an unlisted attempt from being considered gone.
// The conditions overlap, so a simulation in which one of them is not checked may violate no
// invariant. Each case here isolates a single condition.
func TestEachConditionDefeatsProofOfAbsence(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 9))
	for range 200 {
		term := uint64(harnessTerm)
		fencingCounter := 1 + rng.Uint64N(20)
		incarnation, sequence := 1+rng.Uint64N(5), 10+rng.Uint64N(90)
		d := newDispatcher(&termContext{term: term}, nil)
		// An attempt whose start was sent in this term and not acknowledged, and a heartbeat that
		// proves it absent.
		newUnacknowledgedAttempt := func() *attempt {
			return &attempt{start: startState{sent: true, incarnation: incarnation, requiredFencingCounter: fencingCounter, replySequence: sequence}}
		}
		newHeartbeat := func() *wire.Heartbeat {
			return &wire.Heartbeat{Incarnation: incarnation, Sequence: sequence + 1 + rng.Uint64N(5), FencingToken: term<<tuning.FencingBits | fencingCounter + rng.Uint64N(3)}
		}
		for _, c := range []struct {
			name      string
			change    func(a *attempt, heartbeat *wire.Heartbeat)
			initiator exchangeInitiator
			absent    bool
		}{
			{"all conditions for absence are met", func(*attempt, *wire.Heartbeat) {}, workerInitiated, true},
			{"the heartbeat is under an earlier term's token", func(_ *attempt, heartbeat *wire.Heartbeat) {
				heartbeat.FencingToken = (term-1-rng.Uint64N(5))<<tuning.FencingBits | 1<<tuning.FencingBits - 1
			}, workerInitiated, false},
			{"the heartbeat is under a token below the start's fencing counter", func(_ *attempt, heartbeat *wire.Heartbeat) {
				heartbeat.FencingToken = term<<tuning.FencingBits | rng.Uint64N(fencingCounter)
			}, workerInitiated, false},
			{"a later incarnation, under a token below the start's fencing counter", func(_ *attempt, heartbeat *wire.Heartbeat) {
				heartbeat.Incarnation++
				heartbeat.FencingToken = term<<tuning.FencingBits | rng.Uint64N(fencingCounter)
			}, workerInitiated, false},
			{"a direct call that carries the start is in flight", func(a *attempt, _ *wire.Heartbeat) { a.start.callInFlight = true }, workerInitiated, false},
			{"the heartbeat is the one whose reply carried the start", func(a *attempt, heartbeat *wire.Heartbeat) { heartbeat.Sequence = a.start.replySequence }, workerInitiated, false},
			{"a heartbeat in the reply to a direct call, and the start was sent in a heartbeat reply", func(*attempt, *wire.Heartbeat) {}, leaderInitiated, false},
			{"a heartbeat in the reply to a direct call, and the start was sent in a direct call", func(a *attempt, _ *wire.Heartbeat) { a.start.replySequence = 0 }, leaderInitiated, true},
			{"a later incarnation, with a call in flight", func(a *attempt, heartbeat *wire.Heartbeat) {
				a.start.callInFlight = true
				heartbeat.Incarnation += 1 + rng.Uint64N(3)
			}, workerInitiated, true},
			{"sent by an earlier leader to an unknown incarnation, with a call in flight", func(a *attempt, _ *wire.Heartbeat) { a.start.incarnation, a.start.callInFlight = 0, true }, workerInitiated, false},
			{"the start was never sent", func(a *attempt, _ *wire.Heartbeat) { a.start.sent = false }, workerInitiated, false},
			{"the attempt was listed before", func(a *attempt, _ *wire.Heartbeat) { a.start.acknowledged = true }, workerInitiated, true},
		} {
			a, heartbeat := newUnacknowledgedAttempt(), newHeartbeat()
			c.change(a, heartbeat)
			if got := d.provenAbsent(a, heartbeat, c.initiator); got != c.absent {
				t.Fatalf("%s: proven absent: %v\n%+v\n%+v", c.name, got, a, heartbeat)
			}
		}
	}
}
