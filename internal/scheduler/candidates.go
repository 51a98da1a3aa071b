package scheduler

import (
	"container/heap"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// machinePicker hands out machines for the tasks of one job, the best first.
type machinePicker struct {
	scheduler         *Scheduler
	job               *job
	attemptsByZone    map[string]int
	replicasByMachine map[*machine]int
	candidates        candidateHeap
	waitsForFetchSlot bool // some machine with room fetches another image
}

type candidate struct {
	machine *machine
	cost    float64
}

type candidateHeap []candidate

func (p candidateHeap) Len() int { return len(p) }

func (p candidateHeap) Less(a, b int) bool {
	return p[a].cost < p[b].cost || p[a].cost == p[b].cost && p[a].machine.name < p[b].machine.name
}

func (p candidateHeap) Swap(a, b int) { p[a], p[b] = p[b], p[a] }

func (p *candidateHeap) Push(x any) { *p = append(*p, x.(candidate)) }

func (p *candidateHeap) Pop() any {
	x := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	return x
}

func (s *Scheduler) newMachinePicker(r *placementRound, j *job) *machinePicker {
	p := &machinePicker{scheduler: s, job: j, attemptsByZone: j.attemptsByZone(), replicasByMachine: j.replicasByMachine()}
	for _, m := range r.withCapacity {
		if p.admits(m) {
			p.candidates = append(p.candidates, candidate{m, s.placementCost(j, m, p.attemptsByZone, p.replicasByMachine[m])})
		}
	}
	switch {
	case len(p.candidates) > 0:
	case !p.waitsForFetchSlot:
		j.waiting.fetchSlotSince = 0
	case j.waiting.fetchSlotSince == 0:
		j.waiting.fetchSlotSince = s.now.Mono
	}
	heap.Init(&p.candidates)
	return p
}

// admits reports whether one more task of the job may go to the machine.
func (p *machinePicker) admits(m *machine) bool {
	j, l := p.job, p.scheduler
	if m.reservation.jobID != "" && m.reservation.jobID != j.id && l.now.Mono < m.reservation.until && j.rank > 0 {
		return false // room was made here for another job
	}
	if !m.hasCapacityFor(j) || !j.allowsMachine(m.machineType, m.zone, m.spot) || !j.allowsZone(p.attemptsByZone, m.zone) {
		return false
	}
	// Fetches side by side share the machine's rate: one after the other, the
	// first is there sooner and the last no later. But a job of which nothing is on any
	// machine does not wait for other jobs' turns for ever.
	//mutation:fetch-wait-bound
	if patient := j.activeCount > 0 || j.waiting.fetchSlotSince == 0 || l.now.Mono-j.waiting.fetchSlotSince < tuning.MaxFetchSlotWait; patient &&
		!j.service && !m.hasImage(j.spec.Image) && m.fetchesOtherImage(j.spec.Image) {
		p.waitsForFetchSlot = true
		return false
	}
	return len(m.tasks)+len(m.exited) < tuning.MaxTasksPerMachine
}

// best gives the best machine, or nil. Scores only grow as tasks are placed, so
// one that is found again as low as it was noted is the lowest.
func (p *machinePicker) best() *machine {
	for len(p.candidates) > 0 {
		top := &p.candidates[0]
		if !p.admits(top.machine) {
			heap.Pop(&p.candidates)
			continue
		}
		s := p.scheduler.placementCost(p.job, top.machine, p.attemptsByZone, p.replicasByMachine[top.machine])
		if s <= top.cost+epsilon {
			return top.machine
		}
		top.cost = s
		heap.Fix(&p.candidates, 0)
	}
	return nil
}

// recordAssignment notes that a task went to the machine, which is at the top.
func (p *machinePicker) recordAssignment(m *machine) {
	p.job.waiting.fetchSlotSince = 0
	if p.attemptsByZone != nil {
		p.attemptsByZone[m.zone]++
	}
	p.replicasByMachine[m]++
	p.candidates[0].cost = p.scheduler.placementCost(p.job, m, p.attemptsByZone, p.replicasByMachine[m])
	heap.Fix(&p.candidates, 0)
}

// replicasByMachine counts the attempts of a service by machine.
func (j *job) replicasByMachine() map[*machine]int {
	same := map[*machine]int{}
	if j.service {
		for _, list := range j.active {
			for _, a := range list {
				same[a.machine]++
			}
		}
	}
	return same
}

// waitsForWarmMachine reports whether a production service had better wait a moment for
// room on a machine that has its image than fetch it on m: lower work is stopped
// there, which takes a few tens of milliseconds where a fetch takes seconds.
func (s *Scheduler) waitsForWarmMachine(r *placementRound, j *job, m *machine, p *machinePicker) bool {
	if !j.service || j.rank > 0 || m.hasImage(j.spec.Image) || j.spec.ImageGB/max(m.machineSpec.FetchGBPerS, 0.01) < tuning.MinFetchForPreemptionS {
		return false
	}
	if s.now.Mono-j.waiting.since > tuning.MaxWarmCapacityWait {
		return false
	}
	// Only where the task would then really go, or the room is made in vain,
	// again and again.
	return s.preemptFor(r, j, 1, s.placementCost(j, m, p.attemptsByZone, p.replicasByMachine[m])) > 0
}

// allowsMachine reports whether the job may use a machine of this description.
func (j *job) allowsMachine(typ, zone string, spot bool) bool {
	if spot && !j.spec.Spot || j.spec.Zone != "" && j.spec.Zone != zone {
		return false
	}
	if j.spec.MachineTypes == nil {
		return true
	}
	for _, t := range j.spec.MachineTypes {
		if t == typ {
			return true
		}
	}
	return false
}

// attemptsByZone counts the job's attempts by zone: all that may be there.
func (j *job) attemptsByZone() map[string]int {
	if !j.spec.SameZone && !j.spec.SpreadZones {
		return nil
	}
	z := map[string]int{}
	for _, list := range j.active {
		for _, a := range list {
			//mutation:zone-counts-unconfirmed-attempts
			z[a.machine.zone]++
		}
	}
	return z
}

// allowsZone reports whether one more task of the job may go to the zone.
func (j *job) allowsZone(attemptsByZone map[string]int, zone string) bool {
	if j.spec.SameZone {
		for other, n := range attemptsByZone {
			if n > 0 && other != zone {
				return false
			}
		}
	}
	return attemptsByZone[zone] < j.spec.MaxTasksPerZone()
}

// schedulable reports whether tasks may be placed on the machine at all. One that did not
// answer a start has to show that it hears us first, by its token or an answer: else
// what is placed there meanwhile waits with that start.
func (s *Scheduler) schedulable(m *machine) bool {
	return (m.calls.unanswered == 0 || m.fencing.seenToken >= s.fencingToken(m)) &&
		m.phase == machineUp && m.confirmed && !m.cloud.failed && m.cloud.interruptionAt == 0 && m.machineSpec != nil && m.connectivity.unreachableSince == 0 &&
		m.quarantine.startsPausedUntil <= s.now.Mono && s.now.Mono-m.connectivity.lastHeartbeatAt < s.settings.HeartbeatInterval*3
}

func (m *machine) hasCapacityFor(j *job) bool {
	return m.used.cpus+j.spec.CPUs <= m.machineSpec.CPUs+epsilon &&
		m.used.gpus+j.spec.GPUs <= m.machineSpec.GPUs+epsilon &&
		m.used.memoryGB+j.spec.MemoryGB <= m.machineSpec.MemoryGB+epsilon
}

// fitsSomewhere reports whether one more task of the job could go to some machine.
func (s *Scheduler) fitsSomewhere(j *job) bool {
	r := &placementRound{}
	s.findCapacity(r, []*job{j})
	return s.newMachinePicker(r, j).best() != nil
}

// fetchesOtherImage reports whether the machine fetches an image other than this.
func (m *machine) fetchesOtherImage(name string) bool {
	d := m.summarize()
	if _, same := d.fetching[name]; same {
		return len(d.fetching) > 1
	}
	return len(d.fetching) > 0
}

// placementCost is how many seconds, or their worth, a task loses on the machine. z
// counts the job's tasks by zone, same those on the machine.
func (s *Scheduler) placementCost(j *job, m *machine, attemptsByZone map[string]int, replicas int) float64 {
	cost := 0.0
	summary := m.summarize()
	if j.spec.ImageGB > 0 && !m.hasImage(j.spec.Image) {
		fetch := j.spec.ImageGB / max(m.machineSpec.FetchGBPerS, 0.01)
		others := len(summary.fetching)
		if _, shared := summary.fetching[j.spec.Image]; shared {
			others--
			if !j.service {
				// Shared with a fetch under way. Not for services: where all
				// that fetch gather on one machine, nothing else is warm when
				// that one is lost.
				fetch /= 2
				others = 0
			}
		}
		cost += fetch * float64(1+others)
	}
	if m.quarantine.until > s.now.Mono {
		cost += 300
	}
	if j.retry.failedMachines[m.name] {
		cost += 60
	}
	if j.service {
		// Replicas apart from each other, and services apart from services,
		// so that one machine's end costs little.
		cost += 2*float64(replicas) + 0.3*float64(attemptsByZone[m.zone])
		if s.settings.MinimizeCost {
			// Here services share machines, or each blocks one for large tasks.
			if summary.services == 0 {
				cost++
			}
		} else {
			cost += 0.3 * float64(summary.services)
		}
		if m.spot {
			cost += 5
		}
	} else if m.spot && s.settings.MinimizeCost {
		cost -= 0.5
	} else if m.spot {
		// It may be taken, and what runs there is lost: the longer the more.
		cost += tuning.ExpectedSpotLoss * j.taskDuration()
	}
	// A full machine is better than two half full ones; without a thrifty aim
	// the difference only breaks ties.
	free := 1 - (m.used.cpus+j.spec.CPUs)/m.machineSpec.CPUs
	if s.settings.MinimizeCost {
		cost += 0.5 * free
	} else {
		cost += 0.05 * free
	}
	return cost
}
