package scheduler_test

import "time"

// This file simulates the network: delays, losses, duplicates and partitions.

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

// deliveryDelays draws the deliveries of a message between a machine and a controller: the
// delay of each copy that arrives. It returns nil if the message is lost.
func (sim *simulation) deliveryDelays(machine, controller string) []time.Duration {
	if until := sim.pathBlockedUntil(machine, controller); until > sim.now {
		if sim.chance(0.5) {
			return []time.Duration{until - sim.now + sim.linkDelay()} // arrives after the partition
		}
		return nil
	}
	if sim.chance(sim.lossRate) {
		return nil
	}
	delays := []time.Duration{sim.linkDelay()}
	if sim.chance(sim.delayRate) {
		delays[0] = time.Duration(sim.rng.IntN(25000)) * time.Millisecond
		if sim.rng.IntN(8) == 0 {
			delays[0] *= 5 // minutes late
		}
	}
	if sim.chance(sim.duplicateRate) {
		delays = append(delays, delays[0]+time.Duration(sim.rng.IntN(20000))*time.Millisecond)
	}
	return delays
}

// pathBlockedUntil returns the time until which no message passes between a machine and a
// controller.
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

// zoneOf returns the zone of a machine or a controller. Three of the five controllers are in
// zone a.
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
