package scheduler

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/policy"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/wire"
)

// fleetHarness drives a leader of many machines: commits and direct calls succeed at
// once, and every machine runs what it is told to.
type fleetHarness struct {
	tb           testing.TB
	scheduler    *Scheduler
	now          time.Duration
	revision     uint64
	items        map[string]wire.KeyValue
	live         map[string]*LiveJob
	machineNames []string
	tasks        map[string]map[string]wire.TaskStatus
	sequences    map[string]uint64
	tokens       map[string]uint64
	directCalls  int // direct calls so far
	statusProbes int // questions, without commands
	writes       int // changes written so far

	cpuShare float64 // of the processor, that the next leader has
}

func fleetSettings() Settings {
	teams := map[string]TeamQuota{}
	for i := range 12 {
		teams[fmt.Sprintf("team-%02d", i)] = TeamQuota{CPUs: 1500, CPUsMax: 100_000}
	}
	return Settings{Teams: teams, HeartbeatInterval: 5 * time.Second, WorkerLease: 26500 * time.Millisecond, CancellationBound: 46500 * time.Millisecond,
		MaxTransactionOps: 12, MaxValueBytes: 4096, WriteRate: 70, GuaranteedStartWithin: 5 * time.Second, Policy: policy.Defaults(false)}
}

var fleetMachineTypes = []wire.MachineType{{Name: "box", CPUs: 16, MemoryGB: 64, CacheGB: 50, FetchGBPerS: 0.5, Price: 1, SpotPrice: 0.5, BootS: 10, Zones: []string{"a", "b"}}}

// newFleetHarness brings n machines up and fills them: two tasks of services and four of
// arrays on each.
func newFleetHarness(tb testing.TB, n int) *fleetHarness {
	f := &fleetHarness{tb: tb, now: time.Hour, revision: 100, items: map[string]wire.KeyValue{}, live: map[string]*LiveJob{},
		tasks: map[string]map[string]wire.TaskStatus{}, sequences: map[string]uint64{}, tokens: map[string]uint64{}}
	for i := range n {
		f.machineNames = append(f.machineNames, fmt.Sprintf("n-%06d", i))
		f.tasks[f.machineNames[i]] = map[string]wire.TaskStatus{}
	}
	f.startTerm(50)
	f.heartbeatAll()
	for i := range n / 4 {
		f.submit(wire.Job{ID: fmt.Sprintf("run-1%05d", i), Shape: wire.ShapeService, Priority: wire.PriorityProduction, Tasks: 8, CPUs: 2, MemoryGB: 3, SpreadZones: true})
	}
	due := 600.0
	for i := range n / 16 {
		f.submit(wire.Job{ID: fmt.Sprintf("run-2%05d", i), Shape: wire.ShapeArray, Priority: wire.PriorityNormal, Tasks: 64, CPUs: 2, MemoryGB: 3, EstimatedRunS: 40, DeadlineS: &due})
	}
	for range 200 {
		f.now += 100 * time.Millisecond
		f.settle()
	}
	f.heartbeatAll()
	return f
}

func (f *fleetHarness) clock() Now { return Now{Mono: f.now, Wall: f.now.Milliseconds()} }

// startTerm starts a term from what is recorded.
func (f *fleetHarness) startTerm(term uint64) {
	var storedRecords []wire.KeyValue
	for key, it := range f.items {
		if strings.HasPrefix(key, records.BatchPrefix) {
			storedRecords = append(storedRecords, it)
		}
	}
	replica := NewReplica()
	replica.Live = f.live
	settings := fleetSettings()
	settings.CPUShare = f.cpuShare
	f.scheduler = New(f.clock(), settings, term, replica, nil, storedRecords, fleetMachineTypes)
	f.scheduler.autoscaler.listed = true
	f.scheduler.LeaseHeldUntil(1000 * time.Hour)
}

func (f *fleetHarness) submit(j wire.Job) {
	j.CreatedAtMilli, j.Image, j.ImageGB = f.now.Milliseconds(), "img", 1
	if j.Team == "" {
		j.Team = fmt.Sprintf("team-%02d", len(f.live)%12)
	}
	f.revision++
	lj := &LiveJob{Record: &records.Job{Job: j}, ModRevision: f.revision}
	f.live[j.ID] = lj
	f.scheduler.JobsChanged(f.clock(), []JobChange{{j.ID, lj}})
}

