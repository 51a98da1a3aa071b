package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// scaleOut provisions machines for what could not be placed, beyond those that are on
// their way, and for the headroom that is wanted.
func (a *autoscaler) scaleOut(cluster *clusterState, reconciler *reconcile.Reconciler, unplaced []unplacedTasks) {
	if !a.mayScaleOut(cluster) {
		return
	}
	a.scaledOutAt = a.now.Mono
	plan := a.newScaleOutPlan(cluster, reconciler, unplaced)
	plan.coverUnplaced(unplaced)
	plan.coverNextService()
	plan.coverHeadroom()
	plan.sendRequests()
}

// mayScaleOut reports whether enough is known to provision machines, whether this process
// leads for certain, and whether the last time was long enough ago.
func (a *autoscaler) mayScaleOut(cluster *clusterState) bool {
	if cluster.offerCount() == 0 || !a.listed || !a.holdsLease() {
		return false
	}
	return a.scaledOutAt == 0 || a.now.Mono-a.scaledOutAt >= a.scaleByCPUShare(tuning.MinScaleOutInterval)
}

// scaleOutPlan gathers the requests of one call of scaleOut. What it requests counts as
// incoming capacity at once, so that no task is provided for twice.
type scaleOutPlan struct {
	autoscaler     *autoscaler
	cluster        *clusterState
	reconciler     *reconcile.Reconciler
	incoming       []*capacitySlot // of machines on their way, then of requested ones
	machinesByZone map[string]int
	machineCount   int           // that exist, are on their way or are requested
	requests       map[offer]int // how many machines to ask for
}

// newScaleOutPlan counts the machines and the capacity that is on its way.
func (a *autoscaler) newScaleOutPlan(cluster *clusterState, reconciler *reconcile.Reconciler, unplaced []unplacedTasks) *scaleOutPlan {
	plan := &scaleOutPlan{
		autoscaler: a, cluster: cluster, reconciler: reconciler,
		machinesByZone: map[string]int{}, requests: map[offer]int{},
	}
	delayed := cluster.delayedBoots()
	for _, m := range cluster.sortedMachines() {
		if m.phase != machineReleasing {
			plan.machinesByZone[m.zone]++
			plan.machineCount++
		}
		if m.phase == machineBooting && !m.cloud.failed && m.machineSpec != nil && !delayed[m] {
			plan.incoming = append(plan.incoming, newCapacitySlot(offer{m.machineSpec.Name, m.zone, m.spot}, m.machineSpec))
		}
	}
	//mutation:provisioning-counts-unconfirmed-capacity
	plan.incoming = append(plan.incoming, cluster.unconfirmedCapacity(reconciler, minimumOf(unplaced))...)
	for _, request := range a.pendingRequests() {
		plan.addPending(request)
	}
	return plan
}

// addPending counts the machines of a request without an answer.
func (p *scaleOutPlan) addPending(request *pendingRequest) {
	machineSpec := p.cluster.specOf(request.offer.machineType)
	if machineSpec == nil {
		return
	}
	for range request.count {
		p.incoming = append(p.incoming, newCapacitySlot(request.offer, machineSpec))
	}
	p.machinesByZone[request.offer.zone] += request.count
	p.machineCount += request.count
}

// requestMachine plans one more machine, the best one for a job or, without one, for
// headroom. It returns nil if there is none to be had.
func (p *scaleOutPlan) requestMachine(job *job) *capacitySlot {
	if limit := p.autoscaler.settings.Policy.MaxMachines; limit > 0 && p.machineCount >= limit {
		return nil
	}
	o, ok := p.autoscaler.bestOffer(p.cluster, job, p.machinesByZone)
	if !ok {
		return nil
	}
	p.requests[o]++
	p.machinesByZone[o.zone]++
	p.machineCount++
	slot := newCapacitySlot(o, p.cluster.specOf(o.machineType))
	p.incoming = append(p.incoming, slot)
	return slot
}

// coverUnplaced reserves incoming capacity for unplaced tasks and requests machines for
// the others.
func (p *scaleOutPlan) coverUnplaced(unplaced []unplacedTasks) {
	minimum := minimumOf(unplaced)
	full := 0 // slots at the front in which no unplaced task fits any more
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
		p.requestMachinesFor(waiting.job, remaining)
	}
}

// requestMachinesFor requests machines until all tasks are provided for, or the next
// machine would help none of them.
func (p *scaleOutPlan) requestMachinesFor(job *job, tasks int) {
	for tasks > 0 {
		slot := p.requestMachine(job)
		if slot == nil {
			return
		}
		remaining := slot.reserveUpTo(job, tasks)
		if remaining == tasks {
			return
		}
		tasks = remaining
	}
}

