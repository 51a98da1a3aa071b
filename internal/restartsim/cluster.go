// Package restartsim plays restarts of all controllers against stand-in machines, a
// state service and a cloud in simulated time, and counts the leader's orders against
// what was needed, which the stand-ins know on their own. Processors cost nothing here:
// what it measures are orders, calls, and waits that come from protocol and pacing.
package restartsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/eventqueue"
	"github.com/yarrowgap/yarrowgap/internal/policy"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// The deployment that is played.
const (
	heartbeatInterval = 5 * time.Second
	leaseDuration     = 30 * time.Second
	cancelGrace       = 60 * time.Second
	listInterval      = 2 * time.Second
	listLag           = 3 * time.Second
	writeRate         = 100.0
	cloudRate         = 10.0
	taskCPUs          = 2.0
	machineCPUs       = 8.0
	jobTasks          = 20
	teamCount         = 4
	bootTime          = 10 * time.Second
)

// machine is a stand-in machine and what it went through.
type machine struct {
	*simulator.Worker
	provisionedAt    time.Duration
	bootedAt         time.Duration
	terminated       bool
	partitionedUntil time.Duration // neither sends nor takes anything before then
	firstAnsweredAt  time.Duration // first answered by the second leader
}

// cluster is the whole simulated deployment with one controller.
type cluster struct {
	now    time.Duration
	events eventqueue.Queue
	random *rand.Rand

	settings             scheduler.Settings
	types                []wire.MachineType
	kvStore              *simulator.KVStore
	checker              *simulator.RuleChecker
	machines             map[string]*machine
	machineNames         []string
	provisionedByRequest map[string][]string

	scheduler *scheduler.Scheduler
	replica   *scheduler.Replica
	counts    counts
}

// counts are the orders and calls since the restart.
type counts struct {
	starts, stops, releases, provisioned  int
	kvStoreCalls, cloudCalls, directCalls int
	startedAttempts, stoppedAttempts      map[string]bool // attempts, so that repeats count once
	releasedMachines                      map[string]bool
	firstStart                            time.Duration
}

func newCounts() counts {
	return counts{startedAttempts: map[string]bool{}, stoppedAttempts: map[string]bool{}, releasedMachines: map[string]bool{}}
}

func teamName(i int) string { return fmt.Sprintf("team-%d", i%teamCount) }

func newCluster(plan Plan) *cluster {
	f := &cluster{random: rand.New(rand.NewPCG(plan.Seed, 3)), kvStore: simulator.NewKVStore(12, 10000),
		machines: map[string]*machine{}, provisionedByRequest: map[string][]string{}, counts: newCounts()}
	f.types = []wire.MachineType{{Name: "box", CPUs: machineCPUs, MemoryGB: 64, CacheGB: 50, FetchGBPerS: 5, Price: 1, SpotPrice: 0.4,
		BootS: bootTime.Seconds(), Zones: []string{"a", "b"}}}
	limits, teams := map[string]float64{}, map[string]scheduler.TeamQuota{}
	for i := range teamCount {
		limits[teamName(i)] = 1e6
		teams[teamName(i)] = scheduler.TeamQuota{CPUs: 1e5, CPUsMax: 1e6}
	}
	limits[unknownJobTeam] = 1e6
	f.checker = simulator.NewRuleChecker(limits, cancelGrace)
	operators := policy.Defaults(false)
	operators.HeadroomShare = 0
	operators.ReconcileRestarts = plan.Recovery
	f.settings = scheduler.Settings{Teams: teams, HeartbeatInterval: heartbeatInterval, WorkerLease: leaseDuration, CancellationBound: cancelGrace, MaxTransactionOps: 12, MaxValueBytes: 32 << 10,
		WriteRate: writeRate, CloudRate: cloudRate, CloudListLag: listLag, GuaranteedStartWithin: 5 * time.Second, Policy: operators}
	for i := range plan.Machines {
		f.bootMachine([]string{"a", "b"}[i%2], 0)
	}
	f.every(tuning.TickInterval, func() {
		if f.scheduler != nil {
			f.scheduler.LeaseHeldUntil(f.now + time.Minute)
			f.scheduler.Tick(f.schedulerNow())
			f.applyEffects()
		}
	})
	f.every(listInterval, f.sendMachineList)
	return f
}

func (f *cluster) schedulerNow() scheduler.Now {
	return scheduler.Now{Mono: f.now, Wall: f.now.Milliseconds()}
}

func (f *cluster) after(d time.Duration, run func()) { f.events.Add(f.now+d, run) }

func (f *cluster) every(d time.Duration, run func()) {
	f.after(d, func() {
		run()
		f.every(d, run)
	})
}

