// Package restartsim plays restarts of all controllers against stand-in machines, a
// state service and a cloud in simulated time, and counts the leader's orders against
// what was needed, which the stand-ins know on their own. Processors cost nothing here:
// what it measures are orders, calls, and waits that come from protocol and pacing.
package restartsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/core"
	"github.com/yarrowgap/yarrowgap/internal/eventqueue"
	"github.com/yarrowgap/yarrowgap/internal/policy"
	"github.com/yarrowgap/yarrowgap/internal/standin"
	"github.com/yarrowgap/yarrowgap/internal/store"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// The deployment that is played.
const (
	reportEvery  = 5 * time.Second
	lease        = 30 * time.Second
	cancelWithin = 60 * time.Second
	listEvery    = 2 * time.Second
	listLag      = 3 * time.Second
	writeRate    = 100.0
	cloudRate    = 10.0
	taskCPUs     = 2.0
	machineCPUs  = 8.0
	jobTasks     = 20
	teamCount    = 4
	bootTime     = 10 * time.Second
)

// machine is a stand-in machine and what it went through.
type machine struct {
	*standin.Worker
	rentedAt time.Duration
	upAt     time.Duration
	gone     bool
	silentTo time.Duration // neither sends nor takes anything before then
	heardAt  time.Duration // first answered by the second leader
}

// fleet is the whole simulated deployment with one controller.
type fleet struct {
	now    time.Duration
	queue  eventqueue.Queue
	random *rand.Rand

	settings core.Settings
	types    []wire.MachineType
	state    *standin.State
	rules    *standin.Rules
	machines map[string]*machine
	names    []string
	rented   map[string][]string

	leader  *core.Leader
	replica *core.Replica
	counts  counts
}

// counts are the orders and calls since the restart.
type counts struct {
	starts, stops, releases, rentedMachines int
	state, cloud, direct                    int
	started, stopped                        map[string]bool // attempts, so that repeats count once
	released                                map[string]bool
	firstStart                              time.Duration
}

func newCounts() counts {
	return counts{started: map[string]bool{}, stopped: map[string]bool{}, released: map[string]bool{}}
}

func teamName(i int) string { return fmt.Sprintf("team-%d", i%teamCount) }

func newFleet(plan Plan) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(plan.Seed, 3)), state: standin.NewState(12, 10000),
		machines: map[string]*machine{}, rented: map[string][]string{}, counts: newCounts()}
	f.types = []wire.MachineType{{Name: "box", CPUs: machineCPUs, MemoryGB: 64, CacheGB: 50, FetchGBs: 5, Price: 1, SpotCost: 0.4,
		BootS: bootTime.Seconds(), Zones: []string{"a", "b"}}}
	limits, teams := map[string]float64{}, map[string]core.Team{}
	for i := range teamCount {
		limits[teamName(i)] = 1e6
		teams[teamName(i)] = core.Team{CPUs: 1e5, CPUsMax: 1e6}
	}
	limits[strayTeam] = 1e6
	f.rules = standin.NewRules(limits, cancelWithin)
	operators := policy.Defaults(false)
	operators.SpareShare = 0
	operators.Recovery = plan.Recovery
	f.settings = core.Settings{Teams: teams, Report: reportEvery, Lease: lease, Cancel: cancelWithin, TxnOps: 12, ValueBytes: 32 << 10,
		WriteRate: writeRate, CloudRate: cloudRate, ListLag: listLag, GuaranteeWithin: 5 * time.Second, Policy: operators}
	for i := range plan.Machines {
		f.boot([]string{"a", "b"}[i%2], 0)
	}
	f.every(tuning.TickEvery, func() {
		if f.leader != nil {
			f.leader.Held(f.now + time.Minute)
			f.leader.Tick(f.clock())
			f.drain()
		}
	})
	f.every(listEvery, f.list)
	return f
}

func (f *fleet) clock() core.Now { return core.Now{Mono: f.now, Wall: f.now.Milliseconds()} }

func (f *fleet) after(d time.Duration, run func()) { f.queue.Add(f.now+d, run) }

func (f *fleet) every(d time.Duration, run func()) {
	f.after(d, func() {
		run()
		f.every(d, run)
	})
}

