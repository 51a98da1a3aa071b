package scheduler

import (
	"math/rand/v2"
	"testing"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Each condition on its own keeps an attempt that a heartbeat does not list from being
// taken for gone. Several overlap, so that a simulation without one of them violates no
// invariant; here each is the only one that speaks against the proof.
func TestEachConditionDefeatsProofOfAbsence(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 9))
	for range 200 {
		term := uint64(harnessTerm)
		fence := 1 + rng.Uint64N(20)
		session, tick := 1+rng.Uint64N(5), 10+rng.Uint64N(90)
		d := newDispatcher(&termContext{term: term}, nil)
		// A start of this term that is sent and not listed, and the heartbeat that proves it absent.
		start := func() *attempt {
			return &attempt{start: startState{sent: true, incarnation: session, requiredFencingCounter: fence, replySequence: tick}}
		}
		report := func() *wire.Heartbeat {
			return &wire.Heartbeat{Incarnation: session, Sequence: tick + 1 + rng.Uint64N(5), FencingToken: term<<tuning.FencingBits | fence + rng.Uint64N(3)}
		}
		for _, c := range []struct {
			name   string
			change func(a *attempt, r *wire.Heartbeat)
			via    exchange
			absent bool
		}{
			{"nothing speaks against it", func(*attempt, *wire.Heartbeat) {}, workerInitiated, true},
			{"the heartbeat is under an earlier term's token", func(_ *attempt, r *wire.Heartbeat) {
				r.FencingToken = (term-1-rng.Uint64N(5))<<tuning.FencingBits | 1<<tuning.FencingBits - 1
			}, workerInitiated, false},
			{"the heartbeat is under a token below the start's fencing counter", func(_ *attempt, r *wire.Heartbeat) {
				r.FencingToken = term<<tuning.FencingBits | rng.Uint64N(fence)
			}, workerInitiated, false},
			{"the same, though the incarnation is a later one", func(_ *attempt, r *wire.Heartbeat) {
				r.Incarnation++
				r.FencingToken = term<<tuning.FencingBits | rng.Uint64N(fence)
			}, workerInitiated, false},
			{"a direct call with it is in flight", func(a *attempt, _ *wire.Heartbeat) { a.start.callInFlight = true }, workerInitiated, false},
			{"the heartbeat is the one whose reply carried the start", func(a *attempt, r *wire.Heartbeat) { r.Sequence = a.start.replySequence }, workerInitiated, false},
			{"a reply to a direct call overtakes the reply that carried the start", func(*attempt, *wire.Heartbeat) {}, leaderInitiated, false},
			{"a reply to a direct call, and the start went directly", func(a *attempt, _ *wire.Heartbeat) { a.start.replySequence = 0 }, leaderInitiated, true},
			{"a later incarnation, though a call is in flight", func(a *attempt, r *wire.Heartbeat) {
				a.start.callInFlight = true
				r.Incarnation += 1 + rng.Uint64N(3)
			}, workerInitiated, true},
			{"sent by an earlier leader to an unknown incarnation, with a call in flight", func(a *attempt, _ *wire.Heartbeat) { a.start.incarnation, a.start.callInFlight = 0, true }, workerInitiated, false},
			{"it was never sent", func(a *attempt, _ *wire.Heartbeat) { a.start.sent = false }, workerInitiated, false},
			{"it was listed before", func(a *attempt, _ *wire.Heartbeat) { a.start.acknowledged = true }, workerInitiated, true},
		} {
			a, r := start(), report()
			c.change(a, r)
			if got := d.provenAbsent(a, r, c.via); got != c.absent {
				t.Fatalf("%s: proven absent: %v\n%+v\n%+v", c.name, got, a, r)
			}
		}
	}
}
