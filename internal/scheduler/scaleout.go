package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// scaleOut requests machines for the unplaced tasks that do not fit in the incoming capacity (see
// newScaleOutPlan), for the next service, and for the policy's headroom.
func (a *autoscaler) scaleOut(cluster *clusterState, reconciler *reconcile.Reconciler, unplaced []unplacedTasks) {
	if !a.mayScaleOut(cluster) {
		return
	}
	a.lastScaleOutAt = a.now.Mono
	plan := a.newScaleOutPlan(cluster, reconciler, unplaced)
	plan.coverUnplaced(unplaced)
	plan.coverNextService()
	plan.coverHeadroom()
	plan.sendRequests()
}

// mayScaleOut reports whether the machine types and the cloud's machine list are known, this
// process certainly holds the leader lease, and the last scale-out was long enough ago.
func (a *autoscaler) mayScaleOut(cluster *clusterState) bool {
	if cluster.offerCount() == 0 || !a.listReceived || !a.holdsLease() {
		return false
	}
	return a.lastScaleOutAt == 0 || a.now.Mono-a.lastScaleOutAt >= a.scaleByCPUShare(tuning.MinScaleOutInterval)
}

// scaleOutPlan collects the provisioning requests of one call of scaleOut. A requested machine
// counts as incoming capacity at once, so that no task gets two machines.
type scaleOutPlan struct {
	autoscaler     *autoscaler
	cluster        *clusterState
	reconciler     *reconcile.Reconciler
	incoming       []*capacitySlot // capacity available soon, then that of requested machines
	machinesByZone map[string]int
	machineCount   int           // existing, pending and requested machines, except releasing ones
	requests       map[offer]int // number of machines to request
}

// newScaleOutPlan returns a plan that counts the existing and pending machines, and the incoming
// capacity of booting, unconfirmed and pending machines.
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

// addPending adds the machines of an unanswered provisioning request to the plan.
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

// requestMachine adds one machine to the plan: the best offer for the job or, if job is nil,
// for headroom. It returns nil if the machine limit is reached or no offer is available.
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

// coverUnplaced reserves incoming capacity for unplaced tasks and requests machines for the
// tasks that do not fit there.
func (p *scaleOutPlan) coverUnplaced(unplaced []unplacedTasks) {
	minimum := minimumOf(unplaced)
	exhaustedSlots := 0 // leading slots that are too small for any unplaced task
	for _, waiting := range unplaced {
		for exhaustedSlots < len(p.incoming) && !p.incoming[exhaustedSlots].hasAtLeast(minimum) {
			exhaustedSlots++
		}
		remaining := waiting.count
		for _, slot := range p.incoming[exhaustedSlots:] {
			if remaining = slot.reserveUpTo(waiting.job, remaining); remaining == 0 {
				break
			}
		}
		p.requestMachinesFor(waiting.job, remaining)
	}
}

// requestMachinesFor requests machines for a number of tasks of the job, until all of them have
// capacity, no machine can be requested, or the last requested machine holds none of them.
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

// coverNextService requests a machine if the fleet lacks capacity for the next service (see
// fleetHeadroom) and no incoming on-demand machine fits one of its tasks.
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

// coverHeadroom requests machines until the fleet has the policy's share of spare CPUs.
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

// pendingCPUs sums the CPUs of the machines that this plan or an earlier, unanswered request asks
// for.
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

// sendRequests sends one request per offer, as far as the rate limit of cloud calls allows. The
// next scale-out plans the remaining requests again.
func (p *scaleOutPlan) sendRequests() {
	for _, o := range slices.SortedFunc(maps.Keys(p.requests), offer.compare) {
		if !p.reconciler.TakeCloudCall(p.autoscaler.now.Mono) {
			return
		}
		p.reconciler.CountOperation(p.autoscaler.now.Mono, reconcile.Operation{Kind: reconcile.ProvisionOperation})
		p.autoscaler.sendProvisionRequest(o, min(p.requests[o], tuning.MaxProvisionBatch))
	}
}