func (f *fleet) run(until time.Duration) {
	for {
		at, run, ok := f.queue.Next(until)
		if !ok {
			f.now = until
			return
		}
		f.now = at
		run()
	}
}

// latency is a message's way.
func (f *fleet) latency() time.Duration { return f.upTo(20 * time.Millisecond) }

func (f *fleet) upTo(d time.Duration) time.Duration {
	return time.Duration(1 + f.random.Int64N(int64(d)))
}

func (f *fleet) boot(zone string, boot time.Duration) string {
	name := fmt.Sprintf("n-%06d", len(f.names)+1)
	up := f.now + boot
	worker := standin.NewWorker(up, lease, name, f.types[0], zone, false, f.rules,
		func(string) time.Duration { return 24 * time.Hour }, func(string) bool { return false })
	f.names = append(f.names, name)
	f.machines[name] = &machine{Worker: worker, rentedAt: f.now, upAt: up}
	f.after(boot+f.upTo(reportEvery), func() { f.report(f.machines[name]) })
	return name
}

// report sends a machine's report. Without a controller that answers it tries again a
// second later, as the protocol has it.
func (f *fleet) report(m *machine) {
	if m.gone {
		return
	}
	if f.now < m.silentTo {
		f.after(m.silentTo-f.now, func() { f.report(m) })
		return
	}
	m.Advance(f.now)
	if f.leader == nil {
		f.after(tuning.WorkerRetry*3/4+f.upTo(tuning.WorkerRetry/2), func() { f.report(m) })
		return
	}
	report, sent, session := m.Report(f.now), f.now, m.Session
	f.after(f.latency(), func() {
		if f.leader == nil {
			f.after(tuning.WorkerRetry, func() { f.report(m) })
			return
		}
		reply, ok := f.leader.Checkin(f.clock(), &report)
		f.drain()
		if ok && m.heardAt == 0 {
			m.heardAt = f.now
		}
		f.after(f.latency(), func() {
			pause := reportEvery*3/4 + f.upTo(reportEvery/2)
			if ok && f.now >= m.silentTo && m.Reply(f.now, sent, session, reply) && len(reply.Commands) > 0 {
				pause = 500 * time.Millisecond
			}
			f.order(m.Name, reply.Commands)
			f.after(pause, func() { f.report(m) })
		})
	})
}

// order counts commands, each attempt once.
func (f *fleet) order(name string, commands []wire.Command) {
	for _, c := range commands {
		key := fmt.Sprint(name, c.Task, c.Attempt)
		switch {
		case c.Verb == wire.VerbRun && !f.counts.started[key]:
			f.counts.started[key] = true
			f.counts.starts++
			if f.counts.firstStart == 0 {
				f.counts.firstStart = f.now
			}
		case c.Verb == wire.VerbHalt && !f.counts.stopped[key]:
			f.counts.stopped[key] = true
			f.counts.stops++
		}
	}
}

func (f *fleet) list() {
	l := f.leader
	if l == nil {
		return
	}
	f.counts.cloud += 1 + len(f.names)/tuning.ListPage
	var machines []wire.ListedMachine
	for _, name := range f.names {
		m := f.machines[name]
		if m.gone || m.rentedAt > f.now-listLag && m.rentedAt > 0 {
			continue
		}
		state := wire.MachineRunning
		if m.upAt > f.now {
			state = wire.MachineStarting
		}
		machines = append(machines, wire.ListedMachine{Name: name, Address: m.Addr, Type: m.Type, Zone: m.Zone, State: state, AgeS: (f.now - m.rentedAt).Seconds()})
	}
	f.after(f.latency(), func() {
		if f.leader == l {
			l.Listed(f.clock(), machines)
			f.drain()
		}
	})
}

