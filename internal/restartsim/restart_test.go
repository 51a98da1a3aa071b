package restartsim

import "testing"

// With the recovery on, starts, stops and releases are exactly those that the simulation
// knows to be needed, and provisioned machines close to it. Without it, the same plan
// issues more of each. No rule is violated, and in the end everything runs.
func TestRecoveryIssuesOnlyNeededOrders(t *testing.T) {
	for _, changed := range []float64{0, 0.1, 0.5} {
		plan := Plan{Machines: 120, Changed: changed, Seed: 3}
		without := Run(plan)
		plan.Recovery = true
		with := Run(plan)
		if with.Issued.Starts != with.Needed.Starts || with.Issued.Stops != with.Needed.Stops || with.Issued.Releases != with.Needed.Releases {
			t.Errorf("%v changed: issued %+v, needed %+v", changed, with.Issued, with.Needed)
		}
		if most := with.Needed.Provisioned + plan.Machines/20; with.Issued.Provisioned > most {
			t.Errorf("%v changed: provisioned %d, needed %d", changed, with.Issued.Provisioned, with.Needed.Provisioned)
		}
		if with.LastTeamAfter == 0 || with.SettledAfter == 0 || len(with.Violations)+len(without.Violations) > 0 {
			t.Errorf("%v changed: %+v", changed, with)
		}
		if without.Needed != with.Needed {
			t.Errorf("%v changed: another plan was run without the recovery: %+v, %+v", changed, without.Needed, with.Needed)
		}
		if changed > 0 && (without.Issued.Starts <= with.Issued.Starts || without.Issued.Releases <= with.Issued.Releases) {
			t.Errorf("%v changed: without the recovery issued %+v, so the test shows nothing", changed, without.Issued)
		}
	}
}