// coverNextService requests a machine if the next service would find no capacity.
func (p *scaleOutPlan) coverNextService() {
	headroom := p.cluster.newFleetHeadroom()
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

// coverHeadroom requests machines up to the headroom of the operators' policy.
func (p *scaleOutPlan) coverHeadroom() {
	headroomShare := p.autoscaler.settings.Policy.HeadroomShare
	if headroomShare <= 0 {
		return
	}
	used, total := p.cluster.cpuUsage()
	total += p.pendingCPUs()
	for total < used*(1+headroomShare) {
		slot := p.requestMachine(nil)
		if slot == nil {
			return
		}
		total += slot.machineSpec.CPUs
	}
}

// pendingCPUs sums the CPUs of machines that are requested, in this plan or before.
func (p *scaleOutPlan) pendingCPUs() float64 {
	cpus := 0.0
	for _, request := range p.autoscaler.pending {
		if machineSpec := p.cluster.specOf(request.offer.machineType); machineSpec != nil {
			cpus += machineSpec.CPUs * float64(request.count)
		}
	}
	for o, count := range p.requests {
		cpus += p.cluster.specOf(o.machineType).CPUs * float64(count)
	}
	return cpus
}

// sendRequests sends one request for each offer, as far as the cloud's rate allows; the
// others are planned anew the next time.
func (p *scaleOutPlan) sendRequests() {
	for _, o := range slices.SortedFunc(maps.Keys(p.requests), offer.compare) {
		if !p.reconciler.TakeCloudCall(p.autoscaler.now.Mono) {
			return
		}
		p.reconciler.CountOperation(p.autoscaler.now.Mono, reconcile.Operation{Kind: reconcile.ProvisionOperation})
		p.autoscaler.sendProvisionRequest(o, min(p.requests[o], tuning.MaxProvisionBatch))
	}
}

// sendProvisionRequest asks the cloud for machines.
func (a *autoscaler) sendProvisionRequest(o offer, count int) {
	name := a.addRequest(o, count)
	a.logInfo("machines requested", "request", name, "type", o.machineType, "zone", o.zone, "spot", o.spot, "count", count)
	a.effects.Provision = append(a.effects.Provision, ProvisionRequest{wire.ProvisionRequest{RequestID: name, Type: o.machineType, Zone: o.zone, Spot: o.spot, Count: count}})
}

// delayedBoots are the machines that take suspiciously long to come up. They are replaced
// at once, and released when their boot has timed out. If more are delayed than came up of
// those provisioned in the same time, boots are slow everywhere: further machines would be
// as late and scaling out would not end, so that none counts as delayed then.
func (c *clusterState) delayedBoots() map[*machine]bool {
	delayed, finished := map[*machine]bool{}, 0
	for _, m := range c.machines {
		usual := c.bootTime(m.machineType)
		age := c.now.Mono - m.cloud.provisionedAt
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

// ProvisionResult is the outcome of a provisioning request.
type ProvisionResult int

// Outcomes of a provisioning request.
const (
	ProvisionUnknown    ProvisionResult = iota // machines may have been provisioned; the list will show them
	ProvisionDone                              // the named machines were provisioned
	ProvisionNoCapacity                        // the cloud has no machine of the offer
	ProvisionRefused                           // not carried out: the cloud failed or limits the rate
)

// String gives the outcome as log lines have it.
func (r ProvisionResult) String() string {
	switch r {
	case ProvisionDone:
		return "provisioned"
	case ProvisionNoCapacity:
		return "no capacity"
	case ProvisionRefused:
		return "refused"
	default:
		return "unknown"
	}
}

// Provisioned takes the outcome of a provisioning request, with the names of the machines
// if it is ProvisionDone.
func (s *Scheduler) Provisioned(now Now, name string, result ProvisionResult, machines []string) {
	s.now = now
	request := s.autoscaler.handleAnswer(name, result, len(machines), s.cluster.offerCount())
	if request == nil {
		return
	}
	if result == ProvisionDone {
		s.adoptProvisioned(request.offer, machines)
	}
	s.placement.due = true
}

// handleAnswer takes the answer to a request, and leaves its offer alone for a while if
// that did not bring all machines. It gives nil for a request that is not pending.
func (a *autoscaler) handleAnswer(name string, result ProvisionResult, machines, offers int) *pendingRequest {
	request := a.takeRequest(name)
	if request == nil {
		return nil
	}
	if result != ProvisionDone || machines < request.count {
		a.unavailableUntil[request.offer] = a.now.Mono + a.provisionBackoff(result, offers)
	}
	a.logInfo("machine request answered", "request", name, "result", result.String(), "machines", machines)
	return request
}

// adoptProvisioned adds the machines that a request brought. Some may be up and have sent
// heartbeats ahead of the answer, and some may have been released already.
func (s *Scheduler) adoptProvisioned(o offer, machines []string) {
	s.counters.MachinesProvisioned += uint64(len(machines))
	for _, name := range machines {
		if s.cluster.released[name] {
			continue
		}
		m := s.cluster.machines[name]
		if m == nil {
			m = s.cluster.addMachine(name, o.machineType, o.zone, o.spot, "")
		}
		m.cloud.provisionedInTerm = true
	}
}

// provisionBackoff is how long an offer is left alone after a request that did not bring
// all machines. If the outcome is unknown, the list will show them by then.
func (a *autoscaler) provisionBackoff(result ProvisionResult, offers int) time.Duration {
	if result == ProvisionRefused {
		return 2 * tuning.CloudRetryDelay
	}
	return a.capacityBackoff(offers)
}

// capacityBackoff is how long an offer that had too few machines is left alone: as short
// as the cloud's rate allows for all offers together, since after a wave of interruptions
// there is capacity again within seconds.
func (a *autoscaler) capacityBackoff(offers int) time.Duration {
	if a.settings.CloudRate <= 0 {
		return tuning.MaxCapacityBackoff
	}
	backoff := time.Duration(float64(offers) / (a.settings.CloudRate * tuning.CapacityRetryRateShare) * float64(time.Second))
	return min(max(backoff, tuning.MinCapacityBackoff), tuning.MaxCapacityBackoff)
}
