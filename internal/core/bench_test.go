package core

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/policy"
	"github.com/yarrowgap/yarrowgap/internal/store"
	"github.com/yarrowgap/yarrowgap/wire"
)

// fleet drives a leader of many machines: commits and direct calls succeed at
// once, and every machine runs what it is told to.
type fleet struct {
	tb    testing.TB
	l     *Leader
	now   time.Duration
	rev   uint64
	items map[string]wire.Item
	live  map[string]*LiveJob
	names []string
	has   map[string]map[string]wire.TaskReport
	ticks map[string]uint64
	token map[string]uint64
	calls int // direct calls so far
	asked int // questions, without commands
	puts  int // changes written so far

	share float64 // of the processor, that the next leader has
}

func fleetSettings() Settings {
	teams := map[string]Team{}
	for i := range 12 {
		teams[fmt.Sprintf("team-%02d", i)] = Team{CPUs: 1500, CPUsMax: 100_000}
	}
	return Settings{Teams: teams, Report: 5 * time.Second, Lease: 26500 * time.Millisecond, Cancel: 46500 * time.Millisecond,
		TxnOps: 12, ValueBytes: 4096, WriteRate: 70, GuaranteeWithin: 5 * time.Second, Policy: policy.Defaults(false)}
}

var fleetTypes = []wire.MachineType{{Name: "box", CPUs: 16, MemoryGB: 64, CacheGB: 50, FetchGBs: 0.5, Price: 1, SpotCost: 0.5, BootS: 10, Zones: []string{"a", "b"}}}

// newFleet brings n machines up and fills them: two tasks of services and four of
// arrays on each.
func newFleet(tb testing.TB, n int) *fleet {
	f := &fleet{tb: tb, now: time.Hour, rev: 100, items: map[string]wire.Item{}, live: map[string]*LiveJob{},
		has: map[string]map[string]wire.TaskReport{}, ticks: map[string]uint64{}, token: map[string]uint64{}}
	for i := range n {
		f.names = append(f.names, fmt.Sprintf("n-%06d", i))
		f.has[f.names[i]] = map[string]wire.TaskReport{}
	}
	f.lead(50)
	f.all()
	for i := range n / 4 {
		f.submit(wire.Job{ID: fmt.Sprintf("run-1%05d", i), Shape: wire.ShapeService, Rank: wire.RankProduction, Tasks: 8, CPUs: 2, MemoryGB: 3, Scatter: true})
	}
	due := 600.0
	for i := range n / 16 {
		f.submit(wire.Job{ID: fmt.Sprintf("run-2%05d", i), Shape: wire.ShapeArray, Rank: wire.RankNormal, Tasks: 64, CPUs: 2, MemoryGB: 3, EstimateS: 40, DueS: &due})
	}
	for range 200 {
		f.now += 100 * time.Millisecond
		f.settle()
	}
	f.all()
	return f
}

func (f *fleet) clock() Now { return Now{Mono: f.now, Wall: f.now.Milliseconds()} }

// lead starts a term from what is recorded.
func (f *fleet) lead(term uint64) {
	var records []wire.Item
	for key, it := range f.items {
		if strings.HasPrefix(key, store.BatchPrefix) {
			records = append(records, it)
		}
	}
	rep := NewReplica()
	rep.Live = f.live
	settings := fleetSettings()
	settings.CPUShare = f.share
	f.l = NewLeader(f.clock(), settings, term, rep, nil, records, fleetTypes)
	f.l.listed = true
	f.l.Held(1000 * time.Hour)
}

func (f *fleet) submit(j wire.Job) {
	j.CreatedMilli, j.Image, j.ImageGB = f.now.Milliseconds(), "img", 1
	if j.Team == "" {
		j.Team = fmt.Sprintf("team-%02d", len(f.live)%12)
	}
	f.rev++
	lj := &LiveJob{Record: &store.JobRecord{Job: j}, Stamp: f.rev}
	f.live[j.ID] = lj
	f.l.JobsChanged(f.clock(), []Changed{{j.ID, lj}})
}

