package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// placeGang assigns all n waiting members of a gang, or none. If they have to be in one
// zone, it tries each: the best machine for the first member may be in a zone without
// capacity for the others.
func (r *placementRound) placeGang(j *job, n int) bool {
	//mutation:gang-zone-choice
	if !j.spec.SameZone || j.activeCount > 0 {
		return r.placeGangIn(anyZone, j, n)
	}
	for _, zone := range r.zonesWithCapacity() {
		if r.placeGangIn(zone, j, n) {
			return true
		}
	}
	return false
}

// anyZone stands for all zones together.
const anyZone = ""

// zonesWithCapacity lists the zones of the round's machines.
func (r *placementRound) zonesWithCapacity() []string {
	zones := map[string]bool{}
	for _, m := range r.machines {
		zones[m.zone] = true
	}
	return slices.Sorted(maps.Keys(zones))
}

// placeGangIn assigns all n waiting members in the zone, or none.
func (r *placementRound) placeGangIn(zone string, j *job, n int) bool {
	if r.dispatcher.attemptNumbersLeft() < n {
		return false
	}
	picker := r.newMachinePicker(j)
	if zone != anyZone {
		picker.keepZone(zone)
	}
	var members []*attempt
	for range n {
		m := picker.best()
		if m == nil {
			break
		}
		index, ok := j.takeFreeIndex()
		if !ok {
			break
		}
		members = append(members, r.assign(j, index, m))
		picker.recordAssignment(m)
	}
	if len(members) < n {
		r.undoAssignments(members)
		return false
	}
	for _, a := range members {
		r.persister.queueAssignment(a)
	}
	return true
}

// undoAssignments takes back assignments that were not queued to be recorded.
func (r *placementRound) undoAssignments(attempts []*attempt) {
	for _, a := range attempts {
		r.scheduler.detach(a)
	}
	r.scheduler.placement.due = false // detach asks for a round, but nothing has changed
}

// zoneCapacity counts by zone for how many tasks there is capacity.
type zoneCapacity map[string]int

// largest gives the zone with the most capacity, the first by name of several.
func (z zoneCapacity) largest() string {
	largest := ""
	for _, zone := range slices.Sorted(maps.Keys(z)) {
		if largest == "" || z[zone] > z[largest] {
			largest = zone
		}
	}
	return largest
}

// reserveForGang keeps machines free of other work, production apart, until a starved gang
// of n fits on them as a whole. It would never fit by itself where smaller tasks take each
// slot that becomes free. If the machines would not suffice even when empty, it reserves
// none: they would be emptied in vain.
func (r *placementRound) reserveForGang(j *job, n int) {
	var machines []*machine
	capacity := zoneCapacity{}
	for _, m := range r.cluster.sortedMachines() {
		if !r.cluster.canHost(m, j) {
			continue
		}
		if slots := m.gangSlots(j); slots > 0 {
			machines = append(machines, m)
			capacity[m.zone] += slots
		}
	}
	zone := capacity.largest()
	fitting := 0
	for other, slots := range capacity {
		if other == zone || !j.spec.SameZone {
			fitting += min(slots, j.spec.MaxTasksPerZone())
		}
	}
	//mutation:reserve-only-if-gang-fits
	if fitting < n {
		return
	}
	// The emptiest machines are free soonest.
	slices.SortStableFunc(machines, func(a, b *machine) int { return cmp.Compare(a.used.cpus, b.used.cpus) })
	reserved := zoneCapacity{}
	for _, m := range machines {
		if n <= 0 {
			return
		}
		slots := min(m.gangSlots(j), j.spec.MaxTasksPerZone()-reserved[m.zone])
		if j.spec.SameZone && m.zone != zone || slots <= 0 {
			continue
		}
		reserved[m.zone] += slots
		n -= slots
		m.reserve(j, r.now.Mono)
	}
}

// gangSlots is how many members of the gang the machine could run if all but services and
// work of higher priority ended there. GPUs don't count.
func (m *machine) gangSlots(j *job) int {
	free := totalResources(m.machineSpec)
	for _, a := range m.tasks {
		if a.job != nil && (a.job.service || a.job.rank < j.rank) {
			free.removeTask(&a.job.spec)
		}
	}
	slots := tasksThatFit(free, resources{cpus: j.spec.CPUs, memoryGB: j.spec.MemoryGB})
	return int(max(0, min(slots, wire.MaxTasks)))
}

// hostableTasks is how many of n waiting tasks of the job could go to the machines that
// there are if all but production made way. For tasks that need machines yet to be
// provisioned, no quota is reserved and nothing is preempted. For a while the job waits for
// machines that may be on their way, and all n count.
func (r *placementRound) hostableTasks(j *job, n int) int {
	//mutation:reservation-wait-bound
	if r.now.Mono-j.waiting.since < tuning.ReservationTTL {
		return n
	}
	attemptsByZone := j.attemptsByZone()
	capacity := zoneCapacity{}
	for _, m := range r.cluster.sortedMachines() {
		if !r.cluster.canHost(m, j) || !j.allowsZone(attemptsByZone, m.zone) {
			continue
		}
		slots := m.productionSlots(j, n)
		if slots == 0 {
			continue
		}
		capacity[m.zone] = min(n, capacity[m.zone]+slots)
		if capacity.tasksOf(j, attemptsByZone) >= n {
			return n // mostly after a few machines: hundreds of jobs may ask in each round
		}
	}
	if j.spec.Gang() {
		return 0 // it runs as a whole or not at all
	}
	return capacity.tasksOf(j, attemptsByZone)
}

// productionSlots is how many tasks of the job, n at the most, the machine could run if all
// but production and the job itself ended there.
func (m *machine) productionSlots(j *job, n int) int {
	free := totalResources(m.machineSpec)
	for _, a := range m.tasks {
		if a.job.isProduction() || a.job == j {
			free.removeTask(&a.job.spec)
		}
	}
	return int(max(0, min(tasksThatFit(free, j.taskResources()), float64(n))))
}

// tasksOf is how many tasks of the job the capacity suffices for under its rules for zones.
func (z zoneCapacity) tasksOf(j *job, attemptsByZone map[string]int) int {
	most, sum := 0, 0
	for zone, slots := range z {
		most = max(most, slots)
		sum += max(0, min(slots, j.spec.MaxTasksPerZone()-attemptsByZone[zone]))
	}
	if j.spec.SameZone {
		return most
	}
	return sum
}

// hasStoppingAttempt reports whether any attempt of the job is being stopped.
func (j *job) hasStoppingAttempt() bool {
	for _, attempts := range j.active {
		for _, a := range attempts {
			if a.stop.requested {
				return true
			}
		}
	}
	return false
}
