package scheduler

import (
	"container/heap"
	"maps"
	"math"
	"slices"
	"sort"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// placeGang places all waiting members of a gang, or none. Where they have to be
// together, each zone is tried: the best machine for the first of them may be in one
// that has no room for the others.
func (s *Scheduler) placeGang(r *placementRound, j *job, n int) bool {
	//mutation:gang-zone-choice
	if !j.spec.SameZone || j.activeCount > 0 {
		return s.placeGangInZone(r, j, n, "")
	}
	zones := map[string]bool{}
	for _, m := range r.withCapacity {
		zones[m.zone] = true
	}
	for _, z := range slices.Sorted(maps.Keys(zones)) {
		if s.placeGangInZone(r, j, n, z) {
			return true
		}
	}
	return false
}

// placeGangInZone places them in one zone; empty: in any.
func (s *Scheduler) placeGangInZone(r *placementRound, j *job, n int, zone string) bool {
	if s.attemptNumbersLeft() < n {
		return false
	}
	var placed []*attempt
	p := s.newMachinePicker(r, j)
	if zone != "" {
		p.candidates = slices.DeleteFunc(p.candidates, func(x candidate) bool { return x.machine.zone != zone })
		heap.Init(&p.candidates)
	}
	for range n {
		m := p.best()
		if m == nil {
			break
		}
		i, ok := j.takeFreeIndex()
		if !ok {
			break
		}
		a := s.newAttempt(j, i, m)
		s.attach(a)
		p.recordAssignment(m)
		placed = append(placed, a)
	}
	if len(placed) < n {
		for _, a := range placed {
			s.detach(a)
		}
		s.placement.due = false // nothing has changed
		return false
	}
	for _, a := range placed {
		s.persister.queueAssignment(a)
	}
	return true
}

// reserveForGang keeps machines free of other work, production apart, until a gang that
// waits for long fits on them together: room for all of it never comes by itself
// where smaller tasks take each slot that falls free.
func (s *Scheduler) reserveForGang(j *job, n int) {
	slots := func(m *machine) int {
		cpus, mem := m.machineSpec.CPUs, m.machineSpec.MemoryGB
		for _, a := range m.tasks {
			if a.job != nil && (a.job.service || a.job.rank < j.rank) {
				cpus -= a.job.spec.CPUs
				mem -= a.job.spec.MemoryGB
			}
		}
		k := wire.MaxTasks
		if j.spec.CPUs > 0 {
			k = min(k, int(cpus/j.spec.CPUs+epsilon))
		}
		if j.spec.MemoryGB > 0 {
			k = min(k, int(mem/j.spec.MemoryGB+epsilon))
		}
		return max(k, 0)
	}
	var list []*machine
	room := map[string]int{}
	for _, m := range s.sortedMachines() {
		if s.schedulable(m) && !m.summarize().hasUnknownTask && j.allowsMachine(m.machineType, m.zone, m.spot) && slots(m) > 0 {
			list = append(list, m)
			room[m.zone] += slots(m)
		}
	}
	best := ""
	for _, z := range slices.Sorted(maps.Keys(room)) {
		if best == "" || room[z] > room[best] {
			best = z
		}
	}
	fits := 0
	for z, k := range room {
		if z == best || !j.spec.SameZone {
			fits += min(k, j.spec.MaxTasksPerZone())
		}
	}
	//mutation:reserve-only-if-gang-fits
	if fits < n {
		return // it fits only once there are more machines: keeping these empties them in vain
	}
	// Those that are emptiest are free soonest.
	sort.SliceStable(list, func(a, b int) bool { return list[a].used.cpus < list[b].used.cpus })
	taken := map[string]int{}
	for _, m := range list {
		if j.spec.SameZone && m.zone != best || n <= 0 {
			continue
		}
		k := min(slots(m), j.spec.MaxTasksPerZone()-taken[m.zone])
		if k <= 0 {
			continue
		}
		taken[m.zone] += k
		n -= k
		m.reservation.jobID, m.reservation.until = j.id, s.now.Mono+tuning.PreemptionReservationTTL
	}
}

// hostableTasks is how many of n waiting tasks of the job could go to the machines that
// there are if all but production made way there. Of those that need machines yet, no
// room is kept. What is on its way is waited for, for a while.
func (s *Scheduler) hostableTasks(j *job, n int) int {
	//mutation:reservation-wait-bound
	if s.now.Mono-j.waiting.since < tuning.ReservationTTL {
		return n
	}
	z := j.attemptsByZone()
	room := map[string]int{}
	could := func() int {
		most, sum := 0, 0
		for zone, k := range room {
			most = max(most, k)
			sum += max(0, min(k, j.spec.MaxTasksPerZone()-z[zone]))
		}
		if j.spec.SameZone {
			sum = most
		}
		return sum
	}
	for _, m := range s.sortedMachines() {
		if !s.schedulable(m) || m.summarize().hasUnknownTask || !j.allowsMachine(m.machineType, m.zone, m.spot) || !j.allowsZone(z, m.zone) {
			continue
		}
		cpus, gpus, mem := m.machineSpec.CPUs, m.machineSpec.GPUs, m.machineSpec.MemoryGB
		for _, a := range m.tasks {
			if a.job.rank == 0 || a.job == j {
				cpus -= a.job.spec.CPUs
				gpus -= a.job.spec.GPUs
				mem -= a.job.spec.MemoryGB
			}
		}
		k := float64(n)
		for _, part := range [][2]float64{{cpus, j.spec.CPUs}, {gpus, j.spec.GPUs}, {mem, j.spec.MemoryGB}} {
			if part[1] > 0 {
				k = min(k, math.Floor(part[0]/part[1]+epsilon))
			}
		}
		if k < 1 {
			continue
		}
		room[m.zone] = min(n, room[m.zone]+int(k))
		if could() >= n {
			return n // mostly after a few machines: hundreds of jobs may ask in each round
		}
	}
	if j.spec.Gang() {
		return 0 // it runs as a whole or not at all
	}
	return could()
}

// hasStoppingAttempt reports whether any attempt of the job is being stopped.
func (j *job) hasStoppingAttempt() bool {
	for _, list := range j.active {
		for _, a := range list {
			if a.stop.requested {
				return true
			}
		}
	}
	return false
}
