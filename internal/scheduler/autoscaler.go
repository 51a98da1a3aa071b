package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// autoscaler owns the pending provisioning requests and the backoffs of offers that the cloud
// had too few machines of. It also keeps when the cloud's machine list last arrived and when
// releases may be sent again after a failure.
//
// A request is pending from when it is sent until its answer, or a notice that no answer will
// come, arrives. An offer has at most one pending request and is not requested before its
// backoff has passed (see available). Request IDs are never reused.
type autoscaler struct {
	*termContext

	pending           map[string]*pendingRequest // by request ID
	unavailableUntil  map[offer]time.Duration    // end of the backoff
	nextRequestNumber uint64
	lastScaleOutAt    time.Duration // 0: not in this term
	listReceived      bool          // the cloud's machine list has arrived in this term
	listReceivedAt    time.Duration // last arrival of the cloud's machine list
	releaseRetryAt    time.Duration // no machine is released before then
}

func newAutoscaler(context *termContext) autoscaler {
	return autoscaler{
		termContext: context,
		pending:     map[string]*pendingRequest{}, unavailableUntil: map[offer]time.Duration{},
	}
}

// pendingRequest is a provisioning request without an answer.
type pendingRequest struct {
	offer offer
	count int
}

// available reports whether the offer may be requested. It may not while a request for it is
// pending: only the answer tells whether the cloud has more machines, and bursts of speculative
// requests exceed the cloud's rate limit.
func (a *autoscaler) available(o offer) bool {
	return a.now.Mono >= a.unavailableUntil[o] && !a.isPending(o)
}

func (a *autoscaler) isPending(o offer) bool {
	for _, request := range a.pending {
		if request.offer == o {
			return true
		}
	}
	return false
}

// addRequest adds a pending request and returns its ID. The ID must be unique across terms,
// which the term in it ensures, and within the term: the cloud treats a request with a known ID
// as a repetition and provisions nothing.
func (a *autoscaler) addRequest(o offer, count int) (requestID string) {
	a.nextRequestNumber++
	requestID = fmt.Sprintf("yg-%d-%d", a.term, a.nextRequestNumber)
	a.pending[requestID] = &pendingRequest{offer: o, count: count}
	return requestID
}

// removeRequest removes a pending request and returns it, or nil if it is not pending.
func (a *autoscaler) removeRequest(requestID string) *pendingRequest {
	request := a.pending[requestID]
	delete(a.pending, requestID)
	return request
}

// pendingRequests returns the pending requests, sorted by ID.
func (a *autoscaler) pendingRequests() []*pendingRequest {
	requests := make([]*pendingRequest, 0, len(a.pending))
	for _, name := range slices.Sorted(maps.Keys(a.pending)) {
		requests = append(requests, a.pending[name])
	}
	return requests
}

// MachinesListed handles the cloud's machine list, which may be out of date by up to
// Settings.CloudListLag.
func (s *Scheduler) MachinesListed(now Now, list []wire.ListedMachine) {
	s.now = now
	s.autoscaler.listReceived, s.autoscaler.listReceivedAt = true, now.Mono
	for _, m := range s.cluster.machines {
		m.cloud.consecutiveMissedLists++
	}
	for i := range list {
		if listed := &list[i]; !s.cluster.released[listed.Name] {
			s.applyListedMachine(listed)
		}
	}
	s.reconciler.CloudListed(now.Mono)
}

// applyListedMachine applies the list's entry of one machine, and adopts a machine that is new.
func (s *Scheduler) applyListedMachine(listed *wire.ListedMachine) {
	now := s.now.Mono
	m := s.cluster.machines[listed.Name]
	if m == nil {
		m = s.adoptListedMachine(listed)
	}
	m.cloud.consecutiveMissedLists, m.cloud.expectedInLists = 0, true
	if m.address == "" {
		m.address = listed.Address
	}
	if m.phase == machineBooting && listed.State == wire.MachineRunning && now-m.firstKnownAt > s.settings.HeartbeatInterval {
		// The machine came up before this term, or its first heartbeat went to another
		// controller.
		s.markUp(m)
		s.dispatcher.probeStatus(m, len(s.cluster.machines))
	}
	if listed.State == wire.MachineFailed && !m.cloud.failed {
		m.cloud.failed = true
		s.logInfo("machine failed", "machine", m.name, "tasks", len(m.tasks))
	}
}

// adoptListedMachine adds a machine that was unknown to this leader. If it was provisioned
// before the term began and is running, it may have tasks, and reconciliation waits for its
// heartbeat.
func (s *Scheduler) adoptListedMachine(listed *wire.ListedMachine) *machine {
	m := s.cluster.addMachine(listed.Name, listed.Type, listed.Zone, listed.Spot, listed.Address)
	m.cloud.provisionedAt = s.now.Mono - time.Duration(listed.AgeS*float64(time.Second))
	s.logInfo("machine adopted from cloud list", "machine", m.name, "type", m.machineType, "zone", m.zone, "spot", m.spot, "state", listed.State)
	s.placement.due = true
	if listed.State == wire.MachineRunning && m.cloud.provisionedAt < s.startedAt {
		s.reconciler.ExpectMachine(m.name)
	}
	return m
}