// sendProvisionRequest sends a request for count machines of the offer to the cloud.
func (a *autoscaler) sendProvisionRequest(o offer, count int) {
	requestID := a.addRequest(o, count)
	a.logInfo("machines requested", "request", requestID, "type", o.machineType, "zone", o.zone, "spot", o.spot, "count", count)
	a.effects.Provision = append(a.effects.Provision, ProvisionRequest{wire.ProvisionRequest{RequestID: requestID, Type: o.machineType, Zone: o.zone, Spot: o.spot, Count: count}})
}

// delayedBoots returns the machines that take longer to boot than usual. Replacements for them
// are requested at once; the machines themselves are released when their boot times out. Machines
// that were provisioned more than four times the usual boot time ago don't count. If there are
// more delayed machines than machines of the same age that have booted, boots are slow everywhere.
// Replacements would be just as late and scaling out would not end, so no machine counts as
// delayed then.
func (c *clusterState) delayedBoots() map[*machine]bool {
	delayed, booted := map[*machine]bool{}, 0
	for _, m := range c.machines {
		usualBootTime := c.bootTime(m.machineType)
		age := c.now.Mono - m.cloud.provisionedAt
		switch {
		case age < usualBootTime*tuning.LateBootPercent/100 || age > 4*usualBootTime:
		case m.phase == machineBooting && !m.cloud.failed:
			delayed[m] = true
		case m.phase == machineUp && m.cloud.provisionedInTerm:
			booted++
		}
	}
	if len(delayed) > booted {
		return nil
	}
	return delayed
}

// ProvisionResult is the outcome of a provisioning request.
type ProvisionResult int

// Outcomes of a provisioning request.
const (
	ProvisionUnknown    ProvisionResult = iota // machines may exist; the cloud's list will show them
	ProvisionDone                              // the named machines were provisioned
	ProvisionNoCapacity                        // the cloud has no machines of the offer
	ProvisionRefused                           // not executed: the cloud failed or its rate limit was reached
)

// String returns the outcome as it appears in log lines.
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

// ProvisionEnded handles the outcome of a provisioning request. If it is ProvisionDone,
// machines has the names of the provisioned machines.
func (s *Scheduler) ProvisionEnded(now Now, requestID string, result ProvisionResult, machines []string) {
	s.now = now
	request := s.autoscaler.completeRequest(requestID, result, len(machines), s.cluster.offerCount())
	if request == nil {
		return
	}
	if result == ProvisionDone {
		s.adoptProvisioned(request.offer, machines)
	}
	s.placement.due = true
}

// completeRequest removes a request that was answered. If fewer machines were provisioned than
// requested, its offer is not requested again until a backoff has passed. It returns nil if the
// request is not pending.
func (a *autoscaler) completeRequest(requestID string, result ProvisionResult, machineCount, offerCount int) *pendingRequest {
	request := a.removeRequest(requestID)
	if request == nil {
		return nil
	}
	if result != ProvisionDone || machineCount < request.count {
		a.unavailableUntil[request.offer] = a.now.Mono + a.provisionBackoff(result, offerCount)
	}
	a.logInfo("machine request answered", "request", requestID, "result", result.String(), "machines", machineCount)
	return request
}

// adoptProvisioned adds the machines that a request provisioned. Some may have sent heartbeats
// before the answer arrived, and some may already be released.
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

// provisionBackoff returns how long an offer is not requested again after a request for which
// fewer machines were provisioned than requested. After an unknown outcome, the backoff gives the
// cloud's list time to show any provisioned machines.
func (a *autoscaler) provisionBackoff(result ProvisionResult, offerCount int) time.Duration {
	if result == ProvisionRefused {
		return 2 * tuning.CloudRetryDelay
	}
	return a.capacityBackoff(offerCount)
}

// capacityBackoff returns how long an offer is not requested again after the cloud had too few
// machines for it. The backoff is as short as the cloud's rate limit allows if all offers are
// requested again, since capacity returns within seconds after a wave of interruptions.
func (a *autoscaler) capacityBackoff(offerCount int) time.Duration {
	if a.settings.CloudRate <= 0 {
		return tuning.MaxCapacityBackoff
	}
	backoff := time.Duration(float64(offerCount) / (a.settings.CloudRate * tuning.CapacityRetryRateShare) * float64(time.Second))
	return min(max(backoff, tuning.MinCapacityBackoff), tuning.MaxCapacityBackoff)
}