func (f *fleet) report(name string) *wire.Report {
	f.ticks[name]++
	r := &wire.Report{Machine: name, Address: name + ":1", Type: "box", Zone: string("ab"[int(name[len(name)-1])%2]), Session: 1, Tick: f.ticks[name], Token: f.token[name]}
	for _, t := range f.has[name] {
		r.Tasks = append(r.Tasks, t)
	}
	return r
}

func (f *fleet) obey(name string, token uint64, cmds []wire.Command) {
	f.token[name] = max(f.token[name], token)
	for _, c := range cmds {
		switch t, ok := f.has[name][c.Task]; {
		case c.Verb == wire.VerbRun && !ok:
			f.has[name][c.Task] = wire.TaskReport{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning}
		case c.Verb == wire.VerbHalt && ok && t.Attempt == c.Attempt:
			t.State, t.Cause = wire.TaskExited, wire.CauseHalted
			f.has[name][c.Task] = t
		case c.Verb == wire.VerbForget && ok && t.Attempt == c.Attempt:
			delete(f.has[name], c.Task)
		}
	}
}

func (f *fleet) checkin(name string) {
	reply, ok := f.l.Checkin(f.clock(), f.report(name))
	if !ok {
		f.tb.Fatal("not answered")
	}
	f.obey(name, reply.Token, reply.Commands)
	f.settle()
}

// all has every machine report, a report interval long.
func (f *fleet) all() {
	for _, n := range f.names {
		f.now += f.l.cfg.Report / time.Duration(len(f.names))
		f.checkin(n)
	}
}

func (f *fleet) settle() {
	for range 50 {
		f.l.Settle(f.clock())
		e := f.l.Take()
		if e.Resign != "" {
			f.tb.Fatalf("resigned: %s", e.Resign)
		}
		for _, c := range e.Commits {
			f.rev++
			for _, ch := range c.Txn.Apply {
				f.puts++
				if ch.Delete != "" {
					delete(f.items, ch.Delete)
					continue
				}
				raw, err := wire.Marshal(ch.Value)
				if err != nil {
					f.tb.Fatal(err)
				}
				f.items[ch.Set] = wire.Item{Key: ch.Set, Value: raw, Stamp: f.rev}
			}
			f.l.CommitDone(f.clock(), c.ID, CommitDone, f.rev, nil)
		}
		for _, c := range e.Direct {
			f.calls++
			if len(c.Body.Commands) == 0 {
				f.asked++
			}
			f.obey(c.Machine, c.Body.Token, c.Body.Commands)
			f.l.CallDone(f.clock(), c.ID, CallExecuted, f.report(c.Machine))
		}
		if len(e.Commits)+len(e.Direct) == 0 {
			return
		}
	}
}

var fleetSizes = []int{256, 1024, 4096}

func sized(b *testing.B, f func(*testing.B, *fleet)) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("machines=%d", n), func(b *testing.B) {
			fl := newFleet(b, n)
			b.ReportAllocs()
			b.ResetTimer()
			f(b, fl)
		})
	}
}

// A report on which nothing has changed costs as much as the machine has tasks,
// whatever the fleet's size.
func BenchmarkReport(b *testing.B) {
	sized(b, func(b *testing.B, f *fleet) {
		for i := range b.N {
			r := f.report(f.names[i%len(f.names)])
			if _, ok := f.l.Checkin(f.clock(), r); !ok {
				b.Fatal("not answered")
			}
			f.l.Settle(f.clock())
			f.l.Take()
		}
	})
}

// A tick looks at every machine once.
func BenchmarkTick(b *testing.B) {
	sized(b, func(b *testing.B, f *fleet) {
		for range b.N {
			for _, m := range f.l.sorted() {
				m.heardAt = f.now
			}
			f.l.heardAny = f.now
			f.l.Tick(f.clock())
			f.l.Take()
		}
	})
}

