package restartsim

import "testing"

// With the recovery on, starts, stops and releases are exactly what the stand-ins know to
// be needed, and rentals next to it; without, the same plan orders more of each. No rule
// is broken, and in the end everything runs.
func TestRecoveryOrdersWhatIsNeeded(t *testing.T) {
	for _, changed := range []float64{0, 0.1, 0.5} {
		plan := Plan{Machines: 120, Changed: changed, Seed: 3}
		before := Play(plan)
		plan.Recovery = true
		r := Play(plan)
		if r.Given.Starts != r.Needed.Starts || r.Given.Stops != r.Needed.Stops || r.Given.Released != r.Needed.Released {
			t.Errorf("%v changed: ordered %+v, needed %+v", changed, r.Given, r.Needed)
		}
		if most := r.Needed.Rented + plan.Machines/20; r.Given.Rented > most {
			t.Errorf("%v changed: rented %d, needed %d", changed, r.Given.Rented, r.Needed.Rented)
		}
		if r.WorstTeam == 0 || r.Settled == 0 || len(r.Broken)+len(before.Broken) > 0 {
			t.Errorf("%v changed: %+v", changed, r)
		}
		if before.Needed != r.Needed {
			t.Errorf("%v changed: another plan is played without the recovery: %+v, %+v", changed, before.Needed, r.Needed)
		}
		if changed > 0 && (before.Given.Starts <= r.Given.Starts || before.Given.Released <= r.Given.Released) {
			t.Errorf("%v changed: without the recovery ordered %+v: the test shows nothing", changed, before.Given)
		}
	}
}
