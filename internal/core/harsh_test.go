package core_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/standin"
	"github.com/yarrowgap/yarrowgap/wire"
)

// The world's own checks can fail: controllers that all stand still once the troubles are
// over leave jobs waiting beside room, and answer no question.
func TestWorldSeesWaitingAndForgottenJobs(t *testing.T) {
	w := newWorld(5)
	w.trouble = false
	w.rules.TroublesOver(0)
	w.run(10 * time.Second)
	job := func(id string) *wire.Job {
		return &wire.Job{ID: id, Class: "c", Team: "red", Shape: wire.ShapeArray, Rank: wire.RankNormal, Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1, EstimateS: 5}
	}
	w.submit(job("run-000001"))
	for _, n := range w.nodes {
		n.frozen = 10 * time.Minute
	}
	w.every(5*time.Second, func() { w.poll("run-000001") })
	w.run(115 * time.Second)
	all := strings.Join(w.rules.Broken, "\n")
	for _, rule := range []string{"left_waiting: run-000001", "forgotten: no question about run-000001"} {
		if !strings.Contains(all, rule) {
			t.Errorf("%q went unnoticed; broken: %s", rule, all)
		}
	}
}

// A machine that hangs keeps its tasks past its lease, until its worker resumes.
func TestHangingMachineKeepsItsTasks(t *testing.T) {
	for _, hang := range []time.Duration{3 * time.Second, 11 * time.Second, 13 * time.Second, 50 * time.Second} {
		rules := standin.NewRules(map[string]float64{"red": 8}, time.Minute)
		j := &wire.Job{ID: "run-000001", Team: "red", Shape: wire.ShapeArray, Tasks: 1, CPUs: 1, Image: "img"}
		rules.Submit(j)
		mt := wire.MachineType{Name: "small", CPUs: 8, MemoryGB: 8, FetchGBs: 1}
		wk := standin.NewWorker(0, 12*time.Second, "n-000001", mt, "a", false, rules, func(string) time.Duration { return 2 * time.Second }, func(string) bool { return false })
		wk.Reply(0, 0, 1, wire.CheckinReply{Token: 1, Commands: []wire.Command{{Verb: wire.VerbRun, Task: "run-000001/0", Attempt: 1}}})
		end := time.Second + hang
		for now := time.Second; now <= end; now += 100 * time.Millisecond {
			wk.Stand(now)
			if rules.On(j.ID) != 1 {
				t.Fatalf("hung for %v of %v: its task is gone", now-time.Second, hang)
			}
		}
		wk.Advance(end + time.Millisecond)
		if rules.Completed("run-000001/0") {
			t.Fatalf("after %v: its task went on while it hung", hang)
		}
		killed := end+time.Millisecond > 12*time.Second
		if gone := rules.On(j.ID) == 0; gone != killed || (wk.Session == 2) != killed {
			t.Fatalf("after %v: killed %v in session %d", hang, gone, wk.Session)
		}
	}
}

// meetsServices runs worlds with eight services, in which something happens after 20 s,
// and says what they break.
func meetsServices(seed uint64, until time.Duration, meet func(w *world)) string {
	w := newWorld(seed)
	for i := range 8 {
		w.after(time.Duration(i)*100*time.Millisecond, func() {
			w.submit(&wire.Job{ID: fmt.Sprintf("run-%06d", i), Class: "c", Team: []string{"red", "blue"}[i%2], Shape: wire.ShapeService,
				Rank: wire.RankProduction, Tasks: 3, CPUs: 1, MemoryGB: 2, Image: "img", ImageGB: 1})
		})
	}
	w.after(20*time.Second+w.between(0, 2000), func() { meet(w) })
	w.run(until)
	return strings.Join(w.rules.Broken, "\n")
}

// Machines hang for less than a lease and are given back; the deletion is held back on
// its way for longer than a cancellation has; the machines go on and report, and jobs that
// run there are cancelled.
func TestCancelledWhileItsMachineIsBeingReleased(t *testing.T) {
	for seed := range uint64(15) {
		b := meetsServices(seed, 140*time.Second, func(w *world) {
			w.releasesHeld = w.now + 70*time.Second
			back := w.now + w.between(7500, 10_500)
			for _, name := range w.names {
				if w.workers[name].Has("run-000003") || w.workers[name].Has("run-000002") {
					w.hung[name] = back
				}
			}
			w.after(w.between(11_000, 16_000), w.cancelSome)
		})
		if b != "" {
			t.Fatalf("seed %d: %s", seed, b)
		}
	}
}