// A round of placement, with as much waiting as there are machines.
func BenchmarkRound(b *testing.B) {
	sized(b, func(b *testing.B, f *fleet) {
		due := 60.0
		for i := range len(f.names) / 16 {
			f.submit(wire.Job{ID: fmt.Sprintf("run-3%05d", i), Shape: wire.ShapeArray, Rank: wire.RankNormal, Tasks: 400, CPUs: 16, MemoryGB: 3, EstimateS: 40, DueS: &due})
		}
		f.l.place()
		b.ResetTimer()
		for range b.N {
			f.l.place()
		}
	})
}

// A new leader reads each record once.
func BenchmarkRecovery(b *testing.B) {
	sized(b, func(b *testing.B, f *fleet) {
		for i := range b.N {
			f.lead(100 + uint64(i))
		}
	})
}

// The fixture is what the benchmarks say that it is.
func TestFleetFixture(t *testing.T) {
	f := newFleet(t, 256)
	n := 0
	for _, m := range f.l.machines {
		n += len(m.tasks)
	}
	if n != 256*6 {
		t.Errorf("%d tasks placed", n)
	}
	if err := f.l.Audit(); err != nil {
		t.Error(err)
	}
}

// A round in a burst: hundreds of jobs wait for machines that are full, and as many
// machines again are booting. It looks at what is to be rented, too.
func BenchmarkBurst(b *testing.B) {
	sized(b, func(b *testing.B, f *fleet) {
		due := 60.0
		for i := range len(f.names) / 8 {
			f.submit(wire.Job{ID: fmt.Sprintf("run-3%05d", i), Shape: wire.ShapeArray, Rank: wire.RankNormal, Tasks: 30, CPUs: 16, MemoryGB: 3, EstimateS: 40, DueS: &due, Spot: true})
		}
		for i := range len(f.names) / 2 {
			f.l.addMachine(fmt.Sprintf("n-9%05d", i), "box", []string{"a", "b"}[i%2], true, "").ours = true
		}
		b.ResetTimer()
		for range b.N {
			f.now += f.l.placeGap()
			f.l.now = f.clock()
			f.l.rentAt = 0
			f.l.rent(f.l.place())
			f.l.Take()
		}
	})
}

// heapOf is what the heap grows by while f makes what it returns.
func heapOf(f func() any) float64 {
	measure := func() float64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	before := measure()
	made := f()
	after := measure()
	runtime.KeepAlive(made)
	return after - before
}

// BenchmarkMemory reports what is held for each machine of a full fleet with its six
// tasks, and for each ended job that is remembered.
func BenchmarkMemory(b *testing.B) {
	const machines, ended = 1024, 20000
	for range b.N {
		fleet := heapOf(func() any { return newFleet(b, machines).l })
		jobs := heapOf(func() any {
			r := NewReplica()
			for i := range ended {
				r.Remember(fmt.Sprintf("run-%06d", i), store.EndedRecord{State: wire.JobDone, Done: 40, Tasks: 40, Class: "batch"})
			}
			return r
		})
		b.ReportMetric(fleet/machines, "B/machine")
		b.ReportMetric(jobs/ended, "B/ended-job")
	}
}

// A report without news allocates no more than when the bound was set: two thousand
// machines send hundreds of them a second.
func TestAllocationsOfAReportWithoutNews(t *testing.T) {
	const most = 7
	f := newFleet(t, 64)
	name := f.names[0]
	r := f.report(name)
	allocs := testing.AllocsPerRun(100, func() {
		r.Tick++
		if _, ok := f.l.Checkin(f.clock(), r); !ok {
			t.Fatal("not answered")
		}
		f.l.Settle(f.clock())
		f.l.Take()
	})
	if allocs > most {
		t.Errorf("%.0f allocations, over %d", allocs, most)
	}
	t.Logf("%.0f allocations", allocs)
}
