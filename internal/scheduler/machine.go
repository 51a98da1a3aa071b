package scheduler

import (
	"slices"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// machinePhase is how far a machine is on its way from provisioning to release.
type machinePhase int

const (
	machineBooting   machinePhase = iota // provisioned; its worker has sent no heartbeat yet
	machineUp                            // its worker has sent a heartbeat
	machineReleasing                     // its release was asked for; it gets no new work
)

func (p machinePhase) String() string {
	return [...]string{"booting", "up", "releasing"}[p]
}

// machine is a machine with a worker, by what this leader knows of it.
type machine struct {
	name, machineType, zone, address string
	spot                             bool
	machineSpec                      *wire.MachineType // nil: the cloud has not told of the type

	phase     machinePhase
	knownAt   time.Duration // when this term first knew of it
	upAt      time.Duration
	idleSince time.Duration // when it last became empty
	confirmed bool          // what it runs is known by a heartbeat under this term's token

	tasks           map[taskRef]*attempt
	exited          map[taskRef]taskExit // ended, listed by the worker and not yet forgotten there
	unexpectedStops []wire.Command       // stops of attempts that are not among tasks
	used            resources            // by tasks
	images          imageCache
	taskSummary     *taskSummary              // see summarize; nil after tasks or images have changed
	batches         map[*assignmentBatch]bool // assignment batches that name it

	cloud        cloudStatus
	release      releaseState
	quarantine   quarantineState
	reservation  reservation
	heartbeats   heartbeatOrder
	fencing      fencingState
	calls        callStatus
	connectivity connectivity
}

// taskExit is the end of an attempt as its worker lists it.
type taskExit struct {
	attempt uint64
	done    bool
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

// reservation keeps a machine's free capacity for a job.
type reservation struct {
	jobID string
	until time.Duration
}

// heartbeatOrder is the position of a machine's last heartbeat: earlier ones that arrive
// after it are ignored.
type heartbeatOrder struct {
	incarnation, sequence uint64
	underTerm             bool // the last one was sent under this term's token
}

// fencingState is what is known of the fencing tokens used with a machine.
type fencingState struct {
	counter      uint64 // low bits of the token now used with it
	usedDirectly bool   // direct calls have sent starts under the present counter
	seenToken    uint64 // the highest that a heartbeat of it has named
}

// callStatus is that of direct calls to a machine, of which one at a time is in flight.
type callStatus struct {
	inFlight                 bool
	again                    bool          // something is due once the call has ended
	probedAt                 time.Duration // when the last status probe was sent
	unanswered               int           // in a row
	unansweredSinceHeartbeat int
}

// connectivity says when a machine and this leader last reached each other.
type connectivity struct {
	lastHeartbeatAt     time.Duration // or reply to a direct call
	heartbeatAnsweredAt time.Duration // when a heartbeat was last replied to
	// unreachableSince is since when it seems that nothing reaches the machine although
	// its heartbeats arrive; 0: it is reachable. See watchReplyDelivery.
	unreachableSince time.Duration
}

// queueUnexpectedStop has a command sent with what is next sent to the machine.
func (m *machine) queueUnexpectedStop(command wire.Command) {
	m.unexpectedStops = append(m.unexpectedStops, command)
}

// sortedAttempts gives the machine's attempts in a fixed order.
func (m *machine) sortedAttempts() []*attempt {
	list := make([]*attempt, 0, len(m.tasks))
	for _, a := range m.tasks {
		list = append(list, a)
	}
	sortAttempts(list)
	return list
}

// imageCache has the images on a machine as far as is known, the most recently used last.
type imageCache []cachedImage

type cachedImage struct {
	name   string
	sizeGB float64 // 0: unknown
}

func (c imageCache) has(name string) bool {
	return slices.ContainsFunc(c, func(image cachedImage) bool { return image.name == name })
}

func (c imageCache) sizeGB() float64 {
	sum := 0.0
	for _, image := range c {
		sum += image.sizeGB
	}
	return sum
}

// withUsed gives the cache after an image was used. An image that is new to it evicts
// those that were used longest ago, until what is left fits the capacity; 0: unknown.
func (c imageCache) withUsed(image cachedImage, capacityGB float64) imageCache {
	index := slices.IndexFunc(c, func(known cachedImage) bool { return known.name == image.name })
	if index >= 0 {
		return append(slices.Delete(c, index, index+1), image)
	}
	c = append(c, image)
	if capacityGB <= 0 {
		return c
	}
	size := c.sizeGB()
	for len(c) > 1 && size > capacityGB {
		size -= c[0].sizeGB
		c = c[1:]
	}
	return c
}

// addImage notes that the machine has an image, as the most recently used.
func (m *machine) addImage(name string, sizeGB float64) {
	m.taskSummary = nil
	capacityGB := 0.0
	if m.machineSpec != nil {
		capacityGB = m.machineSpec.CacheGB
	}
	m.images = m.images.withUsed(cachedImage{name, sizeGB}, capacityGB)
}

// hasImage reports whether the machine needs no fetch for the image.
func (m *machine) hasImage(name string) bool { return m.images.has(name) }

// taskSummary is what placement needs to know of a machine's tasks.
type taskSummary struct {
	hasUnknownTask               bool // an attempt's job is not live, and so its size unknown
	services                     int  // tasks of services, and what they take
	serviceCPUs, serviceMemoryGB float64
	fetching                     map[string]float64 // images being fetched, but for tasks that are stopped
}

// summarize gives the machine's taskSummary, made anew after its tasks have changed.
func (m *machine) summarize() *taskSummary {
	if m.taskSummary == nil {
		m.taskSummary = m.newTaskSummary()
	}
	return m.taskSummary
}

func (m *machine) newTaskSummary() *taskSummary {
	summary := &taskSummary{}
	for _, a := range m.tasks {
		if a.job == nil {
			summary.hasUnknownTask = true
			continue
		}
		spec := &a.job.spec
		if a.job.service {
			summary.services++
			summary.serviceCPUs += spec.CPUs
			summary.serviceMemoryGB += spec.MemoryGB
		}
		if !a.stop.requested && a.state != wire.TaskRunning && !m.hasImage(spec.Image) {
			if summary.fetching == nil {
				summary.fetching = map[string]float64{}
			}
			summary.fetching[spec.Image] = spec.ImageGB
		}
	}
	return summary
}
