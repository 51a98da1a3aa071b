package scheduler_test

import "time"

// The network of the simulation: how long messages take, and which arrive.

// linkDelay draws how long a message takes.
func (sim *simulation) linkDelay() time.Duration {
	d := time.Duration(1+sim.rng.IntN(20)) * time.Millisecond
	if sim.maxLinkDelay > 0 {
		d += time.Duration(sim.rng.Int64N(int64(sim.maxLinkDelay)))
	}
	if sim.chance(0.03) {
		d += time.Duration(sim.rng.IntN(800)) * time.Millisecond
	}
	return d
}

// deliveries draws what becomes of a message between a machine and a controller: how often
// it arrives, and when.
func (sim *simulation) deliveries(machine, controller string) []time.Duration {
	if until := sim.pathBlockedUntil(machine, controller); until > sim.now {
		if sim.chance(0.5) {
			return []time.Duration{until - sim.now + sim.linkDelay()} // held until then
		}
		return nil
	}
	if sim.chance(sim.lossRate) {
		return nil
	}
	arrivals := []time.Duration{sim.linkDelay()}
	if sim.chance(sim.delayRate) {
		arrivals[0] = time.Duration(sim.rng.IntN(25000)) * time.Millisecond
		if sim.rng.IntN(8) == 0 {
			arrivals[0] *= 5 // minutes late
		}
	}
	if sim.chance(sim.duplicateRate) {
		arrivals = append(arrivals, arrivals[0]+time.Duration(sim.rng.IntN(20000))*time.Millisecond)
	}
	return arrivals
}

// pathBlockedUntil is until when no message passes between a machine and a controller.
func (sim *simulation) pathBlockedUntil(machine, controller string) time.Duration {
	until := max(0, sim.partitionedUntil[machine], sim.partitionedUntil[controller])
	for _, c := range sim.controllers {
		if c.name == controller {
			until = max(until, c.workersUnreachableUntil)
		}
	}
	from, to := sim.zoneOf(machine), sim.zoneOf(controller)
	if from != to {
		until = max(until, sim.zonePartitionedUntil[from], sim.zonePartitionedUntil[to])
	}
	return until
}

// zoneOf is the zone of a machine or a controller; of the controllers, zone a has three.
func (sim *simulation) zoneOf(name string) string {
	if worker := sim.workers[name]; worker != nil {
		return worker.Zone
	}
	for i, c := range sim.controllers {
		if c.name == name {
			return []string{"a", "b"}[i%2]
		}
	}
	return ""
}
