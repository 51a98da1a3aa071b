package scheduler

import (
	"slices"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// machinePhase is the phase of a machine's lifecycle.
type machinePhase int

const (
	machineBooting machinePhase = iota // provisioned; its worker is not known to have started yet
	// machineUp means that the worker has sent a heartbeat, the cloud lists the machine as running,
	// or an assignment record names the machine.
	machineUp
	machineReleasing // its release was requested; it gets no new tasks
)

func (p machinePhase) String() string {
	return [...]string{"booting", "up", "releasing"}[p]
}

// machine holds what this leader knows about a machine and its worker.
type machine struct {
	name, machineType, zone, address string
	spot                             bool
	machineSpec                      *wire.MachineType // nil: the cloud has not listed the type

	phase        machinePhase
	firstKnownAt time.Duration // when the machine first became known in this term
	upAt         time.Duration // when it entered machineUp in this term
	idleSince    time.Duration // when it came up, was added or last became empty
	confirmed    bool          // a heartbeat has confirmed its tasks in this term

	tasks           map[taskRef]*attempt
	exited          map[taskRef]taskExit // ended attempts that the worker still lists
	unexpectedStops []wire.Command       // queued stops of attempts that are not in tasks
	used            resources            // sum of the resources of tasks
	images          imageCache
	taskSummary     *taskSummary              // cache of summarize; nil after tasks or images have changed
	batches         map[*assignmentBatch]bool // assignment batches with attempts on the machine

	cloud        cloudStatus
	release      releaseState
	quarantine   quarantineState
	reservation  reservation
	heartbeats   heartbeatOrder
	fencing      fencingState
	directCalls  directCallState
	connectivity connectivity
}

// taskExit is an ended attempt as its worker lists it.
type taskExit struct {
	attempt uint64 // attempt number
	done    bool   // it completed its task
}

// cloudStatus is a machine's status as reported by the cloud.
type cloudStatus struct {
	// provisionedAt is computed from the age in the cloud's list if the list is where the machine
	// first appeared. Otherwise it is the time at which the machine became known in this term.
	provisionedAt     time.Duration
	provisionedInTerm bool // this leader requested the machine in this term
	// expectedInLists means that the machine is expected in the cloud's lists: the cloud has listed it
	// in this term, or it was restored from a record.
	expectedInLists bool
	// consecutiveMissedLists is the number of cloud lists since the last one with the machine. For
	// a restored machine it starts below 0, which allows for lists that are out of date.
	consecutiveMissedLists int
	failed                 bool          // the cloud has listed the machine as failed
	interruptionAt         time.Duration // when the cloud reclaims the spot machine; 0: not announced
}

// releaseState is the state of a machine's requested release.
type releaseState struct {
	reason   ReleaseReason // reason of the last request; empty: the release was never requested
	retryDue bool          // the release must be requested again
}

// quarantineState limits the use of a machine on which tasks fail or are refused. A quarantined
// machine has a higher placement cost, gets no tasks by preemption, and is released once it is
// empty.
type quarantineState struct {
	until time.Duration // end of the quarantine
	// placementPausedUntil is the time before which no tasks are placed on the machine, since its
	// worker has refused a start.
	placementPausedUntil time.Duration
	failedJobs           map[string]bool // IDs of unrelated jobs that failed on the machine
}

// reservation keeps a machine's free capacity for one job until it expires. Production jobs ignore
// the reservations of other jobs.
type reservation struct {
	jobID string        // empty: none
	until time.Duration // when the reservation expires
}

// heartbeatOrder identifies a machine's last heartbeat in the order of sending. Heartbeats that
// were sent before it and arrive later are ignored.
type heartbeatOrder struct {
	incarnation, sequence uint64
	underCurrentTerm      bool // the last heartbeat had a fencing token of this term
}

// fencingState tracks the fencing tokens that are used with a machine.
type fencingState struct {
	counter            uint64 // low bits of the fencing token in use with the machine
	sentStartsDirectly bool   // a direct call has sent starts since the counter was last raised
	highestSeenToken   uint64 // the highest token in the heartbeats applied in this term
	// repliesReadUntil is the time until which the worker may read replies with starts, or copies of
	// them, that were sent since the counter was last raised.
	repliesReadUntil time.Duration
}

// directCallState is the state of the direct calls to a machine. At most one is in flight.
type directCallState struct {
	inFlight                 bool
	resendWhenDone           bool          // more commands are to follow once the call is answered
	probedAt                 time.Duration // when the last status probe was sent; 0: no need to wait
	consecutiveUnanswered    int           // unanswered calls since the last answered one
	unansweredSinceHeartbeat int           // unanswered calls since the last heartbeat or answered call
}

// connectivity records when a machine and this leader last reached each other.
type connectivity struct {
	// lastHeartbeatAt is the time of the last heartbeat or reply to a direct call. Until there is
	// one, it is when the machine became known in this term or came up.
	lastHeartbeatAt    time.Duration
	heartbeatRepliedAt time.Duration // when the leader last replied to a heartbeat
	// unreachableSince is when the leader detected that its replies and calls do not reach the
	// machine although the machine's heartbeats arrive; 0: reachable. See watchReplyDelivery and
	// recordDispatchRetry.
	unreachableSince time.Duration
}

// queueUnexpectedStop queues a stop that is sent with the next commands to the machine.
func (m *machine) queueUnexpectedStop(command wire.Command) {
	m.unexpectedStops = append(m.unexpectedStops, command)
}

// sortedAttempts returns the machine's attempts, sorted by job, task index and number.
func (m *machine) sortedAttempts() []*attempt {
	list := make([]*attempt, 0, len(m.tasks))
	for _, a := range m.tasks {
		list = append(list, a)
	}
	sortAttempts(list)
	return list
}

// imageCache lists the images that are known to be on a machine, the most recently used last.
type imageCache []cachedImage

// cachedImage is an image in a machine's cache.
type cachedImage struct {
	name   string
	sizeGB float64 // 0: unknown
}

func (c imageCache) contains(name string) bool {
	return slices.ContainsFunc(c, func(image cachedImage) bool { return image.name == name })
}

func (c imageCache) sizeGB() float64 {
	sum := 0.0
	for _, image := range c {
		sum += image.sizeGB
	}
	return sum
}

// withUsed returns the cache after an image was used. If the image was not in the cache, the
// least recently used images are evicted until the others fit the capacity. A capacity of 0
// means that the capacity is unknown, and nothing is evicted.
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

// addImage records that the machine has an image, as the most recently used one.
func (m *machine) addImage(name string, sizeGB float64) {
	m.taskSummary = nil
	capacityGB := 0.0
	if m.machineSpec != nil {
		capacityGB = m.machineSpec.CacheGB
	}
	m.images = m.images.withUsed(cachedImage{name, sizeGB}, capacityGB)
}

// hasImage reports whether the machine has the image and need not fetch it.
func (m *machine) hasImage(name string) bool { return m.images.contains(name) }

// taskSummary holds the totals over a machine's tasks that placement needs.
type taskSummary struct {
	hasUnknownTask               bool // an attempt's job is unknown, and so are its resources
	services                     int  // number of service tasks
	serviceCPUs, serviceMemoryGB float64
	// fetching holds the sizes of the images that the machine is fetching or will fetch for its
	// tasks, in GB by image name. Fetches for tasks that are being stopped don't count.
	fetching map[string]float64
}

// summarize returns the machine's taskSummary, which is recomputed after its tasks or images have
// changed.
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
