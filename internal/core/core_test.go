package core_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yarrowgap/yarrowgap/internal/fixedseed"
	"github.com/yarrowgap/yarrowgap/internal/store"
	"github.com/yarrowgap/yarrowgap/wire"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m)) }

// Whatever is lost, late, repeated, cut or killed, no rule is broken; and once
// the troubles end, every accepted array is completed.
func TestRulesHoldUnderFailures(t *testing.T) {
	starts := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		w.lose = rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(t, "lose")
		w.hold = rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(t, "hold")
		w.repeat = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "repeat")
		w.copies = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "copies")
		w.settings.Policy.Recovery = rapid.Bool().Draw(t, "recovery")
		w.users(140 * time.Second)
		w.troubles(150 * time.Second)
		w.watchWaiting(230 * time.Second)
		w.run(550 * time.Second)
		if len(w.rules.Broken) > 0 {
			t.Fatalf("broken:\n%s", strings.Join(w.rules.Broken[:min(5, len(w.rules.Broken))], "\n"))
		}
		for _, j := range w.jobs {
			state := w.poll(j.ID)
			if state == wire.JobPending && !j.Service() {
				t.Fatalf("%s of %d tasks is not done, %d on machines\n%s", j.ID, j.Tasks, w.rules.On(j.ID), w.explain(j.ID))
			}
			if state == wire.JobPending && w.rules.On(j.ID) != j.Tasks {
				t.Fatalf("service %s has %d of %d replicas", j.ID, w.rules.On(j.ID), j.Tasks)
			}
			if state == wire.JobCancelled && w.rules.On(j.ID) != 0 {
				t.Fatalf("cancelled %s still has %d tasks", j.ID, w.rules.On(j.ID))
			}
		}
		starts += w.rules.Starts
	})
	if starts < 1000 {
		t.Fatalf("the worlds started %d tasks: too few to show anything", starts)
	}
}

func (w *world) explain(id string) string {
	for _, n := range w.nodes {
		if n.leader != nil {
			return fmt.Sprintf("%+v\nwaiting: %+v\nmachines: %+v", n.leader.Job(w.coreNow(), id), n.leader.Waiting(w.coreNow(), "", 10), n.leader.Machines(w.coreNow(), "", 50))
		}
	}
	return "no leader"
}

// The checker has to be able to fail: a cloud that says that machines are gone
// while they run on makes tasks run twice, and that must be seen.
func TestCheckerCatchesABrokenWorld(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(seed)
		w.lying = true
		w.lose = 0.02
		w.users(140 * time.Second)
		w.every(5*time.Second, func() {
			// Cut from everything but kept alive by nobody: without the
			// release being true, its tasks run on until its lease ends.
			w.cut[w.names[w.rng.IntN(len(w.names))]] = w.now + 30*time.Second
		})
		for _, wk := range w.workers {
			wk.LongLease()
		}
		w.run(150 * time.Second)
		for _, b := range w.rules.Broken {
			if strings.Contains(b, "ran_twice") {
				return
			}
		}
	}
	t.Fatal("a cloud that lies about releases went unnoticed in 20 worlds")
}

// A quiet world serves at once: no trouble, every job done, nothing re-probed.
func TestQuietWorld(t *testing.T) {
	w := newWorld(3)
	w.trouble = false
	w.users(60 * time.Second)
	w.run(200 * time.Second)
	if len(w.rules.Broken) > 0 {
		t.Fatal(w.rules.Broken[0])
	}
	for _, j := range w.jobs {
		if s := w.poll(j.ID); s == wire.JobPending && !j.Service() {
			t.Errorf("%s: %s", j.ID, w.explain(j.ID))
		}
	}
	for _, n := range w.nodes {
		if n.leader == nil {
			continue
		}
		if c := n.leader.Counters(); c.ProbeRetry != 0 || c.ProbeGiveUp != 0 || c.Finished == 0 || c.Preempted > c.Finished/2 {
			// Many stops for few completions: room is made and lost again.
			t.Errorf("counters of a quiet world: %+v", c)
		}
	}
	if n := len(w.state.Range(w.now, store.JobPrefix, "", 1000).Items); n > 12 {
		t.Errorf("%d records of live jobs are left", n)
	}
}

