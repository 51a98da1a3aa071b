// Package core decides. It is a state machine without I/O, goroutines, clock or
// randomness of its own: inputs come in with the time at which they came, and
// what is to be sent, written and answered comes out as Effects.
//
// The guarantees rest on three habits. A task is written into its machine's
// record before any start is sent there; it leaves our picture only on proof
// that it is gone and cannot come back (see provenAbsent and Released); and
// every write is conditioned on the leader's key, so that a leader who has been
// replaced can change nothing.
package core

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/policy"
	"github.com/yarrowgap/yarrowgap/internal/recovery"
	"github.com/yarrowgap/yarrowgap/internal/store"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Now is the time of an input: Mono since the process started, Wall in
// milliseconds of the time of day.
type Now struct {
	Mono time.Duration
	Wall int64
}

// Team is a team's guarantee and limit.
type Team struct {
	CPUs, CPUsMax, GPUs, GPUsMax float64
}

// Settings are what the leader needs of the deployment and of the operators.
type Settings struct {
	Teams      map[string]Team
	Report     time.Duration
	Lease      time.Duration
	Cancel     time.Duration // within which a cancelled job's tasks are gone
	TxnOps     int
	ValueBytes int
	WriteRate  float64
	CloudRate  float64 // requests a second that the cloud takes; 0: not known
	CPUShare   float64 // of a core, that this process has; 0: not known
	Thrifty    bool
	Aims       map[string]Aim // by class
	// GuaranteeWithin is how soon work within a guarantee should start.
	GuaranteeWithin time.Duration
	ListLag         time.Duration // by which the cloud's list is old
	// ColdRestart is whether no controller is known to have outlived the last leader.
	ColdRestart bool
	TraceOrders bool // have an event for each order in a recovery
	Policy      policy.Settings
}

// Effects are what the node has to do after an input.
type Effects struct {
	Direct  []DirectCall
	Commits []Commit
	Rent    []Rental
	Release [][]string
	Resign  string // why the lead has to be given up, if it has to
	Log     []Line
	// Recovery has what happened in the term's recovery, for traces.
	Recovery []recovery.Event
}

// DirectCall is a POST /commands to a machine.
type DirectCall struct {
	ID      uint64
	Machine string
	Addr    string
	Body    wire.DirectCommands
}

// Commit is a transaction of the leader.
type Commit struct {
	ID  uint64
	Txn wire.Txn
}

// Rental is a request for machines.
type Rental struct {
	Request wire.RentRequest
}

// Line is a line for the log.
type Line struct {
	Debug bool
	Msg   string
	Args  []any
}

// taskRef names a task.
type taskRef struct {
	job   string
	index int
}

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

// attempt is one try of a task on one machine.
type attempt struct {
	ref    taskRef
	job    *job // nil if the job is not live
	m      *machine
	number uint64

	recorded bool // durably
	queued   bool // to be written with the next batch
	batches  []*batch
	sent     bool // a start has been or may have been sent
	seen     bool // the worker has listed it: the start is acknowledged
	state    string

	// The latest start: what has to be known before it counts as not executed.
	session   uint64 // worker's session to which it was sent
	replyTick uint64 // report in whose answer it went; 0 if none
	needFence uint64 // fence below which it may still be executed late
	calling   bool   // a direct call with it is out

	probes    int
	firstSent time.Duration
	nextProbe time.Duration
	giveUp    bool

	class      recovery.Class // of one from before the term
	awaitsStop bool           // a difference asked for its stop

	halt     bool
	haltSent bool
	haltSave bool
	haltWhy  string
	haltedAt time.Duration // last time that a stop was sent

	placedAt  time.Duration
	runningAt time.Duration
}

