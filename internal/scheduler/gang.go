package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// placeGang assigns all n waiting members of a gang or none, and reports whether it assigned
// them. For a gang that must be in a single zone and has no attempts yet, it tries each zone, since
// the best machine for the first member may be in a zone without capacity for the others.
func (r *placementRound) placeGang(j *job, n int) bool {
	//mutation:gang-zone-choice
	if !j.spec.SameZone || j.activeCount > 0 {
		return r.placeGangInZone(anyZone, j, n)
	}
	for _, zone := range r.zonesWithCapacity() {
		if r.placeGangInZone(zone, j, n) {
			return true
		}
	}
	return false
}

// anyZone is the argument of placeGangInZone that adds no restriction to the zone rules of the
// gang.
const anyZone = ""

// zonesWithCapacity returns the zones of the round's machines, sorted by name.
func (r *placementRound) zonesWithCapacity() []string {
	zones := map[string]bool{}
	for _, m := range r.machines {
		zones[m.zone] = true
	}
	return slices.Sorted(maps.Keys(zones))
}

// placeGangInZone assigns all n waiting members in the zone or none, and reports whether it
// assigned them.
func (r *placementRound) placeGangInZone(zone string, j *job, n int) bool {
	if r.dispatcher.attemptNumbersLeft() < n {
		return false
	}
	picker := r.newMachinePicker(j)
	if zone != anyZone {
		picker.restrictToZone(zone)
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

// undoAssignments removes attempts whose assignments were not yet queued to be recorded.
func (r *placementRound) undoAssignments(attempts []*attempt) {
	for _, a := range attempts {
		r.scheduler.detach(a)
	}
	// detach makes a round due, although undoing the assignments gives a new round nothing to do.
	// If a preemption in this round has also made a round due, that is lost: the next round then
	// waits for another event or for requestOverdueRound.
	r.scheduler.placement.due = false
}

// zoneCapacity holds the number of tasks that fit in each zone.
type zoneCapacity map[string]int

// largestZone returns the zone with the most capacity. Ties go to the first zone by name.
func (z zoneCapacity) largestZone() string {
	largest := ""
	for _, zone := range slices.Sorted(maps.Keys(z)) {
		if largest == "" || z[zone] > z[largest] {
			largest = zone
		}
	}
	return largest
}

// reserveForGang reserves machines for the n waiting members of a starved gang, so that no new
// tasks of other jobs except production are placed there until the reservations expire. Later
// rounds may renew them until the whole gang fits. Without reservations, smaller tasks would take
// all capacity as it becomes free. If the gang would not fit even after the tasks that gangSlots
// ignores have ended, no machine is reserved, since reservations would only leave capacity idle.
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
	zone := capacity.largestZone()
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
	// Machines that use the fewest CPUs are expected to become free first.
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

// gangSlots returns how many members of the gang the machine could run if only services and
// higher-priority tasks remained there. It ignores GPUs.
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

// maxTasksAfterPreemption returns how many of n waiting tasks of the job would fit on the existing
// machines if only production tasks and the job's own tasks remained there. For a gang, the result
// is n or 0. No quota is reserved and nothing is preempted for tasks that need machines yet to be
// provisioned. Until the job has waited for tuning.ReservationTTL, the result is n, since machines
// may be about to come up.
func (r *placementRound) maxTasksAfterPreemption(j *job, n int) int {
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
		slots := m.slotsAfterPreemption(j, n)
		if slots == 0 {
			continue
		}
		capacity[m.zone] = min(n, capacity[m.zone]+slots)
		if capacity.maxTasksOf(j, attemptsByZone) >= n {
			// Most searches end here after a few machines. This keeps rounds short, in which
			// hundreds of jobs may need a search.
			return n
		}
	}
	if j.spec.Gang() {
		return 0 // a gang runs as a whole or not at all
	}
	return capacity.maxTasksOf(j, attemptsByZone)
}

// slotsAfterPreemption returns how many more tasks of the job, up to n, the machine could run if
// only production tasks and the job's own tasks remained there.
func (m *machine) slotsAfterPreemption(j *job, n int) int {
	free := totalResources(m.machineSpec)
	for _, a := range m.tasks {
		if a.job.isProduction() || a.job == j {
			free.removeTask(&a.job.spec)
		}
	}
	return int(max(0, min(tasksThatFit(free, j.taskResources()), float64(n))))
}

// maxTasksOf returns how many more tasks of the job fit in the capacity under the job's zone
// rules.
func (z zoneCapacity) maxTasksOf(j *job, attemptsByZone map[string]int) int {
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
