package restartsim

import "testing"

// With the recovery on, starts, stops and releases are exactly what the stand-ins know to
// be needed, and rentals next to it; without, the same plan orders more of each. No rule
// is broken, and in the end everything runs.
func TestRecoveryIssuesOnlyNeededOrders(t *testing.T) {
	for _, changed := range []float64{0, 0.1, 0.5} {
		plan := Plan{Machines: 120, Changed: changed, Seed: 3}
		before := Run(plan)
		plan.Recovery = true
		r := Run(plan)
		if r.Issued.Starts != r.Needed.Starts || r.Issued.Stops != r.Needed.Stops || r.Issued.Released != r.Needed.Released {
			t.Errorf("%v changed: ordered %+v, needed %+v", changed, r.Issued, r.Needed)
		}
		if most := r.Needed.Provisioned + plan.Machines/20; r.Issued.Provisioned > most {
			t.Errorf("%v changed: rented %d, needed %d", changed, r.Issued.Provisioned, r.Needed.Provisioned)
		}
		if r.LastTeamAfter == 0 || r.SettledAfter == 0 || len(r.Violations)+len(before.Violations) > 0 {
			t.Errorf("%v changed: %+v", changed, r)
		}
		if before.Needed != r.Needed {
			t.Errorf("%v changed: another plan is played without the recovery: %+v, %+v", changed, before.Needed, r.Needed)
		}
		if changed > 0 && (before.Issued.Starts <= r.Issued.Starts || before.Issued.Released <= r.Issued.Released) {
			t.Errorf("%v changed: without the recovery ordered %+v: the test shows nothing", changed, before.Issued)
		}
	}
}
