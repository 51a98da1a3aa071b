package scheduler

import (
	"container/heap"
	"slices"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// machinePicker hands out machines for the tasks of one job, the one with the least
// placement cost first.
type machinePicker struct {
	now        time.Duration
	costs      costModel
	job        *job
	spread     taskSpread
	candidates candidateHeap
	// fetchSlotBusy is whether a machine with capacity was left out because it fetches
	// another image.
	fetchSlotBusy bool
}

// candidate is a machine that may take a task, with the cost that was last computed.
type candidate struct {
	machine *machine
	cost    float64
}

// candidateHeap is a heap of candidates for container/heap, the one with the least cost at
// the top.
type candidateHeap []candidate

func (h candidateHeap) Len() int { return len(h) }

func (h candidateHeap) Less(a, b int) bool {
	return h[a].cost < h[b].cost || h[a].cost == h[b].cost && h[a].machine.name < h[b].machine.name
}

func (h candidateHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push adds a candidate at the end.
func (h *candidateHeap) Push(x any) { *h = append(*h, x.(candidate)) }

// Pop removes the last candidate.
func (h *candidateHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// newMachinePicker chooses among the machines. It notes since when the job waits only
// because all of them fetch other images.
func (c *clusterState) newMachinePicker(j *job, machines []*machine) *machinePicker {
	p := &machinePicker{now: c.now.Mono, costs: c.newCostModel(), job: j, spread: j.taskSpread()}
	for _, m := range machines {
		if p.admits(m) {
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

// keepZone leaves the machines of one zone.
func (p *machinePicker) keepZone(zone string) {
	p.candidates = slices.DeleteFunc(p.candidates, func(c candidate) bool { return c.machine.zone != zone })
	heap.Init(&p.candidates)
}

func (p *machinePicker) cost(m *machine) float64 { return p.costs.cost(p.job, m, p.spread) }

// admits reports whether one more task of the job may go to the machine.
func (p *machinePicker) admits(m *machine) bool {
	if m.reservedForOther(p.job, p.now) {
		return false
	}
	if !m.hasCapacityFor(p.job) || !p.job.allows(m.offer()) || !p.spread.allowsZone(p.job, m.zone) {
		return false
	}
	if !p.job.service && !m.hasImage(p.job.spec.Image) && m.fetchesOtherImage(p.job.spec.Image) && p.waitsForFetchSlot() {
		p.fetchSlotBusy = true
		return false
	}
	return len(m.tasks)+len(m.exited) < tuning.MaxTasksPerMachine
}

// waitsForFetchSlot reports whether the job leaves machines alone that fetch another image.
// Concurrent fetches share the machine's bandwidth: one after the other, the first ends
// sooner and the last no later. But a job without a task on any machine does not wait for
// other jobs' fetches for ever.
func (p *machinePicker) waitsForFetchSlot() bool {
	since := p.job.waiting.fetchSlotWaitSince
	//mutation:fetch-wait-bound
	return p.job.activeCount > 0 || since == 0 || p.now-since < tuning.MaxFetchSlotWait
}

// best gives the machine with the least cost, or nil. Costs only grow as tasks are placed,
// so the top of the heap is the least as soon as its cost turns out to be what was noted.
func (p *machinePicker) best() *machine {
	for len(p.candidates) > 0 {
		top := &p.candidates[0]
		if !p.admits(top.machine) {
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

// recordAssignment notes that a task went to the machine that best gave.
func (p *machinePicker) recordAssignment(m *machine) {
	p.job.waiting.fetchSlotWaitSince = 0
	p.spread.add(m)
	p.candidates[0].cost = p.cost(m)
	heap.Fix(&p.candidates, 0)
}

// fitsSomewhere reports whether some machine could take one more task of the job.
func (c *clusterState) fitsSomewhere(j *job) bool {
	return c.newMachinePicker(j, c.machinesWithCapacity([]*job{j})).best() != nil
}

// reserve keeps the machine's free capacity for a job for a while: other jobs below
// production are not placed there.
func (m *machine) reserve(j *job, now time.Duration) {
	m.reservation.jobID, m.reservation.until = j.id, now+tuning.PreemptionReservationTTL
}

// reservedForOther reports whether the machine is reserved for another job than this.
func (m *machine) reservedForOther(j *job, now time.Duration) bool {
	return m.reservation.jobID != "" && m.reservation.jobID != j.id && now < m.reservation.until && !j.isProduction()
}

// fetchesOtherImage reports whether the machine fetches an image other than this.
func (m *machine) fetchesOtherImage(name string) bool {
	fetching := m.summarize().fetching
	if _, same := fetching[name]; same {
		return len(fetching) > 1
	}
	return len(fetching) > 0
}

// offer gives the offer of the cloud that the machine is of.
func (m *machine) offer() offer { return offer{m.machineType, m.zone, m.spot} }

// allows reports whether the job may use machines of the offer.
func (j *job) allows(o offer) bool {
	if o.spot && !j.spec.Spot || j.spec.Zone != "" && j.spec.Zone != o.zone {
		return false
	}
	return j.spec.MachineTypes == nil || slices.Contains(j.spec.MachineTypes, o.machineType)
}

// taskSpread counts where a job's attempts are, as far as their placement depends on it.
type taskSpread struct {
	byZone    map[string]int   // nil unless the job has a rule for zones
	byMachine map[*machine]int // nil unless the job is a service
}

// taskSpread counts the attempts that the job has.
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

// add counts one more attempt, on the machine.
func (t taskSpread) add(m *machine) {
	if t.byZone != nil {
		t.byZone[m.zone]++
	}
	if t.byMachine != nil {
		t.byMachine[m]++
	}
}

// allowsZone reports whether one more task of the job may go to the zone.
func (t taskSpread) allowsZone(j *job, zone string) bool { return j.allowsZone(t.byZone, zone) }

// attemptsByZone counts the job's attempts by zone: all that may be there, also those that
// no worker has listed yet. It is nil for a job without a rule for zones.
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
