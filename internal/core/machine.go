package core

import (
	"slices"
	"strings"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

type phase int

const (
	booting   phase = iota // rented, its worker has not reported yet
	up                     // its worker has reported
	releasing              // being given back; nothing is sent to it any more
)

type machine struct {
	name, typ, zone, addr string
	spot                  bool
	mt                    *wire.MachineType

	phase        phase
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
	askedAt                    time.Duration // last question, see askForReport

	tasks           map[taskRef]*attempt
	exited          map[taskRef]exit // told by the worker, dealt with by us, not yet forgotten
	extras          []wire.Command   // stops of attempts that are not in our picture
	images          []image          // most recently used last
	cpus, gpus, mem float64
	taskSummary     *taskSummary    // what placement asks of its tasks, until they change
	batches         map[*batch]bool // records that name it

	// unreachableSince is since when it seems that nothing reaches it although its
	// reports arrive; 0: it hears us. See deaf.
	unreachableSince     time.Duration
	unanswered           int           // direct calls in a row
	unansweredSinceHeard int           // the same since its last sign of life
	answeredAt           time.Duration // its last report, which we answered
	ours                 bool          // rented in this term
}

type image struct {
	name string
	gb   float64
}

type exit struct {
	attempt uint64
	done    bool
}

func (l *Leader) addMachine(name, typ, zone string, spot bool, addr string) *machine {
	m := &machine{
		name: name, typ: typ, zone: zone, spot: spot, addr: addr, mt: l.types[typ],
		rentedAt: l.now.Mono, knownAt: l.now.Mono, heardAt: l.now.Mono, idleSince: l.now.Mono,
		tasks: map[taskRef]*attempt{}, exited: map[taskRef]exit{}, failedBy: map[string]bool{}, batches: map[*batch]bool{},
	}
	l.machines[name] = m
	l.byName = nil
	return m
}

// sorted gives the machines by name. The slice is not to be changed.
func (l *Leader) sorted() []*machine {
	if l.byName == nil {
		l.byName = make([]*machine, 0, len(l.machines))
		for _, m := range l.machines {
			l.byName = append(l.byName, m)
		}
		slices.SortFunc(l.byName, func(a, b *machine) int { return strings.Compare(a.name, b.name) })
	}
	return l.byName
}

func (m *machine) extra(c wire.Command) { m.extras = append(m.extras, c) }

// fetched notes that the machine has an image, as the most recently used.
func (m *machine) fetched(name string, gb float64) {
	m.taskSummary = nil
	for i, im := range m.images {
		if im.name == name {
			m.images = append(append(m.images[:i:i], m.images[i+1:]...), image{name, gb})
			return
		}
	}
	m.images = append(m.images, image{name, gb})
	if m.mt == nil || m.mt.CacheGB <= 0 {
		return
	}
	sum := 0.0
	for _, im := range m.images {
		sum += im.gb
	}
	for len(m.images) > 1 && sum > m.mt.CacheGB {
		sum -= m.images[0].gb
		m.images = m.images[1:]
	}
}

func (m *machine) has(name string) bool {
	for _, im := range m.images {
		if im.name == name {
			return true
		}
	}
	return false
}

// list gives the machine's attempts in a fixed order.
func (m *machine) list() []*attempt {
	out := make([]*attempt, 0, len(m.tasks))
	for _, a := range m.tasks {
		out = append(out, a)
	}
	sortAttempts(out)
	return out
}

// taskSummary is what placement asks of a machine's tasks.
type taskSummary struct {
	blocked                 bool // something is there whose size we do not know
	services                int  // tasks of services, and what they take
	serviceCPUs, serviceMem float64
	fetching                map[string]float64 // images on their way, without those of stopped tasks
}

// summarize gives the machine's taskSummary, made anew after its tasks have changed.
func (m *machine) summarize() *taskSummary {
	if m.taskSummary != nil {
		return m.taskSummary
	}
	d := &taskSummary{}
	for _, a := range m.tasks {
		if a.job == nil {
			d.blocked = true
			continue
		}
		if a.job.service {
			d.services++
			d.serviceCPUs += a.job.spec.CPUs
			d.serviceMem += a.job.spec.MemoryGB
		}
		if !a.halt && a.state != wire.TaskRunning && !m.has(a.job.spec.Image) {
			if d.fetching == nil {
				d.fetching = map[string]float64{}
			}
			d.fetching[a.job.spec.Image] = a.job.spec.ImageGB
		}
	}
	m.taskSummary = d
	return d
}