// A fleet: 2400 machines, services and arrays of up to 400 tasks, and failures of
// hundreds at once: machines that die, that fall deaf and that are cut off, a zone
// that is cut off while controllers end, all controllers at once right after an
// outage of the state service. No rule is broken, everything accepted runs, and the
// calls that go to machines stay in proportion to them.
func TestFleetThroughMassFailures(t *testing.T) {
	w := newWorldOf(11, fleetWorld)
	w.copies = 0.01
	n := 0
	submit := func(count int, j wire.Job) {
		for range count {
			n++
			j := j
			j.ID, j.Class, j.Image, j.ImageGB = fmt.Sprintf("run-%06d", n), "c", fmt.Sprintf("img-%d", n%6), 1
			j.Team = []string{"red", "blue"}[n%2]
			w.submit(&j)
		}
	}
	services := wire.Job{Shape: wire.ShapeService, Rank: wire.RankProduction, Tasks: 9, CPUs: 2, MemoryGB: 3, Scatter: true}
	arrays := wire.Job{Shape: wire.ShapeArray, Rank: wire.RankNormal, Tasks: 400, CPUs: 2, MemoryGB: 3, EstimateS: 8, Spot: true}
	at := func(d time.Duration, f func()) { w.after(d*time.Second, f) }
	at(3, func() { submit(100, services); submit(20, arrays) })
	at(30, func() { submit(20, arrays) })
	some := func(f func(name string)) {
		for range 300 {
			f(w.names[w.rng.IntN(len(w.names))])
		}
	}
	crash := func(d time.Duration) {
		for _, node := range w.nodes {
			node.crash(d)
		}
	}
	at(20, func() { some(func(name string) { w.workers[name].Kill() }) })
	at(35, func() { some(func(name string) { w.deaf[name] = w.now + 30*time.Second }) })
	at(45, func() {
		w.zoneCut["b"] = w.now + 42*time.Second
		for _, node := range w.nodes {
			if w.zoneOf(node.name) == "b" {
				node.cut = w.zoneCut["b"]
			}
		}
	})
	at(55, func() { w.nodes[0].crash(time.Second); w.nodes[2].crash(100 * time.Millisecond) })
	at(60, func() { submit(20, arrays); w.cancel("run-000001"); w.cancel("run-000101") })
	at(95, func() { w.state.SetDown(w.now, true) })
	at(103, func() { w.state.SetDown(w.now, false); crash(200 * time.Millisecond) })
	at(115, func() { some(func(name string) { w.cut[name] = w.now + 20*time.Second }) })
	at(120, func() { crash(2 * time.Second) })
	at(150, func() { w.trouble = false })
	w.run(280 * time.Second)
	if len(w.rules.Broken) > 0 {
		t.Fatalf("broken:\n%s", strings.Join(w.rules.Broken[:min(5, len(w.rules.Broken))], "\n"))
	}
	for _, j := range w.jobs {
		switch state := w.poll(j.ID); {
		case state == wire.JobCancelled && w.rules.On(j.ID) == 0:
		case state == wire.JobDone && !j.Service():
		case state == wire.JobPending && j.Service() && w.rules.On(j.ID) == j.Tasks:
		default:
			t.Fatalf("%s is %s with %d of %d tasks on machines\n%s", j.ID, state, w.rules.On(j.ID), j.Tasks, w.explain(j.ID))
		}
	}
	if w.rules.Starts < 24_000 {
		t.Errorf("%d starts: too few to show anything", w.rules.Starts)
	}
	t.Logf("%d starts, %d direct calls", w.rules.Starts, w.direct)
	if most := 20 * w.size.machines; w.direct > most {
		t.Errorf("%d direct calls, not under %d: a storm", w.direct, most)
	}
}
