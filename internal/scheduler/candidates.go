package scheduler

import (
	"container/heap"
	"slices"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// machinePicker chooses machines for the tasks of one job in the order of placement cost, lowest
// first.
type machinePicker struct {
	now        time.Duration
	costs      costModel
	job        *job
	spread     taskSpread
	candidates candidateHeap
	// fetchSlotBusy reports whether a machine with capacity was skipped because it is fetching
	// another image.
	fetchSlotBusy bool
}

// candidate is a machine that may run a task, with its last computed placement cost.
type candidate struct {
	machine *machine
	cost    float64
}

// candidateHeap implements heap.Interface. The candidate with the lowest cost is at the top.
type candidateHeap []candidate

func (h candidateHeap) Len() int { return len(h) }

func (h candidateHeap) Less(a, b int) bool {
	return h[a].cost < h[b].cost || h[a].cost == h[b].cost && h[a].machine.name < h[b].machine.name
}

func (h candidateHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push appends a candidate. It is called by container/heap.
func (h *candidateHeap) Push(x any) { *h = append(*h, x.(candidate)) }

// Pop removes and returns the last candidate. It is called by container/heap.
func (h *candidateHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// newMachinePicker returns a picker for the job among the machines. If no machine is a candidate,
// it records since when the job has waited for machines that are fetching other images.
func (c *clusterState) newMachinePicker(j *job, machines []*machine) *machinePicker {
	p := &machinePicker{now: c.now.Mono, costs: c.newCostModel(), job: j, spread: j.taskSpread()}
	for _, m := range machines {
		if p.isCandidate(m) {
			p.candidates = append(p.candidates, candidate{m, p.cost(m)})
		}
	}
	switch {
	case len(p.candidates) > 0:
	case !p.fetchSlotBusy:
		j.waiting.fetchSlotWaitSince = 0
	case j.waiting.fetchSlotWaitSince == 0:
		j.waiting.fetchSlotWaitSince = c.now.Mono
	}
	heap.Init(&p.candidates)
	return p
}

// restrictToZone drops the candidates outside the zone.
func (p *machinePicker) restrictToZone(zone string) {
	p.candidates = slices.DeleteFunc(p.candidates, func(c candidate) bool { return c.machine.zone != zone })
	heap.Init(&p.candidates)
}

func (p *machinePicker) cost(m *machine) float64 { return p.costs.cost(p.job, m, p.spread) }

// isCandidate reports whether one more task of the job may be placed on the machine.
func (p *machinePicker) isCandidate(m *machine) bool {
	if m.reservedForOther(p.job, p.now) {
		return false
	}
	if !m.hasCapacityFor(p.job) || !p.job.matchesOffer(m.offer()) || !p.spread.allowsZone(p.job, m.zone) {
		return false
	}
	if !p.job.service && !m.hasImage(p.job.spec.Image) && m.fetchesOtherImage(p.job.spec.Image) && p.waitsForFetchSlot() {
		p.fetchSlotBusy = true
		return false
	}
	return len(m.tasks)+len(m.exited) < tuning.MaxTasksPerMachine
}

// waitsForFetchSlot reports whether the job avoids machines that are fetching another image.
// Concurrent fetches share the machine's bandwidth. If they run one after the other, the first
// ends sooner and the last no later. The wait of a job without a task on any machine is bounded
// by tuning.MaxFetchSlotWait.
func (p *machinePicker) waitsForFetchSlot() bool {
	since := p.job.waiting.fetchSlotWaitSince
	//mutation:fetch-wait-bound
	return p.job.activeCount > 0 || since == 0 || p.now-since < tuning.MaxFetchSlotWait
}

// best returns the machine with the lowest cost, or nil if there is no candidate. After a task was
// placed, recordAssignment updates the cost of its machine, and the costs of the other machines
// can only grow. So the top of the heap has the lowest cost if this cost has not grown since it
// was computed.
func (p *machinePicker) best() *machine {
	for len(p.candidates) > 0 {
		top := &p.candidates[0]
		if !p.isCandidate(top.machine) {
			heap.Pop(&p.candidates)
			continue
		}
		cost := p.cost(top.machine)
		if cost <= top.cost+epsilon {
			return top.machine
		}
		top.cost = cost
		heap.Fix(&p.candidates, 0)
	}
	return nil
}

// recordAssignment updates the picker after a task was assigned to the machine that best has just
// returned.
func (p *machinePicker) recordAssignment(m *machine) {
	p.job.waiting.fetchSlotWaitSince = 0
	p.spread.add(m)
	p.candidates[0].cost = p.cost(m)
	heap.Fix(&p.candidates, 0)
}

// fitsOnAnyMachine reports whether one more task of the job could be placed on at least one
// machine.
func (c *clusterState) fitsOnAnyMachine(j *job) bool {
	return c.newMachinePicker(j, c.machinesWithCapacity([]*job{j})).best() != nil
}

// reserve reserves the machine's free capacity for job j for tuning.PreemptionReservationTTL.
// During this time, only tasks of j and of production jobs are placed on the machine.
func (m *machine) reserve(j *job, now time.Duration) {
	m.reservation.jobID, m.reservation.until = j.id, now+tuning.PreemptionReservationTTL
}

// reservedForOther reports whether a reservation for another job keeps this job off the machine.
func (m *machine) reservedForOther(j *job, now time.Duration) bool {
	return m.reservation.jobID != "" && m.reservation.jobID != j.id && now < m.reservation.until && !j.isProduction()
}

// fetchesOtherImage reports whether the machine is fetching an image other than the named one.
func (m *machine) fetchesOtherImage(name string) bool {
	fetching := m.summarize().fetching
	if _, same := fetching[name]; same {
		return len(fetching) > 1
	}
	return len(fetching) > 0
}

// offer returns the cloud offer that the machine belongs to.
func (m *machine) offer() offer { return offer{m.machineType, m.zone, m.spot} }

// matchesOffer reports whether the job may use machines of the offer, by zone, machine type and
// spot pricing.
func (j *job) matchesOffer(o offer) bool {
	if o.spot && !j.spec.Spot || j.spec.Zone != "" && j.spec.Zone != o.zone {
		return false
	}
	return j.spec.MachineTypes == nil || slices.Contains(j.spec.MachineTypes, o.machineType)
}

// taskSpread counts a job's attempts by zone and by machine, where their placement depends on
// these counts.
type taskSpread struct {
	byZone    map[string]int   // nil unless the job has SameZone or SpreadZones set
	byMachine map[*machine]int // nil unless the job is a service
}

// taskSpread counts the job's current attempts.
func (j *job) taskSpread() taskSpread {
	spread := taskSpread{byZone: j.attemptsByZone()}
	if j.service {
		spread.byMachine = map[*machine]int{}
		for _, attempts := range j.active {
			for _, a := range attempts {
				spread.byMachine[a.machine]++
			}
		}
	}
	return spread
}

// add counts one more attempt on the machine.
func (t taskSpread) add(m *machine) {
	if t.byZone != nil {
		t.byZone[m.zone]++
	}
	if t.byMachine != nil {
		t.byMachine[m]++
	}
}

// allowsZone reports whether one more task of the job may be placed in the zone.
func (t taskSpread) allowsZone(j *job, zone string) bool { return j.allowsZone(t.byZone, zone) }

// attemptsByZone counts the job's attempts by zone, including those that no worker has listed
// yet. The result is nil unless the job has SameZone or SpreadZones set.
func (j *job) attemptsByZone() map[string]int {
	if !j.spec.SameZone && !j.spec.SpreadZones {
		return nil
	}
	byZone := map[string]int{}
	for _, attempts := range j.active {
		for _, a := range attempts {
			//mutation:zone-counts-unconfirmed-attempts
			byZone[a.machine.zone]++
		}
	}
	return byZone
}

// allowsZone reports whether one more task of the job may be placed in the zone, given the
// job's attempts by zone.
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