func (f *fleetHarness) newHeartbeat(name string) *wire.Heartbeat {
	f.sequences[name]++
	heartbeat := &wire.Heartbeat{Machine: name, Address: name + ":1", Type: "box", Zone: string("ab"[int(name[len(name)-1])%2]), Incarnation: 1, Sequence: f.sequences[name], FencingToken: f.tokens[name]}
	for _, t := range f.tasks[name] {
		heartbeat.Tasks = append(heartbeat.Tasks, t)
	}
	return heartbeat
}

func (f *fleetHarness) apply(name string, token uint64, commands []wire.Command) {
	f.tokens[name] = max(f.tokens[name], token)
	for _, c := range commands {
		switch t, ok := f.tasks[name][c.Task]; {
		case c.Verb == wire.VerbRun && !ok:
			f.tasks[name][c.Task] = wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning}
		case c.Verb == wire.VerbStop && ok && t.Attempt == c.Attempt:
			t.State, t.Cause = wire.TaskExited, wire.CauseStopped
			f.tasks[name][c.Task] = t
		case c.Verb == wire.VerbForget && ok && t.Attempt == c.Attempt:
			delete(f.tasks[name], c.Task)
		}
	}
}

func (f *fleetHarness) heartbeat(name string) {
	reply, ok := f.scheduler.Heartbeat(f.clock(), f.newHeartbeat(name))
	if !ok {
		f.tb.Fatal("not answered")
	}
	f.apply(name, reply.FencingToken, reply.Commands)
	f.settle()
}

// heartbeatAll has every machine report, a report interval long.
func (f *fleetHarness) heartbeatAll() {
	for _, n := range f.machineNames {
		f.now += f.scheduler.settings.HeartbeatInterval / time.Duration(len(f.machineNames))
		f.heartbeat(n)
	}
}

func (f *fleetHarness) settle() {
	for range 50 {
		f.scheduler.Settle(f.clock())
		effects := f.scheduler.TakeEffects()
		if effects.Resign != "" {
			f.tb.Fatalf("resigned: %s", effects.Resign)
		}
		for _, c := range effects.Commits {
			f.revision++
			for _, change := range c.Txn.Then {
				f.writes++
				if change.Delete != "" {
					delete(f.items, change.Delete)
					continue
				}
				raw, err := wire.Marshal(change.Value)
				if err != nil {
					f.tb.Fatal(err)
				}
				f.items[change.Set] = wire.KeyValue{Key: change.Set, Value: raw, ModRevision: f.revision}
			}
			f.scheduler.CommitDone(f.clock(), c.ID, CommitDone, f.revision, nil)
		}
		for _, c := range effects.DirectCalls {
			f.directCalls++
			if len(c.Body.Commands) == 0 {
				f.statusProbes++
			}
			f.apply(c.Machine, c.Body.FencingToken, c.Body.Commands)
			f.scheduler.CallDone(f.clock(), c.ID, CallExecuted, f.newHeartbeat(c.Machine))
		}
		if len(effects.Commits)+len(effects.DirectCalls) == 0 {
			return
		}
	}
}

var fleetSizes = []int{256, 1024, 4096}

func benchmarkSizes(b *testing.B, f func(*testing.B, *fleetHarness)) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("machines=%d", n), func(b *testing.B) {
			fl := newFleetHarness(b, n)
			b.ReportAllocs()
			b.ResetTimer()
			f(b, fl)
		})
	}
}

// A report on which nothing has changed costs as much as the machine has tasks,
// whatever the fleet's size.
func BenchmarkHeartbeat(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, f *fleetHarness) {
		for i := range b.N {
			heartbeat := f.newHeartbeat(f.machineNames[i%len(f.machineNames)])
			if _, ok := f.scheduler.Heartbeat(f.clock(), heartbeat); !ok {
				b.Fatal("not answered")
			}
			f.scheduler.Settle(f.clock())
			f.scheduler.TakeEffects()
		}
	})
}

