package simulator

import (
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// freeInZone is the free capacity of a machine of the small type.
func freeInZone(zone string, cpus float64) FreeCapacity {
	return FreeCapacity{Type: "small", Zone: zone, CPUs: cpus, MemoryGB: 8}
}

// Cases of the rule on jobs that wait beside free capacity.
var waitingRuleCases = []ruleCase{
	{RuleLeftWaiting, "a job waits for 90 s beside free capacity that fits",
		func(f *ruleFixture) { f.FaultsEnded(0); f.checkWaiting(90*time.Second, false, freeInZone("a", 4)) },
		func(f *ruleFixture) { f.FaultsEnded(0); f.checkWaiting(87*time.Second, false, freeInZone("a", 4)) }},
	{RuleLeftWaiting, "only once the faults have ended",
		func(f *ruleFixture) { f.FaultsEnded(0); f.checkWaiting(90*time.Second, false, freeInZone("a", 4)) },
		func(f *ruleFixture) { f.checkWaiting(200*time.Second, false, freeInZone("a", 4)) }},
	{RuleLeftWaiting, "free capacity of a kind, type and size that the job allows",
		func(f *ruleFixture) {
			f.FaultsEnded(0)
			f.job.MachineTypes, f.job.Zone, f.job.Spot = []string{"small"}, "a", true
			f.checkWaiting(90*time.Second, false, FreeCapacity{Type: "small", Zone: "a", Spot: true, CPUs: 2, MemoryGB: 1})
		},
		func(f *ruleFixture) {
			f.FaultsEnded(0)
			f.job.MachineTypes, f.job.Zone = []string{"small"}, "a"
			f.checkWaiting(200*time.Second, false, FreeCapacity{Type: "gpu", Zone: "a", CPUs: 8, MemoryGB: 9}, FreeCapacity{Type: "small", Zone: "b", CPUs: 8, MemoryGB: 9},
				FreeCapacity{Type: "small", Zone: "a", Spot: true, CPUs: 8, MemoryGB: 9}, FreeCapacity{Type: "small", Zone: "a", CPUs: 1, MemoryGB: 9}, FreeCapacity{Type: "small", Zone: "a", CPUs: 8, MemoryGB: 0.5})
		}},
	{RuleLeftWaiting, "the team is under its limit",
		func(f *ruleFixture) {
			f.FaultsEnded(0)
			f.useQuota(6)
			f.checkWaiting(90*time.Second, false, freeInZone("a", 4))
		},
		func(f *ruleFixture) {
			f.FaultsEnded(0)
			f.useQuota(7)
			f.checkWaiting(200*time.Second, false, freeInZone("a", 4))
		}},
	{RuleLeftWaiting, "nothing of it is on a machine",
		func(f *ruleFixture) { f.FaultsEnded(0); f.checkWaiting(90*time.Second, false, freeInZone("a", 4)) },
		func(f *ruleFixture) { f.FaultsEnded(0); f.checkWaiting(200*time.Second, true, freeInZone("a", 4)) }},
	{RuleLeftWaiting, "a gang fits free capacity as a whole",
		func(f *ruleFixture) {
			f.FaultsEnded(0)
			f.job.Shape = wire.ShapeGang
			f.checkWaiting(90*time.Second, false, freeInZone("a", 4), freeInZone("a", 4))
		},
		func(f *ruleFixture) {
			f.FaultsEnded(0)
			f.job.Shape = wire.ShapeGang
			f.checkWaiting(200*time.Second, false, freeInZone("a", 4))
		}},
	{RuleLeftWaiting, "a gang bound to one zone fits free capacity there",
		func(f *ruleFixture) {
			f.FaultsEnded(0)
			f.job.Shape, f.job.SameZone = wire.ShapeGang, true
			f.checkWaiting(90*time.Second, false, freeInZone("a", 4), freeInZone("a", 2))
		},
		func(f *ruleFixture) {
			f.FaultsEnded(0)
			f.job.Shape, f.job.SameZone = wire.ShapeGang, true
			f.checkWaiting(200*time.Second, false, freeInZone("a", 4), freeInZone("b", 4))
		}},
	{RuleLeftWaiting, "a gang spread over zones fits free capacity in them",
		func(f *ruleFixture) {
			f.FaultsEnded(0)
			f.job.Shape, f.job.SpreadZones = wire.ShapeGang, true
			f.checkWaiting(90*time.Second, false, freeInZone("a", 8), freeInZone("b", 2))
		},
		func(f *ruleFixture) {
			f.FaultsEnded(0)
			f.job.Shape, f.job.SpreadZones = wire.ShapeGang, true
			f.checkWaiting(200*time.Second, false, freeInZone("a", 8), freeInZone("a", 8))
		}},
}
