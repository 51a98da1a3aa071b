package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// autoscalerState has the provisioning requests that are pending, what the cloud
// refused lately, and what it has listed.
type autoscalerState struct {
	pending           map[string]*pendingRequest // by name
	unavailableUntil  map[offer]time.Duration
	nextRequestNumber uint64
	scaledOutAt       time.Duration // when machines were last asked for
	listed            bool          // the cloud's list was read in this term
	listedAt          time.Duration
	releaseRetryAt    time.Duration // no release before then
}

// capacitySlot is room on a machine that is on its way, or could be rented.
type capacitySlot struct {
	machineType, zone    string
	spot                 bool
	machineSpec          *wire.MachineType
	cpus, gpus, memoryGB float64
}

func (s *capacitySlot) reserveTask(job *job) bool {
	if !job.allowsMachine(s.machineType, s.zone, s.spot) || s.cpus+epsilon < job.spec.CPUs || s.gpus+epsilon < job.spec.GPUs || s.memoryGB+epsilon < job.spec.MemoryGB {
		return false
	}
	s.cpus -= job.spec.CPUs
	s.gpus -= job.spec.GPUs
	s.memoryGB -= job.spec.MemoryGB
	return true
}

// resourceMinimum is an amount of each resource that is scarce on every machine.
type resourceMinimum struct{ cpus, memoryGB float64 }

// minimumOf is the least of each amount that any task of the jobs takes.
func minimumOf(unplaced []unplacedTasks) resourceMinimum {
	minimum := resourceMinimum{math.Inf(1), math.Inf(1)}
	for _, waiting := range unplaced {
		minimum.cpus, minimum.memoryGB = min(minimum.cpus, waiting.job.spec.CPUs), min(minimum.memoryGB, waiting.job.spec.MemoryGB)
	}
	return minimum
}

func (s *capacitySlot) hasAtLeast(minimum resourceMinimum) bool {
	return s.cpus+epsilon >= minimum.cpus && s.memoryGB+epsilon >= minimum.memoryGB
}

func newCapacitySlot(machineSpec *wire.MachineType, zone string, spot bool) *capacitySlot {
	return &capacitySlot{machineSpec.Name, zone, spot, machineSpec, machineSpec.CPUs, machineSpec.GPUs, machineSpec.MemoryGB}
}

// scaleOutPlan is what one look at the fleet orders.
type scaleOutPlan struct {
	scheduler      *Scheduler
	incoming       []*capacitySlot // room on machines that are on their way, then on ordered ones
	machinesByZone map[string]int
	machineCount   int // machines that there are, come or are ordered
	requests       map[offer]int
}

// scaleOut asks for machines for what could not be placed, counting those that are
// on their way, and for spare ones where price is no aim.
func (s *Scheduler) scaleOut(unplaced []unplacedTasks) {
	if len(s.cluster.machineTypes) == 0 || !s.autoscaler.listed || !s.holdsLease() || s.autoscaler.scaledOutAt > 0 && s.now.Mono-s.autoscaler.scaledOutAt < s.scaleByCPUShare(tuning.MinScaleOutInterval) {
		return
	}
	s.autoscaler.scaledOutAt = s.now.Mono
	plan := s.newScaleOutPlan(unplaced)
	plan.coverUnplaced(unplaced)
	plan.coverNextService()
	plan.coverHeadroom()
	plan.sendRequests()
}

// newScaleOutPlan counts what there is and what is on its way.
func (s *Scheduler) newScaleOutPlan(unplaced []unplacedTasks) *scaleOutPlan {
	plan := &scaleOutPlan{scheduler: s, machinesByZone: map[string]int{}, requests: map[offer]int{}}
	late := s.delayedBoots()
	for _, m := range s.sortedMachines() {
		if m.phase != machineReleasing {
			plan.machinesByZone[m.zone]++
			plan.machineCount++
		}
		if m.phase == machineBooting && !m.cloud.failed && m.machineSpec != nil && !late[m] {
			plan.incoming = append(plan.incoming, newCapacitySlot(m.machineSpec, m.zone, m.spot))
		}
	}
	//mutation:provisioning-counts-unconfirmed-capacity
	plan.incoming = append(plan.incoming, s.unconfirmedCapacity(minimumOf(unplaced))...)
	for _, name := range slices.Sorted(maps.Keys(s.autoscaler.pending)) {
		plan.addPending(s.autoscaler.pending[name])
	}
	return plan
}

