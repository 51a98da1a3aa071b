package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

type machinePhase int

const (
	machineBooting   machinePhase = iota // rented, its worker has not reported yet
	machineUp                            // its worker has reported
	machineReleasing                     // being given back; nothing is sent to it any more
)

type machine struct {
	name, machineType, zone, address string
	spot                             bool
	machineSpec                      *wire.MachineType

	phase   machinePhase
	knownAt time.Duration // when this term first knew of it

	upAt time.Duration

	idleSince time.Duration

	confirmed bool // its present tasks are known under our term

	tasks           map[taskRef]*attempt
	exited          map[taskRef]taskExit // told by the worker, dealt with by us, not yet forgotten
	unexpectedStops []wire.Command       // stops of attempts that are not in our picture
	images          []cachedImage        // most recently used last

	taskSummary *taskSummary              // what placement asks of its tasks, until they change
	batches     map[*assignmentBatch]bool // records that name it

	cloud        cloudStatus
	release      releaseState
	quarantine   quarantineState
	reservation  reservation
	heartbeats   heartbeatOrder
	fencing      fencingState
	calls        callStatus
	connectivity connectivity
	used         resources
}

type cachedImage struct {
	name   string
	sizeGB float64
}

type taskExit struct {
	attempt uint64
	done    bool
}

func (s *Scheduler) addMachine(name, machineType, zone string, spot bool, address string) *machine {
	m := &machine{
		name: name, machineType: machineType, zone: zone, spot: spot, address: address, machineSpec: s.cluster.machineTypes[machineType],
		knownAt: s.now.Mono, idleSince: s.now.Mono,
		cloud: cloudStatus{provisionedAt: s.now.Mono}, connectivity: connectivity{lastHeartbeatAt: s.now.Mono},
		quarantine: quarantineState{failedJobs: map[string]bool{}},
		tasks:      map[taskRef]*attempt{}, exited: map[taskRef]taskExit{}, batches: map[*assignmentBatch]bool{},
	}
	s.cluster.machines[name] = m
	s.cluster.machinesByName = nil
	return m
}

// sortedMachines gives the machines by name. The slice is not to be changed.
func (s *Scheduler) sortedMachines() []*machine {
	if s.cluster.machinesByName == nil {
		s.cluster.machinesByName = make([]*machine, 0, len(s.cluster.machines))
		for _, m := range s.cluster.machines {
			s.cluster.machinesByName = append(s.cluster.machinesByName, m)
		}
		slices.SortFunc(s.cluster.machinesByName, func(a, b *machine) int { return strings.Compare(a.name, b.name) })
	}
	return s.cluster.machinesByName
}

func (m *machine) queueUnexpectedStop(c wire.Command) {
	m.unexpectedStops = append(m.unexpectedStops, c)
}

// addImage notes that the machine has an image, as the most recently used.
func (m *machine) addImage(name string, sizeGB float64) {
	m.taskSummary = nil
	for i, im := range m.images {
		if im.name == name {
			m.images = append(append(m.images[:i:i], m.images[i+1:]...), cachedImage{name, sizeGB})
			return
		}
	}
	m.images = append(m.images, cachedImage{name, sizeGB})
	if m.machineSpec == nil || m.machineSpec.CacheGB <= 0 {
		return
	}
	sum := 0.0
	for _, im := range m.images {
		sum += im.sizeGB
	}
	for len(m.images) > 1 && sum > m.machineSpec.CacheGB {
		sum -= m.images[0].sizeGB
		m.images = m.images[1:]
	}
}

func (m *machine) hasImage(name string) bool {
	for _, im := range m.images {
		if im.name == name {
			return true
		}
	}
	return false
}

// sortedAttempts gives the machine's attempts in a fixed order.
func (m *machine) sortedAttempts() []*attempt {
	out := make([]*attempt, 0, len(m.tasks))
	for _, a := range m.tasks {
		out = append(out, a)
	}
	sortAttempts(out)
	return out
}

// taskSummary is what placement asks of a machine's tasks.
type taskSummary struct {
	hasUnknownTask               bool // something is there whose size we do not know
	services                     int  // tasks of services, and what they take
	serviceCPUs, serviceMemoryGB float64
	fetching                     map[string]float64 // images on their way, without those of stopped tasks
}

// summarize gives the machine's taskSummary, made anew after its tasks have changed.
func (m *machine) summarize() *taskSummary {
	if m.taskSummary != nil {
		return m.taskSummary
	}
	summary := &taskSummary{}
	for _, a := range m.tasks {
		if a.job == nil {
			summary.hasUnknownTask = true
			continue
		}
		if a.job.service {
			summary.services++
			summary.serviceCPUs += a.job.spec.CPUs
			summary.serviceMemoryGB += a.job.spec.MemoryGB
		}
		if !a.stop.requested && a.state != wire.TaskRunning && !m.hasImage(a.job.spec.Image) {
			if summary.fetching == nil {
				summary.fetching = map[string]float64{}
			}
			summary.fetching[a.job.spec.Image] = a.job.spec.ImageGB
		}
	}
	m.taskSummary = summary
	return summary
}

// cloudStatus is what the cloud says of a machine.
type cloudStatus struct {
	provisionedAt     time.Duration
	provisionedInTerm bool
	listed            bool          // the cloud has listed it in this term
	missedLists       int           // lists since the last one that had it
	failed            bool          // the cloud says that it has stopped
	interruptionAt    time.Duration // when the cloud takes the spot machine; 0: not announced
}

// releaseState is that of a release that was asked for.
type releaseState struct {
	reason   ReleaseReason // of the last one, for the log
	retryDue bool          // it has to be asked for once more
}

// quarantineState keeps work away from a machine on which it fails.
type quarantineState struct {
	until             time.Duration
	startsPausedUntil time.Duration   // after it refused a start
	failedJobs        map[string]bool // unrelated jobs that failed there
}

// reservation keeps a machine's capacity for a job.
type reservation struct {
	jobID string
	until time.Duration
}

// heartbeatOrder is the place of a machine's last heartbeat: earlier ones are ignored.
type heartbeatOrder struct {
	incarnation, sequence uint64
	lastInitiated         uint64
	underTerm             bool // the last one was sent under this term's token
}

// fencingState is what is known of the fencing tokens used with a machine.
type fencingState struct {
	counter      uint64 // low bits of the token now used with it
	usedDirectly bool   // starts went directly under the present counter
	seenToken    uint64 // the highest that it has reported
}

// callStatus is that of direct calls to a machine, one at a time.
type callStatus struct {
	inFlight                 bool
	again                    bool          // something is due once the call has ended
	probedAt                 time.Duration // last status probe
	unanswered               int           // in a row
	unansweredSinceHeartbeat int
}

// connectivity says when a machine and this leader last reached each other.
type connectivity struct {
	lastHeartbeatAt     time.Duration // or answer to a call
	heartbeatAnsweredAt time.Duration // its last heartbeat that we answered
	// unreachableSince is since when it seems that nothing reaches it although its
	// heartbeats arrive; 0: it hears us. See watchReplyDelivery.
	unreachableSince time.Duration
}

// resources is an amount of what machines have and tasks take.
type resources struct {
	cpus, gpus, memoryGB float64
}