// Machines hang past their lease, and their deletion is held back: until it is carried
// out, or their workers resume, their tasks are on them and start nowhere else.
func TestHungMachinesTasksStartElsewhereOnlyByProof(t *testing.T) {
	for seed := range uint64(15) {
		b := meetsServices(seed, 100*time.Second, func(w *world) {
			w.releasesHeld = w.now + w.between(25_000, 40_000)
			for _, name := range w.names {
				if w.workers[name].Has("run-000003") {
					w.hung[name] = w.now + w.between(13_000, 35_000)
				}
			}
		})
		if b != "" {
			t.Fatalf("seed %d: %s", seed, b)
		}
	}
}

// Machines come that nobody expects, by rentals that got no answer. Those that never come
// up are given back, though no answer ever named them, and the others are known: none is
// charged for long for nothing.
func TestUnexpectedMachinesAreReturned(t *testing.T) {
	for seed := range uint64(10) {
		w := newWorld(seed)
		w.run(10 * time.Second)
		var late []string
		for i := range 4 {
			w.after(w.between(0, 20_000), func() {
				late = append(late, w.bootIn([]time.Duration{never, 40 * time.Second, w.between(1, 2000), never}[i], w.types[i%2], "a", i%2 == 0))
			})
		}
		w.run(150 * time.Second)
		known := w.known()
		for _, name := range late {
			m := w.times[name]
			if m.gone == 0 && (m.up > w.now || !known[name]) {
				t.Errorf("seed %d: %s, which nobody expected and is up at %v, is charged for nothing after %v", seed, name, m.up, w.now-m.rented)
			}
		}
	}
}

// known are the machines that whoever leads has in its books.
func (w *world) known() map[string]bool {
	out := map[string]bool{}
	for _, n := range w.nodes {
		if n.leader != nil {
			for _, m := range n.leader.Machines(w.coreNow(), "", 500) {
				out[m.Name] = true
			}
		}
	}
	return out
}

// inFlight is how long in a world without troubles a task may still start after its
// job's cancellation was confirmed ("those whose start command was still in flight"): the
// leader's watch, up to 125 ms after, and the way of the stop, up to 20 ms.
const inFlight = 150 * time.Millisecond

// Without troubles no task starts after its job's cancellation was confirmed but what was
// in flight, though jobs of one task come four a second and a quarter of them is
// cancelled, mostly as they start.
func TestNothingStartsAfterAConfirmedCancellation(t *testing.T) {
	starts := 0
	for seed := range uint64(8) {
		w := newWorld(seed)
		w.trouble = false
		for i := range 160 {
			w.after(time.Duration(i)*250*time.Millisecond, func() {
				id, image := fmt.Sprintf("run-%06d", i), "img"
				if i%4 == 0 {
					image = fmt.Sprintf("img-%d", i) // nowhere yet: it is fetched first
				}
				w.submit(&wire.Job{ID: id, Class: "c", Team: []string{"red", "blue"}[i%2], Shape: wire.ShapeArray, Rank: wire.RankNormal,
					Tasks: 1, CPUs: 0.5, MemoryGB: 1, Image: image, ImageGB: 1, EstimateS: 8})
				if i%4 == 0 {
					w.after(w.between(0, 3500), func() { w.cancel(id) })
				}
			})
		}
		w.run(100 * time.Second)
		starts += w.rules.Starts
		if len(w.rules.Broken) > 0 {
			t.Errorf("seed %d: %s", seed, w.rules.Broken[0])
		}
		for _, s := range w.rules.LateStarts {
			if s.After > inFlight {
				t.Errorf("seed %d: %s starts %v after its job was confirmed as cancelled", seed, s.Task, s.After)
			}
		}
	}
	if starts < 400 {
		t.Errorf("%d starts: too few to show anything", starts)
	}
	t.Logf("%d starts", starts)
}
