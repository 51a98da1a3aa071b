package simulator

import (
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// freeInZone returns free capacity of a machine of the small type in a zone.
func freeInZone(zone string, cpus float64) FreeCapacity {
	return FreeCapacity{Type: "small", Zone: zone, CPUs: cpus, MemoryGB: 8}
}

// waitingRuleCases are the cases of the rule on jobs that wait although free capacity exists.
var waitingRuleCases = []ruleCase{
	{RuleLeftWaiting, "a job waits for 90 s although it fits the free capacity",
		func(f *ruleFixture) { f.FaultsEnded(0); f.checkWaitingUntil(90*time.Second, false, freeInZone("a", 4)) },
		func(f *ruleFixture) { f.FaultsEnded(0); f.checkWaitingUntil(87*time.Second, false, freeInZone("a", 4)) }},
	{RuleLeftWaiting, "only once the faults have ended",
		func(f *ruleFixture) { f.FaultsEnded(0); f.checkWaitingUntil(90*time.Second, false, freeInZone("a", 4)) },
		func(f *ruleFixture) { f.checkWaitingUntil(200*time.Second, false, freeInZone("a", 4)) }},
	{RuleLeftWaiting, "free capacity of a type, zone, kind (spot) and size that fit the job",
		func(f *ruleFixture) {
			f.FaultsEnded(0)
			f.job.MachineTypes, f.job.Zone, f.job.Spot = []string{"small"}, "a", true
			f.checkWaitingUntil(90*time.Second, false, FreeCapacity{Type: "small", Zone: "a", Spot: true, CPUs: 2, MemoryGB: 1})
		},
		func(f *ruleFixture) {
			f.FaultsEnded(0)
			f.job.MachineTypes, f.job.Zone = []string{"small"}, "a"
			f.checkWaitingUntil(200*time.Second, false, FreeCapacity{Type: "gpu", Zone: "a", CPUs: 8, MemoryGB: 9}, FreeCapacity{Type: "small", Zone: "b", CPUs: 8, MemoryGB: 9},
				FreeCapacity{Type: "small", Zone: "a", Spot: true, CPUs: 8, MemoryGB: 9}, FreeCapacity{Type: "small", Zone: "a", CPUs: 1, MemoryGB: 9}, FreeCapacity{Type: "small", Zone: "a", CPUs: 8, MemoryGB: 0.5})
		}},
	{RuleLeftWaiting, "the team is under its limit",
		func(f *ruleFixture) {
			f.FaultsEnded(0)
			f.useQuota(6)
			f.checkWaitingUntil(90*time.Second, false, freeInZone("a", 4))
		},
		func(f *ruleFixture) {
			f.FaultsEnded(0)
			f.useQuota(7)
			f.checkWaitingUntil(200*time.Second, false, freeInZone("a", 4))
		}},
	{RuleLeftWaiting, "no task of the job is on a machine",
		func(f *ruleFixture) { f.FaultsEnded(0); f.checkWaitingUntil(90*time.Second, false, freeInZone("a", 4)) },
		func(f *ruleFixture) { f.FaultsEnded(0); f.checkWaitingUntil(200*time.Second, true, freeInZone("a", 4)) }},
	{RuleLeftWaiting, "a gang fits free capacity as a whole",
		func(f *ruleFixture) {
			f.FaultsEnded(0)
			f.job.Shape = wire.ShapeGang
			f.checkWaitingUntil(90*time.Second, false, freeInZone("a", 4), freeInZone("a", 4))
		},
		func(f *ruleFixture) {
			f.FaultsEnded(0)
			f.job.Shape = wire.ShapeGang
			f.checkWaitingUntil(200*time.Second, false, freeInZone("a", 4))
		}},
	{RuleLeftWaiting, "a gang bound to one zone fits free capacity there",
		func(f *ruleFixture) {
			f.FaultsEnded(0)
			f.job.Shape, f.job.SameZone = wire.ShapeGang, true
			f.checkWaitingUntil(90*time.Second, false, freeInZone("a", 4), freeInZone("a", 2))
		},
		func(f *ruleFixture) {
			f.FaultsEnded(0)
			f.job.Shape, f.job.SameZone = wire.ShapeGang, true
			f.checkWaitingUntil(200*time.Second, false, freeInZone("a", 4), freeInZone("b", 4))
		}},
	{RuleLeftWaiting, "a gang spread over zones fits free capacity in them",
		func(f *ruleFixture) {
			f.FaultsEnded(0)
			f.job.Shape, f.job.SpreadZones = wire.ShapeGang, true
			f.checkWaitingUntil(90*time.Second, false, freeInZone("a", 8), freeInZone("b", 2))
		},
		func(f *ruleFixture) {
			f.FaultsEnded(0)
			f.job.Shape, f.job.SpreadZones = wire.ShapeGang, true
			f.checkWaitingUntil(200*time.Second, false, freeInZone("a", 8), freeInZone("a", 8))
		}},
}