// A tick looks at every machine once.
func BenchmarkTick(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, f *fleetHarness) {
		for range b.N {
			for _, m := range f.scheduler.sortedMachines() {
				m.connectivity.lastHeartbeatAt = f.now
			}
			f.scheduler.monitor.lastHeartbeatAt = f.now
			f.scheduler.Tick(f.clock())
			f.scheduler.TakeEffects()
		}
	})
}

// A round of placement, with as much waiting as there are machines.
func BenchmarkPlacementRound(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, f *fleetHarness) {
		due := 60.0
		for i := range len(f.machineNames) / 16 {
			f.submit(wire.Job{ID: fmt.Sprintf("run-3%05d", i), Shape: wire.ShapeArray, Priority: wire.PriorityNormal, Tasks: 400, CPUs: 16, MemoryGB: 3, EstimatedRunS: 40, DeadlineS: &due})
		}
		f.scheduler.placePending()
		b.ResetTimer()
		for range b.N {
			f.scheduler.placePending()
		}
	})
}

// A new leader reads each record once.
func BenchmarkNewTerm(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, f *fleetHarness) {
		for i := range b.N {
			f.startTerm(100 + uint64(i))
		}
	})
}

// The fixture is what the benchmarks say that it is.
func TestFleetHarnessRunsWhatTheBenchmarksAssume(t *testing.T) {
	f := newFleetHarness(t, 256)
	n := 0
	for _, m := range f.scheduler.cluster.machines {
		n += len(m.tasks)
	}
	if n != 256*6 {
		t.Errorf("%d tasks placed", n)
	}
	if err := f.scheduler.Audit(); err != nil {
		t.Error(err)
	}
}

// A round in a burst: hundreds of jobs wait for machines that are full, and as many
// machines again are booting. It looks at what is to be rented, too.
func BenchmarkScaleOutBurst(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, f *fleetHarness) {
		due := 60.0
		for i := range len(f.machineNames) / 8 {
			f.submit(wire.Job{ID: fmt.Sprintf("run-3%05d", i), Shape: wire.ShapeArray, Priority: wire.PriorityNormal, Tasks: 30, CPUs: 16, MemoryGB: 3, EstimatedRunS: 40, DeadlineS: &due, Spot: true})
		}
		for i := range len(f.machineNames) / 2 {
			f.scheduler.addMachine(fmt.Sprintf("n-9%05d", i), "box", []string{"a", "b"}[i%2], true, "").cloud.provisionedInTerm = true
		}
		b.ResetTimer()
		for range b.N {
			f.now += f.scheduler.placementInterval()
			f.scheduler.now = f.clock()
			f.scheduler.autoscaler.scaledOutAt = 0
			f.scheduler.scaleOut(f.scheduler.placePending())
			f.scheduler.TakeEffects()
		}
	})
}

// heapGrowth is what the heap grows by while f makes what it returns.
func heapGrowth(f func() any) float64 {
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
		fleet := heapGrowth(func() any { return newFleetHarness(b, machines).scheduler })
		jobs := heapGrowth(func() any {
			r := NewReplica()
			for i := range ended {
				r.RememberEnded(fmt.Sprintf("run-%06d", i), records.EndedJob{State: wire.JobDone, Done: 40, Tasks: 40, Class: "batch"})
			}
			return r
		})
		b.ReportMetric(fleet/machines, "B/machine")
		b.ReportMetric(jobs/ended, "B/ended-job")
	}
}

// A report without news allocates no more than when the bound was set: two thousand
// machines send hundreds of them a second.
func TestAllocationsOfUnchangedHeartbeat(t *testing.T) {
	const most = 7
	f := newFleetHarness(t, 64)
	name := f.machineNames[0]
	heartbeat := f.newHeartbeat(name)
	allocs := testing.AllocsPerRun(100, func() {
		heartbeat.Sequence++
		if _, ok := f.scheduler.Heartbeat(f.clock(), heartbeat); !ok {
			t.Fatal("not answered")
		}
		f.scheduler.Settle(f.clock())
		f.scheduler.TakeEffects()
	})
	if allocs > most {
		t.Errorf("%.0f allocations, over %d", allocs, most)
	}
	t.Logf("%.0f allocations", allocs)
}
