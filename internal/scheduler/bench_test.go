package scheduler

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/wire"
)

// benchmarkSizes runs a benchmark with fleets of 256, 1024 and 4096 machines.
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

// BenchmarkHeartbeat measures a heartbeat in which nothing has changed. Its cost grows with the
// machine's tasks, and does not depend on the size of the fleet.
func BenchmarkHeartbeat(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, f *fleetHarness) {
		for i := range b.N {
			heartbeat := f.newHeartbeat(f.machineNames[i%len(f.machineNames)])
			if _, ok := f.scheduler.Heartbeat(f.clock(), heartbeat); !ok {
				b.Fatal("the heartbeat is not answered")
			}
			f.scheduler.Settle(f.clock())
			f.scheduler.TakeEffects()
		}
	})
}

// BenchmarkTick measures a tick, which scans every machine once.
func BenchmarkTick(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, f *fleetHarness) {
		for range b.N {
			f.refreshHeartbeats()
			f.scheduler.Tick(f.clock())
			f.scheduler.TakeEffects()
		}
	})
}

// BenchmarkPlacementRound measures a placement round with 25 waiting tasks for each machine.
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

// BenchmarkNewTerm measures the start of a term, in which the new leader reads each record once.
func BenchmarkNewTerm(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, f *fleetHarness) {
		for i := range b.N {
			f.startTerm(100 + uint64(i))
		}
	})
}

// The fleet harness places six tasks on each machine, as the benchmarks assume.
func TestFleetHarnessPlacesSixTasksPerMachine(t *testing.T) {
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

// BenchmarkScaleOutBurst measures a placement round with the scale-out that follows, in a burst:
// all machines are full, one job for every eight machines waits, up to 512 in the largest fleet,
// and half as many machines again are booting.
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

// heapGrowth returns by how many bytes the value that build returns enlarges the heap.
func heapGrowth(build func() any) float64 {
	before := heapBytes()
	built := build()
	after := heapBytes()
	runtime.KeepAlive(built)
	return after - before
}

// heapBytes returns the size of the heap, in bytes, after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkMemory reports the memory for each machine of a full fleet with its six tasks, and
// for each ended job in the replica's cache.
func BenchmarkMemory(b *testing.B) {
	const machines, ended = 1024, 20000
	for range b.N {
		fleet := heapGrowth(func() any { return newFleetHarness(b, machines).scheduler })
		jobs := heapGrowth(func() any {
			replica := NewReplica()
			for i := range ended {
				replica.CacheEnded(fmt.Sprintf("run-%06d", i), EndedJob{Record: records.EndedJob{State: wire.JobDone, Done: 40, Tasks: 40, Class: "batch"}})
			}
			return replica
		})
		b.ReportMetric(fleet/machines, "B/machine")
		b.ReportMetric(jobs/ended, "B/ended-job")
	}
}

// A heartbeat without changes makes at most maxAllocations allocations: two thousand machines
// send hundreds of such heartbeats a second.
func TestAllocationsOfUnchangedHeartbeat(t *testing.T) {
	const maxAllocations = 7
	f := newFleetHarness(t, 64)
	name := f.machineNames[0]
	heartbeat := f.newHeartbeat(name)
	allocs := testing.AllocsPerRun(100, func() {
		heartbeat.Sequence++
		if _, ok := f.scheduler.Heartbeat(f.clock(), heartbeat); !ok {
			t.Fatal("the heartbeat is not answered")
		}
		f.scheduler.Settle(f.clock())
		f.scheduler.TakeEffects()
	})
	if allocs > maxAllocations {
		t.Errorf("%.0f allocations, over %d", allocs, maxAllocations)
	}
	t.Logf("%.0f allocations", allocs)
}