func (f *cluster) run(until time.Duration) {
	for {
		at, run, ok := f.events.Next(until)
		if !ok {
			f.now = until
			return
		}
		f.now = at
		run()
	}
}

// latency is a message's way.
func (f *cluster) latency() time.Duration { return f.randomUpTo(20 * time.Millisecond) }

func (f *cluster) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(1 + f.random.Int64N(int64(d)))
}

func (f *cluster) bootMachine(zone string, boot time.Duration) string {
	name := fmt.Sprintf("n-%06d", len(f.machineNames)+1)
	up := f.now + boot
	worker := simulator.NewWorker(up, simulator.WorkerConfig{
		Name: name, MachineType: f.types[0], Zone: zone, LeaseDuration: leaseDuration, Checker: f.checker,
		RunTime: func(string) time.Duration { return 24 * time.Hour },
	})
	f.machineNames = append(f.machineNames, name)
	f.machines[name] = &machine{Worker: worker, provisionedAt: f.now, bootedAt: up}
	f.after(boot+f.randomUpTo(heartbeatInterval), func() { f.sendHeartbeat(f.machines[name]) })
	return name
}

// sendHeartbeat sends a machine's report. Without a controller that answers it tries again a
// second later, as the protocol has it.
func (f *cluster) sendHeartbeat(m *machine) {
	if m.terminated {
		return
	}
	if f.now < m.partitionedUntil {
		f.after(m.partitionedUntil-f.now, func() { f.sendHeartbeat(m) })
		return
	}
	m.Advance(f.now)
	if f.scheduler == nil {
		f.after(tuning.WorkerRetryDelay*3/4+f.randomUpTo(tuning.WorkerRetryDelay/2), func() { f.sendHeartbeat(m) })
		return
	}
	report, sent, session := m.Heartbeat(f.now), f.now, m.Incarnation
	f.after(f.latency(), func() {
		if f.scheduler == nil {
			f.after(tuning.WorkerRetryDelay, func() { f.sendHeartbeat(m) })
			return
		}
		reply, ok := f.scheduler.Heartbeat(f.schedulerNow(), &report)
		f.applyEffects()
		if ok && m.firstAnsweredAt == 0 {
			m.firstAnsweredAt = f.now
		}
		f.after(f.latency(), func() {
			pause := heartbeatInterval*3/4 + f.randomUpTo(heartbeatInterval/2)
			if ok && f.now >= m.partitionedUntil && m.HandleHeartbeatReply(f.now, sent, session, reply) && len(reply.Commands) > 0 {
				pause = 500 * time.Millisecond
			}
			f.countOrders(m.Name, reply.Commands)
			f.after(pause, func() { f.sendHeartbeat(m) })
		})
	})
}

// countOrders counts commands, each attempt once.
func (f *cluster) countOrders(name string, commands []wire.Command) {
	for _, c := range commands {
		key := fmt.Sprint(name, c.Task, c.Attempt)
		switch {
		case c.Verb == wire.VerbRun && !f.counts.startedAttempts[key]:
			f.counts.startedAttempts[key] = true
			f.counts.starts++
			if f.counts.firstStart == 0 {
				f.counts.firstStart = f.now
			}
		case c.Verb == wire.VerbStop && !f.counts.stoppedAttempts[key]:
			f.counts.stoppedAttempts[key] = true
			f.counts.stops++
		}
	}
}

func (f *cluster) sendMachineList() {
	l := f.scheduler
	if l == nil {
		return
	}
	f.counts.cloudCalls += 1 + len(f.machineNames)/tuning.MachineListPageSize
	var machines []wire.ListedMachine
	for _, name := range f.machineNames {
		m := f.machines[name]
		if m.terminated || m.provisionedAt > f.now-listLag && m.provisionedAt > 0 {
			continue
		}
		state := wire.MachineRunning
		if m.bootedAt > f.now {
			state = wire.MachineStarting
		}
		machines = append(machines, wire.ListedMachine{Name: name, Address: m.Address, Type: m.Type, Zone: m.Zone, State: state, AgeS: (f.now - m.provisionedAt).Seconds()})
	}
	f.after(f.latency(), func() {
		if f.scheduler == l {
			l.MachinesListed(f.schedulerNow(), machines)
			f.applyEffects()
		}
	})
}