type job struct {
	id      string
	spec    wire.Job
	stamp   uint64
	created time.Duration // Mono; may be negative
	service bool
	rank    int

	cancelled bool
	knewAsOf  time.Duration // cancelled: as of when we knew all cancellations before this one
	archived  bool          // its live record is gone: it has ended
	done      store.Bitmap  // known to be done
	saved     store.Bitmap  // durably done
	nDone     int
	nSaved    int
	dirtyAt   time.Duration
	writing   bool
	blocked   time.Duration  // no write until then
	chunks    map[int]uint64 // stamps of further bitmap chunks

	active   map[int][]*attempt
	unsaved  map[int]*attempt // completed attempts whose done bit is not durable yet
	returned []int            // indices given back by ended attempts
	cursor   int              // indices below it have been handed out at least once
	nActive  int              // distinct indices with attempts
	running  int

	failures   int
	failsAfter time.Duration // the longest that a failed attempt ran
	failedOn   map[string]bool
	retryAt    time.Duration
	waitSince  time.Duration // since when a task of it waits; 0: none does
	turnSince  time.Duration // since when it has waited for machines with room to fetch other images; 0: it does not
	dues       []float64     // see Leader.dues
	placedOnce bool          // some task of it has been placed in this term
	why        string        // why it waits, for people

	roomAt    time.Duration // when hasRoom was last asked, and what it said
	room      bool
	preemptAt time.Duration // last time that room was looked for by preemption
	recovered bool          // from a time before our term

	seenRuns int     // tasks seen from their start to their completion
	seenRunS float64 // the time that these ran, in seconds

	hope    int     // which of its deadlines it can still meet, as of the last round
	begun   bool    // some task of it has come to stay
	unbegun bool    // nothing of it has begun for long
	overdue bool    // and it has not got its first tasks yet
	old     bool    // has missed all its deadlines, long ago
	within  bool    // inside its team's guarantee, as of the last round
	slack   float64 // seconds until it is due, as of the last round
}

func (j *job) pending() int {
	if j.cancelled || j.archived {
		return 0
	}
	return j.spec.Tasks - j.nDone - j.nActive
}

// Failure is an ended attempt, kept for people to ask about.
type Failure struct {
	Task    string `cbor:"task" json:"task"`
	Attempt uint64 `cbor:"attempt" json:"attempt"`
	Machine string `cbor:"machine" json:"machine"`
	Cause   string `cbor:"cause" json:"cause"`
	At      int64  `cbor:"at_ms" json:"at_ms"`
}

// Counters are the leader's running totals.
type Counters struct {
	ProbeRetry, ProbeGiveUp, Retried uint64
	Started, Finished, Preempted     uint64
	Rented, Returned                 uint64
	// Of recoveries: orders until they were settled, those of them that a difference
	// asked for, and differences, late ones included.
	RecoveryOrders, RecoveryTraced, Differences uint64
}

// Leader is the state of a leader during one term.
type Leader struct {
	cfg   Settings
	term  uint64
	now   Now
	out   Effects
	count Counters

	machines map[string]*machine
	jobs     map[string]*job
	types    map[string]*wire.MachineType
	usage    map[string]*Team // in use by team, in CPUs and GPUs

	// AckLatency receives the time from a start to its acknowledgement.
	AckLatency func(time.Duration)

	failures []Failure
	recovery *recovery.Reconciler
	rounds   uint64 // of placement

	nextID   uint64
	nextTry  uint64
	nextHire uint64
	commits  map[uint64]*commitState
	calls    map[uint64]*callState
	rentals  map[string]*rentalState
	noCap    map[offer]time.Duration

	byName    []*machine // by name; nil after a machine came or went
	batches   map[string]*batch
	toRecord  []*attempt
	nextBatch time.Duration // no batch until then
	dark      []string      // records that could not be read
	dirtyJobs map[*job]bool // with something to write
	pausing   map[*job]bool // after a failed attempt
	questions questions
	rentAt    time.Duration // when machines were last asked for
	listedAt  time.Duration // when the cloud's list last came
	budget    float64
	budgetAt  time.Duration
	holdOff   time.Duration // no writes until then: the state service refused

	dirtyPlace     bool
	placedAt       time.Duration
	loadAt         time.Duration
	listed         bool // the cloud's list was read in this term
	heardAny       time.Duration
	zoneHeard      map[string]time.Duration // see ZoneHeard
	zoneBack       map[string]time.Duration // when a zone was last silent as a whole
	knewAsOf       time.Duration            // see KnowsAsOf
	ahead          map[string]time.Duration // cancelled jobs that the watch has yet to bring, and since when
	heldTo         time.Duration            // until then the lead is ours for certain
	tickAt         time.Duration            // last tick
	lookedAt       time.Duration            // when a tick last looked at all machines
	resumedAt      time.Duration            // when this process last went on after it stood still
	alone          time.Duration            // for how long ticks have found that no worker was heard
	startedAt      time.Duration
	obsoleteKeys   []string        // keys to delete when there is time
	gone           map[string]bool // given back in this term; names are never used again
	releaseRetryAt time.Duration
	pushDue        map[string]bool // machines for which a stop waits to be sent
}