// addPending counts the machines of a rental without an answer.
func (p *scaleOutPlan) addPending(request *pendingRequest) {
	machineSpec := p.scheduler.cluster.machineTypes[request.offer.machineType]
	if machineSpec == nil {
		return
	}
	for range request.count {
		p.incoming = append(p.incoming, newCapacitySlot(machineSpec, request.offer.zone, request.offer.spot))
	}
	p.machinesByZone[request.offer.zone] += request.count
	p.machineCount += request.count
}

// requestMachine orders the machine that is best for a job, or, without one, as spare. It returns
// nil if there is none to have.
func (p *scaleOutPlan) requestMachine(job *job) *capacitySlot {
	if limit := p.scheduler.settings.Policy.MaxMachines; limit > 0 && p.machineCount >= limit {
		return nil
	}
	o, ok := p.scheduler.bestOffer(job, p.machinesByZone)
	if !ok {
		return nil
	}
	p.requests[o]++
	p.machinesByZone[o.zone]++
	p.machineCount++
	slot := newCapacitySlot(p.scheduler.cluster.machineTypes[o.machineType], o.zone, o.spot)
	p.incoming = append(p.incoming, slot)
	return slot
}

// coverUnplaced finds room for tasks on what comes, and orders machines for the rest.
func (p *scaleOutPlan) coverUnplaced(unplaced []unplacedTasks) {
	minimum := minimumOf(unplaced)
	full := 0 // slots at the front in which nothing of what is left fits any more
	for _, waiting := range unplaced {
		for full < len(p.incoming) && !p.incoming[full].hasAtLeast(minimum) {
			full++
		}
		remaining := waiting.count
		for _, slot := range p.incoming[full:] {
			if remaining = slot.reserveUpTo(waiting.job, remaining); remaining == 0 {
				break
			}
		}
		for remaining > 0 {
			slot := p.requestMachine(waiting.job)
			if slot == nil {
				break
			}
			stillRemaining := slot.reserveUpTo(waiting.job, remaining)
			if stillRemaining == remaining {
				break
			}
			remaining = stillRemaining
		}
	}
}

// reserveUpTo takes room for up to n tasks of the job, and says how many are left.
func (s *capacitySlot) reserveUpTo(job *job, count int) int {
	for count > 0 && s.reserveTask(job) {
		count--
	}
	return count
}

// coverNextService orders a machine if the next service would find no room.
func (p *scaleOutPlan) coverNextService() {
	headroom := p.scheduler.newFleetHeadroom()
	if headroom.fitsNextService() {
		return
	}
	fits := false
	for _, slot := range p.incoming {
		fits = fits || !slot.spot && slot.reserveTask(headroom.largestService)
	}
	if !fits {
		p.requestMachine(headroom.largestService)
	}
}

// coverHeadroom orders machines up to the spare capacity that operators want.
func (p *scaleOutPlan) coverHeadroom() {
	l := p.scheduler
	if l.settings.Policy.HeadroomShare <= 0 {
		return
	}
	used, total := l.cpuUsage()
	for _, request := range l.autoscaler.pending {
		if machineSpec := l.cluster.machineTypes[request.offer.machineType]; machineSpec != nil {
			total += machineSpec.CPUs * float64(request.count)
		}
	}
	for o, count := range p.requests {
		total += l.cluster.machineTypes[o.machineType].CPUs * float64(count)
	}
	for total < used*(1+l.settings.Policy.HeadroomShare) {
		slot := p.requestMachine(nil)
		if slot == nil {
			return
		}
		total += slot.machineSpec.CPUs
	}
}