// applyEffects settles the leader and carries out what it decided.
func (f *cluster) applyEffects() {
	l := f.scheduler
	l.Settle(f.schedulerNow())
	effects := l.TakeEffects()
	with := func(run func()) {
		if f.scheduler == l {
			run()
			f.applyEffects()
		}
	}
	for _, c := range effects.Commits {
		f.counts.kvStoreCalls++
		f.after(f.latency(), func() {
			status, reply := f.kvStore.Commit(f.now, c.Txn)
			result := scheduler.CommitDone
			if status != 200 {
				result = scheduler.CommitConflict
			}
			f.after(f.latency(), func() {
				with(func() { l.CommitDone(f.schedulerNow(), c.ID, result, reply.Revision, reply.FailedKeys) })
			})
		})
	}
	for _, c := range effects.DirectCalls {
		f.counts.directCalls++
		f.countOrders(c.Machine, c.Body.Commands)
		f.sendCommands(c, with, l)
	}
	for _, r := range effects.Provision {
		f.counts.cloudCalls++
		f.after(f.latency(), func() {
			names := f.provisionedByRequest[r.Request.RequestID]
			for range r.Request.Count {
				names = append(names, f.bootMachine(r.Request.Zone, bootTime*3/4+f.randomUpTo(bootTime/2)))
			}
			f.provisionedByRequest[r.Request.RequestID] = names
			f.counts.provisioned += len(names)
			with(func() { l.Provisioned(f.schedulerNow(), r.Request.RequestID, scheduler.ProvisionDone, names) })
		})
	}
	for _, names := range effects.Release {
		f.counts.cloudCalls++
		f.after(f.latency(), func() {
			for _, name := range names {
				f.terminate(name)
				if !f.counts.releasedMachines[name] {
					f.counts.releasedMachines[name] = true
					f.counts.releases++
				}
			}
			with(func() { l.Released(f.schedulerNow(), names, scheduler.ReleaseDone) })
		})
	}
}

func (f *cluster) sendCommands(c scheduler.DirectCall, with func(func()), l *scheduler.Scheduler) {
	answered := false
	finish := func(result scheduler.CallResult, report *wire.Heartbeat) {
		if !answered {
			answered = true
			with(func() { l.CallDone(f.schedulerNow(), c.ID, result, report) })
		}
	}
	f.after(f.latency(), func() {
		m := f.machines[c.Machine]
		if m.terminated || f.now < m.partitionedUntil || f.now < m.bootedAt {
			return
		}
		status, report := m.HandleCommands(f.now, c.Body)
		result := scheduler.CallExecuted
		if status != 200 {
			result = scheduler.CallRefused
		}
		if m.firstAnsweredAt == 0 {
			m.firstAnsweredAt = f.now
		}
		f.after(f.latency(), func() { finish(result, &report) })
	})
	f.after(tuning.CommandTimeout, func() { finish(scheduler.CallLost, nil) })
}

func (f *cluster) terminate(name string) {
	m := f.machines[name]
	m.terminated = true
	m.Terminate()
}

// submit accepts a job, as any node does.
func (f *cluster) submit(number, tasks int) *wire.Job {
	j := &wire.Job{ID: fmt.Sprintf("run-%06d", number), Class: "c", Team: teamName(number), Shape: wire.ShapeArray, Priority: wire.PriorityNormal,
		Tasks: tasks, CPUs: taskCPUs, MemoryGB: 4, Image: fmt.Sprintf("img-%d", number%3), ImageGB: 1, EstimatedRunS: 3600, CreatedAtMilli: f.now.Milliseconds()}
	f.checker.AddJob(j)
	f.kvStore.Commit(f.now, wire.Txn{Then: []wire.Op{{Set: records.JobKey(j.ID), Value: records.Job{Job: *j}}}})
	return j
}

// applyChanges brings the leader's jobs up to date.
func (f *cluster) applyChanges() {
	changes, _ := f.kvStore.Changes(f.now, records.JobsPrefix, f.replica.Revision)
	touched, _ := f.replica.Apply(changes)
	f.scheduler.JobsChanged(f.schedulerNow(), touched)
	f.applyEffects()
}

// readAll reads a prefix page by page.
func (f *cluster) readAll(prefix string) []wire.KeyValue {
	var items []wire.KeyValue
	from := ""
	for {
		f.counts.kvStoreCalls++
		page := f.kvStore.Range(f.now, prefix, from, tuning.StorePageSize)
		items = append(items, page.Items...)
		if !page.More {
			return items
		}
		from = page.Items[len(page.Items)-1].Key
	}
}

// startTerm begins a term from what is recorded.
func (f *cluster) startTerm() {
	_, reply := f.kvStore.Commit(f.now, wire.Txn{Then: []wire.Op{{Set: records.LeaderKey, Value: records.Leader{Node: "node"}}}})
	f.replica = scheduler.NewReplica()
	f.replica.Reset(f.readAll(records.LiveJobPrefix), f.kvStore.Revision)
	settings := f.settings
	settings.ColdRestart = true
	f.scheduler = scheduler.New(f.schedulerNow(), settings, reply.Revision, f.replica, f.readAll(records.BitmapPrefix), f.readAll(records.BatchPrefix), f.types)
	f.scheduler.LeaseHeldUntil(f.now + time.Minute)
	f.applyEffects()
}