type commitState struct {
	batches []*batch
	jobs    []jobWrite
	deleted []string // keys deleted
}

type jobWrite struct {
	j       *job
	ended   bool
	chunks  []int
	saved   store.Bitmap
	touched bool // the job's own key was written
}

type callState struct {
	m     *machine
	fence uint64
	runs  []*attempt
	poll  bool // only a question
}

type offer struct {
	typ, zone string
	spot      bool
}

type rentalState struct {
	offer offer
	count int
	at    time.Duration
}

// NewLeader starts a term. records are those under store.BatchPrefix and
// store.MachinePrefix.
func NewLeader(now Now, cfg Settings, term uint64, rep *Replica, bits []wire.Item, records []wire.Item, types []wire.MachineType) *Leader {
	l := &Leader{
		cfg: cfg, term: term, now: now,
		machines: map[string]*machine{}, jobs: map[string]*job{},
		types: map[string]*wire.MachineType{}, usage: map[string]*Team{},
		commits: map[uint64]*commitState{}, calls: map[uint64]*callState{},
		rentals: map[string]*rentalState{}, noCap: map[offer]time.Duration{},
		gone: map[string]bool{}, zoneHeard: map[string]time.Duration{}, zoneBack: map[string]time.Duration{}, pushDue: map[string]bool{}, batches: map[string]*batch{},
		dirtyJobs: map[*job]bool{}, pausing: map[*job]bool{}, ahead: map[string]time.Duration{},
		budget: cfg.WriteRate, budgetAt: now.Mono, questions: questions{budget: tuning.QuestionsOut, budgetAt: now.Mono},
		heardAny: now.Mono, tickAt: now.Mono, startedAt: now.Mono, dirtyPlace: true, placedAt: now.Mono - time.Second,
	}
	l.recovery = recovery.New(now.Mono, cfg.recovery())
	l.SetTypes(now, types)
	for _, lj := range rep.Live {
		l.addJob(lj).recovered = true
	}
	for _, it := range bits {
		l.addBits(it)
	}
	for _, it := range records {
		l.addRecord(it)
	}
	l.stopObsolete()
	for _, id := range slices.Sorted(maps.Keys(l.jobs)) {
		l.finish(l.jobs[id])
	}
	l.line(false, "recovered", "jobs", len(l.jobs), "machines", len(l.machines), "cold", cfg.ColdRestart)
	for _, m := range l.sorted() {
		if l.pushDue[m.name] {
			l.push(m) // its answer is the report that we ask the others for
		}
		l.askForReport(m)
	}
	return l
}

// Token is the token to use with a machine: our term above, its fence below.
func (l *Leader) token(m *machine) uint64 { return l.term<<tuning.FenceBits | m.fence }

// Term of a token.
func Term(token uint64) uint64 { return token >> tuning.FenceBits }

func (l *Leader) line(debug bool, msg string, args ...any) {
	l.out.Log = append(l.out.Log, Line{debug, msg, args})
}

