package restartsim

import "testing"

// With the setting recovery on, the scheduler issues exactly the needed starts, stops and releases,
// and at most 5% of the machines more than need to be provisioned. With the setting off, the same
// plan issues more starts and releases if machines changed. No rule is violated in either case, and
// with the setting on all tasks run in the end.
func TestRecoveryIssuesOnlyNeededOperations(t *testing.T) {
	for _, changed := range []float64{0, 0.1, 0.5} {
		plan := Plan{Machines: 120, ChangedShare: changed, Seed: 3}
		withoutRecovery := Run(plan)
		plan.Recovery = true
		withRecovery := Run(plan)
		if withRecovery.Issued.Starts != withRecovery.Needed.Starts || withRecovery.Issued.Stops != withRecovery.Needed.Stops || withRecovery.Issued.Releases != withRecovery.Needed.Releases {
			t.Errorf("%v changed: issued %+v, needed %+v", changed, withRecovery.Issued, withRecovery.Needed)
		}
		if maxProvisioned := withRecovery.Needed.Provisioned + plan.Machines/20; withRecovery.Issued.Provisioned > maxProvisioned {
			t.Errorf("%v changed: provisioned %d, needed %d", changed, withRecovery.Issued.Provisioned, withRecovery.Needed.Provisioned)
		}
		if withRecovery.TeamsCompleteAfter == 0 || withRecovery.SettledAfter == 0 || len(withRecovery.Violations)+len(withoutRecovery.Violations) > 0 {
			t.Errorf("%v changed: not complete, not settled or rules violated: %+v", changed, withRecovery)
		}
		if withoutRecovery.Needed != withRecovery.Needed {
			t.Errorf("%v changed: the needed operations differ without the recovery: %+v, with it: %+v", changed, withoutRecovery.Needed, withRecovery.Needed)
		}
		if changed > 0 && (withoutRecovery.Issued.Starts <= withRecovery.Issued.Starts || withoutRecovery.Issued.Releases <= withRecovery.Issued.Releases) {
			t.Errorf("%v changed: issued only %+v without the recovery, so the test does not show its effect", changed, withoutRecovery.Issued)
		}
	}
}
