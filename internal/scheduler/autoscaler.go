package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// autoscaler owns the provisioning requests that are pending, the offers that the cloud had
// too few machines of, and when it last listed its machines or failed to release one.
//
// A request is pending from when it is sent until its answer, or the news that there is
// none, has come. An offer has at most one pending request, and none is sent for it
// before its backoff is over: see available. Request names are never used twice.
type autoscaler struct {
	*termContext

	pending           map[string]*pendingRequest // by name
	unavailableUntil  map[offer]time.Duration
	nextRequestNumber uint64
	scaledOutAt       time.Duration // when scaling out was last considered; 0: never
	listed            bool          // the cloud's list was read in this term
	listedAt          time.Duration
	releaseRetryAt    time.Duration // no release before then
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

// available reports whether the offer may be asked for. While a request for it is pending
// it may not: the answer tells whether the cloud has more, so that a second request would
// be a guess, and bursts of them run into the cloud's rate limit.
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

// addRequest notes a request that is about to be sent and gives its name. The term sets
// the name apart from those of other leaders, the number from others of this one: the
// cloud takes a request with a known name for a repetition and provisions nothing.
func (a *autoscaler) addRequest(o offer, count int) (name string) {
	a.nextRequestNumber++
	name = fmt.Sprintf("yg-%d-%d", a.term, a.nextRequestNumber)
	a.pending[name] = &pendingRequest{offer: o, count: count}
	return name
}

// takeRequest removes a request that is no longer pending, and gives nil for one that
// was not.
func (a *autoscaler) takeRequest(name string) *pendingRequest {
	request := a.pending[name]
	delete(a.pending, name)
	return request
}

// pendingRequests gives the pending requests in the order of their names.
func (a *autoscaler) pendingRequests() []*pendingRequest {
	requests := make([]*pendingRequest, 0, len(a.pending))
	for _, name := range slices.Sorted(maps.Keys(a.pending)) {
		requests = append(requests, a.pending[name])
	}
	return requests
}

// MachinesListed takes the cloud's machine list, which shows the machines as they were
// Settings.CloudListLag ago.
func (s *Scheduler) MachinesListed(now Now, list []wire.ListedMachine) {
	s.now = now
	s.autoscaler.listed, s.autoscaler.listedAt = true, now.Mono
	for _, m := range s.cluster.machines {
		m.cloud.consecutiveMissedLists++
	}
	for i := range list {
		if listed := &list[i]; !s.cluster.released[listed.Name] {
			s.applyListed(listed)
		}
	}
	s.reconciler.CloudListed(now.Mono)
}

// applyListed takes the list's entry for one machine, and adopts a machine that is new.
func (s *Scheduler) applyListed(listed *wire.ListedMachine) {
	now := s.now.Mono
	m := s.cluster.machines[listed.Name]
	if m == nil {
		m = s.adoptListed(listed)
	}
	m.cloud.consecutiveMissedLists, m.cloud.listedInTerm = 0, true
	if m.address == "" {
		m.address = listed.Address
	}
	if m.phase == machineBooting && listed.State == wire.MachineRunning && now-m.firstKnownAt > s.settings.HeartbeatInterval {
		// It came up before this term, or its first heartbeat went to another controller.
		s.markUp(m)
		s.dispatcher.probeStatus(m, len(s.cluster.machines))
	}
	if listed.State == wire.MachineFailed && !m.cloud.failed {
		m.cloud.failed = true
		s.logInfo("machine failed", "machine", m.name, "tasks", len(m.tasks))
	}
}

// adoptListed adds a machine that this leader did not know of. One that was running before
// the term began may have tasks that reconciliation has to wait for.
func (s *Scheduler) adoptListed(listed *wire.ListedMachine) *machine {
	m := s.cluster.addMachine(listed.Name, listed.Type, listed.Zone, listed.Spot, listed.Address)
	m.cloud.provisionedAt = s.now.Mono - time.Duration(listed.AgeS*float64(time.Second))
	s.logInfo("machine adopted from cloud list", "machine", m.name, "type", m.machineType, "zone", m.zone, "spot", m.spot, "state", listed.State)
	s.placement.due = true
	if listed.State == wire.MachineRunning && m.cloud.provisionedAt < s.startedAt {
		s.reconciler.ExpectMachine(m.name)
	}
	return m
}