// Take returns the effects gathered since the last call.
func (l *Leader) Take() Effects {
	l.takeRecoveryEvents()
	e := l.out
	l.out = Effects{}
	return e
}

func (l *Leader) addJob(lj *LiveJob) *job {
	rec := lj.Record
	j := &job{
		id: rec.Job.ID, spec: rec.Job, stamp: lj.Stamp,
		service: rec.Job.Service(), rank: wire.RankOrder(rec.Job.Rank),
		cancelled: rec.Cancelled,
		done:      store.NewBitmap(rec.Job.Tasks), saved: store.NewBitmap(rec.Job.Tasks),
		active: map[int][]*attempt{}, chunks: map[int]uint64{}, failedOn: map[string]bool{},
	}
	// The job's age by the time of day, moved onto our steady clock.
	j.created = l.now.Mono - time.Duration(max(0, l.now.Wall-rec.Job.CreatedMilli))*time.Millisecond
	j.dues = l.dues(&j.spec)
	l.mergeDone(j, 0, rec.Done)
	l.jobs[j.id] = j
	return j
}

func (l *Leader) mergeDone(j *job, chunk int, s string) {
	if s == "" {
		return
	}
	if err := j.saved.Merge(chunk, s); err != nil {
		l.line(false, "job record has a bad bitmap", "job", j.id, "err", err.Error())
		return
	}
	_ = j.done.Merge(chunk, s) // as long as saved, which took it
	j.nDone, j.nSaved = j.done.Count(), j.saved.Count()
}