// sendRequests sends the orders, a request for each kind of machine.
func (p *scaleOutPlan) sendRequests() {
	for _, o := range slices.SortedFunc(maps.Keys(p.requests), offer.compare) {
		if !p.scheduler.reconciler.TakeCloudCall(p.scheduler.now.Mono) {
			return // the rest with a later look
		}
		p.scheduler.sendProvisionRequest(o, min(p.requests[o], tuning.MaxProvisionBatch))
	}
}

// compare orders offers by type and zone, ordinary machines before spot ones.
func (o offer) compare(other offer) int {
	spot := 0
	switch {
	case o.spot && !other.spot:
		spot = 1
	case !o.spot && other.spot:
		spot = -1
	}
	return cmp.Or(strings.Compare(o.machineType, other.machineType), strings.Compare(o.zone, other.zone), spot)
}

// delayedBoots are the machines that may never come up: they are replaced at once, and
// given back when their patience is over. Not where more are late than came up of
// those rented in the same time: then boots are slow everywhere, more of them would
// be as late, and renting would not end.
func (s *Scheduler) delayedBoots() map[*machine]bool {
	delayed, finished := map[*machine]bool{}, 0
	for _, m := range s.cluster.machines {
		usual := s.bootTime(m.machineType)
		age := s.now.Mono - m.cloud.provisionedAt
		switch {
		case age < usual*tuning.LateBootPercent/100 || age > 4*usual:
		case m.phase == machineBooting && !m.cloud.failed:
			delayed[m] = true
		case m.phase == machineUp && m.cloud.provisionedInTerm:
			finished++
		}
	}
	if len(delayed) > finished {
		return nil
	}
	return delayed
}

func (s *Scheduler) sendProvisionRequest(o offer, count int) {
	s.autoscaler.nextRequestNumber++
	// The term makes the name unlike any other leader's, the counter unlike
	// any other of ours: a used name would rent nothing.
	name := fmt.Sprintf("yg-%d-%d", s.term, s.autoscaler.nextRequestNumber)
	s.autoscaler.pending[name] = &pendingRequest{offer: o, count: count, sentAt: s.now.Mono}
	s.reconciler.CountOperation(s.now.Mono, reconcile.Operation{Kind: reconcile.ProvisionOperation})
	s.log(false, "renting", "hire", name, "type", o.machineType, "zone", o.zone, "spot", o.spot, "count", count)
	s.effects.Provision = append(s.effects.Provision, ProvisionRequest{wire.ProvisionRequest{RequestID: name, Type: o.machineType, Zone: o.zone, Spot: o.spot, Count: count}})
}

// bestOffer chooses what to rent for a job, or, without one, as spare.
func (s *Scheduler) bestOffer(job *job, machinesByZone map[string]int) (offer, bool) {
	var attemptsByZone map[string]int
	if job != nil {
		attemptsByZone = job.attemptsByZone()
	}
	best, bestScore := offer{}, math.Inf(1)
	for _, machineSpec := range s.sortedMachineTypes() {
		for _, zone := range machineSpec.Zones {
			for _, spot := range []bool{false, true} {
				o := offer{machineSpec.Name, zone, spot}
				if s.now.Mono < s.autoscaler.unavailableUntil[o] || s.hasPendingRequest(o) || spot && !s.settings.Policy.UseSpot {
					continue
				}
				tasksPerMachine := 1.0
				if job != nil {
					if !machineSpec.Fits(&job.spec) || !job.allowsMachine(machineSpec.Name, zone, spot) || !job.allowsZone(attemptsByZone, zone) {
						continue
					}
					tasksPerMachine = math.Inf(1) // tasks that fit on one
					if job.spec.CPUs > 0 {
						tasksPerMachine = min(tasksPerMachine, math.Floor(machineSpec.CPUs/job.spec.CPUs+epsilon))
					}
					if job.spec.MemoryGB > 0 {
						tasksPerMachine = min(tasksPerMachine, math.Floor(machineSpec.MemoryGB/job.spec.MemoryGB+epsilon))
					}
					tasksPerMachine = max(1, min(tasksPerMachine, 1000))
				} else {
					tasksPerMachine = machineSpec.CPUs
				}
				price := machineSpec.Price
				if spot {
					price = machineSpec.SpotPrice
				}
				var score float64
				if s.settings.MinimizeCost {
					score = price/tasksPerMachine + 1e-4*float64(machinesByZone[zone])
				} else {
					// Service first: ordinary machines stay, big ones serve
					// more, zones are kept even.
					score = float64(machinesByZone[zone]) * 0.01
					if spot {
						score++
					}
					score -= 0.001 * min(tasksPerMachine, 50)
				}
				if score < bestScore {
					best, bestScore = o, score
				}
			}
		}
	}
	return best, !math.IsInf(bestScore, 1)
}

