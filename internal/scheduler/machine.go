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

	phase        machinePhase
	knownAt      time.Duration // when this term first knew of it
	rentedAt     time.Duration
	upAt         time.Duration
	heardAt      time.Duration // last sign of life
	idleSince    time.Duration
	leaveBy      time.Duration // when the cloud takes it; 0: not announced
	askAgain     bool          // its release has to be asked for once more
	failed       bool          // the cloud says that it has stopped
	listedOnce   bool          // the cloud has listed it in this term
	loggedReason string        // why it was last given back, for the log
	missing      int           // lists since the last one that had it
	suspect      time.Duration // avoided until then
	pauseTo      time.Duration // no starts until then
	failedBy     map[string]bool
	keptFor      string        // job for which room was made here
	keptTo       time.Duration // until when it is kept

	// Order of its messages, and what it has seen.
	session, tick, checkinTick uint64
	seenToken                  uint64
	underTerm                  bool   // its last report was sent under this term's token
	confirmed                  bool   // its present tasks are known under our term
	fence                      uint64 // low bits of the token now used with it
	directUsed                 bool   // starts went directly under the present fence
	calling                    bool   // a direct call is out
	callAgain                  bool
	askedAt                    time.Duration // last question, see probeStatus

	tasks           map[taskRef]*attempt
	exited          map[taskRef]taskExit // told by the worker, dealt with by us, not yet forgotten
	unexpectedStops []wire.Command       // stops of attempts that are not in our picture
	images          []cachedImage        // most recently used last
	cpus, gpus, mem float64
	taskSummary     *taskSummary              // what placement asks of its tasks, until they change
	batches         map[*assignmentBatch]bool // records that name it

	// unreachableSince is since when it seems that nothing reaches it although its
	// reports arrive; 0: it hears us. See deaf.
	unreachableSince     time.Duration
	unanswered           int           // direct calls in a row
	unansweredSinceHeard int           // the same since its last sign of life
	answeredAt           time.Duration // its last report, which we answered
	ours                 bool          // rented in this term
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
		name: name, machineType: machineType, zone: zone, spot: spot, address: address, machineSpec: s.types[machineType],
		rentedAt: s.now.Mono, knownAt: s.now.Mono, heardAt: s.now.Mono, idleSince: s.now.Mono,
		tasks: map[taskRef]*attempt{}, exited: map[taskRef]taskExit{}, failedBy: map[string]bool{}, batches: map[*assignmentBatch]bool{},
	}
	s.machines[name] = m
	s.byName = nil
	return m
}

// sortedMachines gives the machines by name. The slice is not to be changed.
func (s *Scheduler) sortedMachines() []*machine {
	if s.byName == nil {
		s.byName = make([]*machine, 0, len(s.machines))
		for _, m := range s.machines {
			s.byName = append(s.byName, m)
		}
		slices.SortFunc(s.byName, func(a, b *machine) int { return strings.Compare(a.name, b.name) })
	}
	return s.byName
}

func (m *machine) queueUnexpectedStop(c wire.Command) {
	m.unexpectedStops = append(m.unexpectedStops, c)
}

// fetched notes that the machine has an image, as the most recently used.
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

// list gives the machine's attempts in a fixed order.
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
		if !a.halt && a.state != wire.TaskRunning && !m.hasImage(a.job.spec.Image) {
			if summary.fetching == nil {
				summary.fetching = map[string]float64{}
			}
			summary.fetching[a.job.spec.Image] = a.job.spec.ImageGB
		}
	}
	m.taskSummary = summary
	return summary
}