func (l *Leader) addBits(it wire.Item) {
	var rec store.BitsRecord
	id, chunk, ok := wire.SplitTask(store.IDOf(store.BitsPrefix, it.Key))
	if !ok || wire.Unmarshal(it.Value, &rec) != nil {
		return
	}
	j := l.jobs[id]
	if j == nil {
		l.obsoleteKeys = append(l.obsoleteKeys, it.Key) // left by a job that has ended
		return
	}
	j.chunks[chunk] = it.Stamp
	l.mergeDone(j, chunk, rec.Done)
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

// attach enters an attempt everywhere that counts it.
func (l *Leader) attach(a *attempt) {
	a.m.tasks[a.ref] = a
	a.m.taskSummary = nil
	if a.job == nil {
		return
	}
	j := a.job
	if len(j.active[a.ref.index]) == 0 {
		j.nActive++
	}
	j.active[a.ref.index] = append(j.active[a.ref.index], a)
	a.m.cpus += j.spec.CPUs
	a.m.gpus += j.spec.GPUs
	a.m.mem += j.spec.MemoryGB
	u := l.use(j.spec.Team)
	u.CPUs += j.spec.CPUs
	u.GPUs += j.spec.GPUs
}

func (l *Leader) use(team string) *Team {
	u := l.usage[team]
	if u == nil {
		u = &Team{}
		l.usage[team] = u
	}
	return u
}

// detach removes an attempt that is proven gone.
func (l *Leader) detach(a *attempt) {
	m := a.m
	if m.tasks[a.ref] != a {
		return
	}
	delete(m.tasks, a.ref)
	m.taskSummary = nil
	l.stopProven(a)
	if len(m.tasks) == 0 {
		m.idleSince = l.now.Mono
		m.cpus, m.gpus, m.mem = 0, 0, 0 // sheds rounding
	}
	if !a.awaitsSave() {
		l.unneedAll(a)
	}
	l.dirtyPlace = true
	j := a.job
	if j == nil {
		return
	}
	if a.state == wire.TaskRunning {
		j.running--
	}
	if len(m.tasks) > 0 {
		m.cpus -= j.spec.CPUs
		m.gpus -= j.spec.GPUs
		m.mem -= j.spec.MemoryGB
	}
	u := l.use(j.spec.Team)
	u.CPUs -= j.spec.CPUs
	u.GPUs -= j.spec.GPUs
	list := j.active[a.ref.index]
	for i, x := range list {
		if x == a {
			list = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	if len(list) > 0 {
		j.active[a.ref.index] = list
		return
	}
	delete(j.active, a.ref.index)
	j.nActive--
	if j.archived && j.nActive == 0 {
		delete(l.jobs, j.id)
	}
	if !j.done.Has(a.ref.index) {
		j.returned = append(j.returned, a.ref.index)
	}
}

// nextFree takes an index of the job that neither is done nor has an attempt.
func (j *job) nextFree() (int, bool) {
	for len(j.returned) > 0 {
		i := j.returned[len(j.returned)-1]
		j.returned = j.returned[:len(j.returned)-1]
		if !j.done.Has(i) && len(j.active[i]) == 0 {
			return i, true
		}
	}
	for j.cursor < j.spec.Tasks {
		i := j.cursor
		j.cursor++
		if !j.done.Has(i) && len(j.active[i]) == 0 {
			return i, true
		}
	}
	return 0, false
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

// JobsChanged tells the leader what a watch saw.
func (l *Leader) JobsChanged(now Now, touched []Changed) {
	l.now = now
	for _, c := range touched {
		j := l.jobs[c.ID]
		if c.Live == nil || c.Live.Record.Cancelled {
			delete(l.ahead, c.ID)
		}
		switch {
		case c.Live == nil && j != nil:
			l.dropJob(j)
		case c.Live != nil && j == nil:
			j = l.addJob(c.Live)
			// An answer of the watch may be older than a peer's list, which is told
			// once: a job that it has as new may have been cancelled since.
			_, cancelled := l.ahead[c.ID]
			j.cancelled = j.cancelled || cancelled
			l.finish(j)
			l.dirtyPlace = true
			l.line(true, "job seen", "job", j.id, "class", j.spec.Class, "tasks", j.spec.Tasks, "team", j.spec.Team, "estimate_s", j.spec.EstimateS, "due_s", j.dues)
		case c.Live != nil && c.Live.Stamp > j.stamp:
			j.stamp = c.Live.Stamp
			l.mergeDone(j, 0, c.Live.Record.Done)
			l.releaseSaved(j)
			if c.Live.Record.Cancelled && !j.cancelled {
				l.cancelJob(j)
			}
		}
	}
}

// JobsReset tells the leader that the replica was read anew.
func (l *Leader) JobsReset(now Now, rep *Replica) {
	var touched []Changed
	for id := range l.jobs {
		if rep.Live[id] == nil {
			touched = append(touched, Changed{id, nil})
		}
	}
	for id, lj := range rep.Live {
		touched = append(touched, Changed{id, lj})
	}
	sort.Slice(touched, func(a, b int) bool { return touched[a].ID < touched[b].ID })
	l.JobsChanged(now, touched)
}

// Cancelled tells the leader of jobs that are durably cancelled, ahead of the watch.
// Those that it does not know yet are kept until a read that was sent later is in: that
// one has them as cancelled or ended, or has nothing of them any more.
func (l *Leader) Cancelled(now Now, ids []string) {
	l.now = now
	for _, id := range ids {
		j := l.jobs[id]
		switch {
		case j == nil:
			l.ahead[id] = now.Mono
		case !j.cancelled && !j.archived:
			l.cancelJob(j)
		}
	}
}

// ReadAsOf tells the leader that the jobs as it is told of them next were asked for at
// the given time. What was told before needs no keeping then, or a term of days would
// gather all the cancellations that peers list once a job is over.
func (l *Leader) ReadAsOf(at time.Duration) {
	for id, since := range l.ahead {
		if since < at {
			delete(l.ahead, id)
		}
	}
}

// KnowsAsOf tells the leader as of when it knows of all cancellations, before it is
// told of more.
func (l *Leader) KnowsAsOf(at time.Duration) { l.knewAsOf = max(l.knewAsOf, at) }

// SettledAsOf is the moment, at most at, as of which all cancellations are not only
// known but seen through: nothing of the jobs is on any machine. Who keeps workers
// alive for us counts from it, since what we could not stop may be there.
func (l *Leader) SettledAsOf(at time.Duration) time.Duration {
	for _, j := range l.jobs {
		if j.cancelled && (j.nActive > 0 || l.inUnreadableRecord(j)) {
			at = min(at, j.knewAsOf)
		}
	}
	return at
}

func (l *Leader) cancelJob(j *job) {
	j.cancelled, j.knewAsOf = true, l.knewAsOf
	l.dirtyPlace = true
	l.line(false, "job cancelled", "job", j.id, "tasks", j.nActive)
	for _, a := range j.attempts() {
		l.stop(a, false, "cancelled")
	}
	l.finish(j)
}

func (j *job) attempts() []*attempt {
	var out []*attempt
	for _, list := range j.active {
		out = append(out, list...)
	}
	sort.Slice(out, func(a, b int) bool {
		if out[a].ref.index != out[b].ref.index {
			return out[a].ref.index < out[b].ref.index
		}
		return out[a].number < out[b].number
	})
	return out
}

// dropJob takes note that a job's live record is gone: it has ended. Attempts
// that are still about are stopped, and count against their machine and team
// until they are proven gone.
func (l *Leader) dropJob(j *job) {
	j.archived = true
	l.releaseSaved(j)
	for _, a := range j.attempts() {
		l.stop(a, false, "the job is over")
	}
	if j.nActive == 0 {
		delete(l.jobs, j.id)
	}
}

// finish marks a job as due for its last write once nothing of it is left.
func (l *Leader) finish(j *job) {
	if j.over() {
		l.touch(j)
	}
}

// touch notes that there is something of the job to write.
func (l *Leader) touch(j *job) {
	if j.dirtyAt == 0 {
		j.dirtyAt = l.now.Mono
		l.dirtyJobs[j] = true
	}
}

// clean notes that there is not.
func (l *Leader) clean(j *job) {
	j.dirtyAt = 0
	delete(l.dirtyJobs, j)
}

// stop asks for an attempt's end and sends that at once. An attempt that was
// never sent simply ends.
func (l *Leader) stop(a *attempt, save bool, why string) {
	if !a.halt {
		a.haltWhy = why
		l.line(true, "stop", "task", wire.TaskName(a.ref.job, a.ref.index), "machine", a.m.name, "why", why)
	}
	if a.halt && (save || !a.haltSave) {
		return
	}
	a.halt, a.haltSave, a.haltedAt = true, save, 0
	a.m.taskSummary = nil
	if !a.sent {
		l.detach(a)
		return
	}
	if !a.seen {
		// The start may still be on its way: only a report under a higher token
		// will show that it is not.
		l.raise(a.m)
		a.needFence = a.m.fence
	}
	l.pushDue[a.m.name] = true // with all other stops of this input
}

// raise takes a higher token for a machine, so that commands sent to it under
// the present one are refused once it has seen the new one.
func (l *Leader) raise(m *machine) {
	m.fence = min(m.fence+1, counterMost) // watchCounters has ended the term long before
	m.directUsed = false
}

func (m *machine) extra(c wire.Command) { m.extras = append(m.extras, c) }

func sortAttempts(list []*attempt) {
	sort.Slice(list, func(a, b int) bool {
		x, y := list[a], list[b]
		if x.ref.job != y.ref.job {
			return x.ref.job < y.ref.job
		}
		if x.ref.index != y.ref.index {
			return x.ref.index < y.ref.index
		}
		return x.number < y.number
	})
}

func sortCommands(list []wire.Command) {
	sort.Slice(list, func(a, b int) bool {
		if list[a].Task != list[b].Task {
			return list[a].Task < list[b].Task
		}
		return list[a].Attempt < list[b].Attempt
	})
}