// hasPendingRequest reports whether a rental of the kind is unanswered. Its answer tells
// whether there are more to have, so a second request would be a guess, and a
// burst of them runs into the cloud's limit.
func (s *Scheduler) hasPendingRequest(o offer) bool {
	for _, r := range s.autoscaler.pending {
		if r.offer == o {
			return true
		}
	}
	return false
}

func (s *Scheduler) sortedMachineTypes() []*wire.MachineType {
	out := make([]*wire.MachineType, 0, len(s.cluster.machineTypes))
	for _, t := range s.cluster.machineTypes {
		out = append(out, t)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Name < out[b].Name })
	return out
}

// capacityBackoff is how long an offer that had too few machines is not asked for
// again: as short as the cloud's rate allows for all offers together, since after a
// wave that takes machines there are some again within seconds.
func (s *Scheduler) capacityBackoff() time.Duration {
	if s.settings.CloudRate <= 0 {
		return tuning.MaxCapacityBackoff
	}
	offers := 0
	for _, t := range s.cluster.machineTypes {
		offers += 2 * len(t.Zones)
	}
	pause := time.Duration(float64(offers) / (s.settings.CloudRate * tuning.CapacityRetryRateShare) * float64(time.Second))
	return min(max(pause, tuning.MinCapacityBackoff), tuning.MaxCapacityBackoff)
}

// ProvisionResult says what became of a rental.
type ProvisionResult int

// Outcomes of a rental.
const (
	ProvisionUnknown    ProvisionResult = iota // machines may have been rented; the list will show them
	ProvisionDone                              // the named machines were rented
	ProvisionNoCapacity                        // no capacity
	ProvisionRefused                           // not carried out: trouble or too many requests
)

// Provisioned takes the answer to a rental.
func (s *Scheduler) Provisioned(now Now, name string, result ProvisionResult, machines []string) {
	s.now = now
	request := s.autoscaler.pending[name]
	if request == nil {
		return
	}
	delete(s.autoscaler.pending, name)
	switch result {
	case ProvisionDone:
		s.counters.MachinesProvisioned += uint64(len(machines))
		for _, n := range machines {
			if s.cluster.released[n] {
				continue
			}
			m := s.cluster.machines[n] // it may be up, and have reported, ahead of this answer
			if m == nil {
				m = s.addMachine(n, request.offer.machineType, request.offer.zone, request.offer.spot, "")
			}
			m.cloud.provisionedInTerm = true
		}
		if len(machines) < request.count {
			s.autoscaler.unavailableUntil[request.offer] = now.Mono + s.capacityBackoff()
		}
	case ProvisionNoCapacity:
		s.autoscaler.unavailableUntil[request.offer] = now.Mono + s.capacityBackoff()
	case ProvisionRefused:
		s.autoscaler.unavailableUntil[request.offer] = now.Mono + 2*tuning.CloudRetryDelay
	case ProvisionUnknown:
		// Whatever was rented is listed soon; until then nothing more of it.
		s.autoscaler.unavailableUntil[request.offer] = now.Mono + s.capacityBackoff()
	}
	s.log(false, "rental answered", "hire", name, "result", [...]string{"unknown", "rented", "no capacity", "refused"}[result], "machines", len(machines))
	s.placement.due = true
}