// drain settles the leader and carries out what it decided.
func (f *fleet) drain() {
	l := f.leader
	l.Settle(f.clock())
	effects := l.Take()
	with := func(run func()) {
		if f.leader == l {
			run()
			f.drain()
		}
	}
	for _, c := range effects.Commits {
		f.counts.state++
		f.after(f.latency(), func() {
			status, reply := f.state.Commit(f.now, c.Txn)
			result := core.CommitDone
			if status != 200 {
				result = core.CommitConflict
			}
			f.after(f.latency(), func() { with(func() { l.CommitDone(f.clock(), c.ID, result, reply.Epoch, reply.Failed) }) })
		})
	}
	for _, c := range effects.Direct {
		f.counts.direct++
		f.order(c.Machine, c.Body.Commands)
		f.call(c, with, l)
	}
	for _, r := range effects.Rent {
		f.counts.cloud++
		f.after(f.latency(), func() {
			names := f.rented[r.Request.Name]
			for range r.Request.Count {
				names = append(names, f.boot(r.Request.Zone, bootTime*3/4+f.upTo(bootTime/2)))
			}
			f.rented[r.Request.Name] = names
			f.counts.rentedMachines += len(names)
			with(func() { l.Rented(f.clock(), r.Request.Name, core.RentDone, names) })
		})
	}
	for _, names := range effects.Release {
		f.counts.cloud++
		f.after(f.latency(), func() {
			for _, name := range names {
				f.remove(name)
				if !f.counts.released[name] {
					f.counts.released[name] = true
					f.counts.releases++
				}
			}
			with(func() { l.Released(f.clock(), names, core.ReleaseDone) })
		})
	}
}

func (f *fleet) call(c core.DirectCall, with func(func()), l *core.Leader) {
	answered := false
	finish := func(result core.CallResult, report *wire.Report) {
		if !answered {
			answered = true
			with(func() { l.CallDone(f.clock(), c.ID, result, report) })
		}
	}
	f.after(f.latency(), func() {
		m := f.machines[c.Machine]
		if m.gone || f.now < m.silentTo || f.now < m.upAt {
			return
		}
		status, report := m.Commands(f.now, c.Body)
		result := core.CallExecuted
		if status != 200 {
			result = core.CallRefused
		}
		if m.heardAt == 0 {
			m.heardAt = f.now
		}
		f.after(f.latency(), func() { finish(result, &report) })
	})
	f.after(tuning.CommandTimeout, func() { finish(core.CallLost, nil) })
}

func (f *fleet) remove(name string) {
	m := f.machines[name]
	m.gone = true
	m.Kill()
}

// submit accepts a job, as any node does.
func (f *fleet) submit(number, tasks int) *wire.Job {
	j := &wire.Job{ID: fmt.Sprintf("run-%06d", number), Class: "c", Team: teamName(number), Shape: wire.ShapeArray, Rank: wire.RankNormal,
		Tasks: tasks, CPUs: taskCPUs, MemoryGB: 4, Image: fmt.Sprintf("img-%d", number%3), ImageGB: 1, EstimateS: 3600, CreatedMilli: f.now.Milliseconds()}
	f.rules.Submit(j)
	f.state.Commit(f.now, wire.Txn{Apply: []wire.Change{{Set: store.JobKey(j.ID), Value: store.JobRecord{Job: *j}}}})
	return j
}

// watch brings the leader's jobs up to date.
func (f *fleet) watch() {
	changes, _ := f.state.Changes(f.now, store.JobsPrefix, f.replica.Epoch)
	touched, _ := f.replica.Apply(changes)
	f.leader.JobsChanged(f.clock(), touched)
	f.drain()
}

// readAll reads a prefix page by page.
func (f *fleet) readAll(prefix string) []wire.Item {
	var items []wire.Item
	from := ""
	for {
		f.counts.state++
		page := f.state.Range(f.now, prefix, from, tuning.ReadPage)
		items = append(items, page.Items...)
		if !page.More {
			return items
		}
		from = page.Items[len(page.Items)-1].Key
	}
}

// lead begins a term from what is recorded.
func (f *fleet) lead() {
	_, reply := f.state.Commit(f.now, wire.Txn{Apply: []wire.Change{{Set: store.LeaderKey, Value: store.LeaderRecord{Node: "node"}}}})
	f.replica = core.NewReplica()
	f.replica.Reset(f.readAll(store.JobPrefix), f.state.Epoch)
	settings := f.settings
	settings.ColdRestart = true
	f.leader = core.NewLeader(f.clock(), settings, reply.Epoch, f.replica, f.readAll(store.BitsPrefix), f.readAll(store.BatchPrefix), f.types)
	f.leader.Held(f.now + time.Minute)
	f.drain()
}
