package scheduler

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/wire"
)

// benchmarkSizes runs a benchmark with fleets of several sizes.
func benchmarkSizes(b *testing.B, benchmark func(*testing.B, *fleetHarness)) {
	b.Helper()
	for _, machines := range []int{256, 1024, 4096} {
		b.Run(fmt.Sprintf("machines=%d", machines), func(b *testing.B) {
			f := newFleetHarness(b, machines)
			b.ReportAllocs()
			b.ResetTimer()
			benchmark(b, f)
		})
	}
}

// A heartbeat in which nothing has changed costs as much as the machine has tasks, whatever
// the fleet's size.
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

// A tick scans every machine once.
func BenchmarkTick(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, f *fleetHarness) {
		for range b.N {
			f.refreshHeartbeats()
			f.scheduler.Tick(f.clock())
			f.scheduler.TakeEffects()
		}
	})
}

// A placement round, with as many tasks waiting as there are machines.
func BenchmarkPlacementRound(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, f *fleetHarness) {
		deadline := 60.0
		for i := range len(f.machineNames) / 16 {
			f.submit(wire.Job{ID: fmt.Sprintf("run-3%05d", i), Shape: wire.ShapeArray, Priority: wire.PriorityNormal, Tasks: 400, CPUs: 16, MemoryGB: 3, EstimatedRunS: 40, DeadlineS: &deadline})
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

// The benchmarks assume six tasks on each machine.
func TestFleetHarnessRunsWhatTheBenchmarksAssume(t *testing.T) {
	const machines = 256
	f := newFleetHarness(t, machines)
	tasks := 0
	for _, m := range f.scheduler.cluster.machines {
		tasks += len(m.tasks)
	}
	if tasks != machines*6 {
		t.Errorf("%d tasks placed", tasks)
	}
	if err := f.scheduler.Audit(); err != nil {
		t.Error(err)
	}
}

// A placement round in a burst, with the scale-out that follows: hundreds of jobs wait for
// machines that are full, and half as many machines again are booting.
func BenchmarkScaleOutBurst(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, f *fleetHarness) {
		deadline := 60.0
		for i := range len(f.machineNames) / 8 {
			f.submit(wire.Job{ID: fmt.Sprintf("run-3%05d", i), Shape: wire.ShapeArray, Priority: wire.PriorityNormal, Tasks: 30, CPUs: 16, MemoryGB: 3, EstimatedRunS: 40, DeadlineS: &deadline, Spot: true})
		}
		for i := range len(f.machineNames) / 2 {
			f.scheduler.cluster.addMachine(fmt.Sprintf("n-9%05d", i), "box", []string{"a", "b"}[i%2], true, "").cloud.provisionedInTerm = true
		}
		b.ResetTimer()
		for range b.N {
			f.now += f.scheduler.placement.minRoundInterval(len(f.scheduler.cluster.machines))
			f.scheduler.now = f.clock()
			f.scheduler.autoscaler.lastScaleOutAt = 0
			f.scheduler.autoscaler.scaleOut(&f.scheduler.cluster, f.scheduler.reconciler.Reconciler, f.scheduler.placePending())
			f.scheduler.TakeEffects()
		}
	})
}

// heapGrowth is by how many bytes the heap grows for what build returns.
func heapGrowth(build func() any) float64 {
	before := heapBytes()
	built := build()
	after := heapBytes()
	runtime.KeepAlive(built)
	return after - before
}

// heapBytes is the size of the heap after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkMemory reports the memory for each machine of a full fleet with its six tasks,
// and for each ended job that is remembered.
func BenchmarkMemory(b *testing.B) {
	const machines, ended = 1024, 20000
	for range b.N {
		fleet := heapGrowth(func() any { return newFleetHarness(b, machines).scheduler })
		jobs := heapGrowth(func() any {
			replica := NewReplica()
			for i := range ended {
				replica.CacheEnded(fmt.Sprintf("run-%06d", i), records.EndedJob{State: wire.JobDone, Done: 40, Tasks: 40, Class: "batch"})
			}
			return replica
		})
		b.ReportMetric(fleet/machines, "B/machine")
		b.ReportMetric(jobs/ended, "B/ended-job")
	}
}

// A heartbeat without changes allocates no more than when the bound was set: two thousand
// machines send hundreds of them a second.
func TestAllocationsOfUnchangedHeartbeat(t *testing.T) {
	const maxAllocations = 7
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
	if allocs > maxAllocations {
		t.Errorf("%.0f allocations, over %d", allocs, maxAllocations)
	}
	t.Logf("%.0f allocations", allocs)
}
