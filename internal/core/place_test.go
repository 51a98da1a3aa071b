package core

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Under lasting overload the largest job, which a plan by deadlines gives up
// first, begins within four minutes and is finished; so is a gang that fits only
// on machines that are kept free for it.
func TestLargestAreServedUnderOverload(t *testing.T) {
	for seed := range uint64(3) {
		rng := rand.New(rand.NewPCG(seed, 1))
		d := newDesk(t, false, nil, nil)
		d.l.cfg.Teams["red"] = Team{CPUs: 8, CPUsMax: 1000}
		c := newCrew(d, func(string, string) (time.Duration, string) {
			return time.Duration(4+rng.IntN(9)) * time.Second, wire.CauseDone
		})
		due := 30.0
		d.submit(wire.Job{ID: "run-900000", Tasks: 120, CPUs: 2, EstimateS: 8, DueS: &due})
		for n := 0; d.now < c.from+900*time.Second; n++ {
			if n == 40 {
				d.submit(wire.Job{ID: "run-900001", Tasks: 2, CPUs: 8, EstimateS: 8, DueS: &due, Shape: wire.ShapeGang})
			}
			if rng.IntN(2) == 0 { // some two and a half times what fits
				d.submit(wire.Job{ID: fmt.Sprintf("run-%06d", n), Tasks: 2 + rng.IntN(9), CPUs: 2, EstimateS: 8, DueS: &due})
			}
			c.work()
		}
		for _, id := range []string{"run-900000", "run-900001"} {
			if at, ok := c.begun[id]; !ok || at > 240*time.Second {
				t.Fatalf("%s begins after %v", id, at)
			}
			if j := d.l.jobs[id]; j != nil {
				t.Fatalf("%s: %d of %d done after 15 minutes", id, j.nDone, j.spec.Tasks)
			}
		}
	}
}

// Idle work of a guest, in a cluster that work within other teams' guarantees keeps
// full, comes to stay within four minutes: it began again and again, and each time
// lost its room within seconds, which counts as no beginning.
func TestGuestComesToStay(t *testing.T) {
	d := newDesk(t, false, nil, nil)
	d.l.cfg.Teams["red"] = Team{CPUs: 1000, CPUsMax: 1000}
	d.l.cfg.Teams["guest"] = Team{CPUsMax: math.Inf(1)}
	rng := rand.New(rand.NewPCG(1, 1))
	c := newCrew(d, func(task, _ string) (time.Duration, string) {
		if strings.HasPrefix(task, "run-900000/") {
			return 300 * time.Second, wire.CauseDone
		}
		return time.Duration(4+rng.IntN(9)) * time.Second, wire.CauseDone
	})
	d.submit(wire.Job{ID: "run-900000", Team: "guest", Rank: wire.RankIdle, Tasks: 40, CPUs: 1, EstimateS: 300, CheckpointS: 30, SaveS: 3})
	for n := 0; d.now < c.from+280*time.Second; n++ {
		if n%3 > 0 {
			d.submit(wire.Job{ID: fmt.Sprintf("run-%06d", n), Tasks: 2 + rng.IntN(9), CPUs: 2, EstimateS: 8})
		}
		c.work()
		if use := d.l.use("guest").CPUs; d.now > c.from+tuning.BeginBy+10*time.Second && use > 4 {
			t.Fatalf("the guest has %v of 24 CPUs that others are guaranteed", use)
		}
	}
	if at, ok := c.stayed["run-900000"]; !ok || at > 240*time.Second {
		t.Errorf("the guest's job comes to stay after %v", at)
	}
}

// A service whose replicas failed on three machines over time, and run on others, is
// no job with a mistake: its missing replicas are placed at once. One stayed missing.
func TestServiceOutlivesFaultyMachines(t *testing.T) {
	d := newDesk(t, false, nil, nil)
	fail := map[string]bool{}
	c := newCrew(d, func(_, m string) (time.Duration, string) {
		if fail[m] {
			return time.Second, wire.CauseError
		}
		return time.Hour, wire.CauseDone
	})
	d.submit(wire.Job{ID: "run-000001", Tasks: 6, CPUs: 1, Shape: wire.ShapeService, Rank: wire.RankProduction})
	for i, m := range c.machines {
		for range 40 {
			c.work()
		}
		fail[m] = true
		for _, x := range c.on[m] {
			x.end, x.cause = d.now, wire.CauseError
		}
		for range 8 {
			c.work()
		}
		fail[m] = false
		if n := d.l.jobs["run-000001"]; n.nActive != 6 && n.retryAt <= d.now {
			t.Errorf("after the failures on %d machines %d of 6 replicas are placed", i+1, n.nActive)
		}
	}
	for range 40 {
		c.work()
	}
	if n := d.l.jobs["run-000001"].running; n != 6 {
		t.Errorf("%d of 6 replicas run: %+v", n, d.l.Job(d.clock(), "run-000001"))
	}
}

// What a job that waited for long gets ahead of others is no bound: with room for all
// of it, all of it runs. It had to wait until its first tasks had run for a while.
func TestLongWaitIsNoBound(t *testing.T) {
	d := newDesk(t, false, nil, nil)
	d.l.cfg.Teams["red"] = Team{CPUs: 1000, CPUsMax: 1000}
	c := newCrew(d, func(string, string) (time.Duration, string) { return tuning.BeginBy + 10*time.Second, wire.CauseDone })
	d.submit(wire.Job{ID: "run-000001", Tasks: 24, CPUs: 1, EstimateS: 100})
	c.work()
	d.submit(wire.Job{ID: "run-000002", Tasks: 20, CPUs: 1, EstimateS: 100})
	for d.now < c.from+tuning.BeginBy+15*time.Second {
		c.work()
	}
	if n := d.l.jobs["run-000002"].nActive; n != 20 {
		t.Errorf("%d of 20 tasks run where there is room for all", n)
	}
}

// A job that was submitted with a mistake fails wherever it runs: it is tried with one
// task at a time, holds nothing against machines and does not slow others. A machine
// that is faulty is avoided, since several jobs fail there that succeed elsewhere.
func TestMistakesAndFaultyMachines(t *testing.T) {
	d := newDesk(t, false, nil, nil)
	d.l.cfg.Teams["red"] = Team{CPUs: 1000, CPUsMax: 1000}
	faulty := false
	c := newCrew(d, func(task, m string) (time.Duration, string) {
		if task < "run-000005" || faulty && m == "n-2" {
			return time.Second, wire.CauseError
		}
		return 4 * time.Second, wire.CauseDone
	})
	for n := range 5 {
		d.submit(wire.Job{ID: fmt.Sprintf("run-%06d", n), Tasks: 60, CPUs: 1, EstimateS: 8})
	}
	for d.now < c.from+60*time.Second {
		c.work()
	}
	tried := c.starts
	came := map[string]time.Duration{}
	for n := range 30 {
		came[fmt.Sprintf("run-%06d", 100+n)] = d.now - c.from
		d.submit(wire.Job{ID: fmt.Sprintf("run-%06d", 100+n), Tasks: 2, CPUs: 2, EstimateS: 4})
		for range 4 {
			c.work()
		}
	}
	for d.now < c.from+240*time.Second {
		c.work()
	}
	if again := c.starts - tried - 60; again > 5*10 {
		t.Errorf("jobs with a mistake were started %d times in three minutes", again)
	}
	for _, m := range d.l.machines {
		if m.suspect > d.now {
			t.Errorf("%s counts as faulty", m.name)
		}
	}
	for id, at := range came {
		if begun, ok := c.begun[id]; !ok || d.l.jobs[id] != nil || begun-at > 2*time.Second {
			t.Errorf("%s, which came at %v, began at %v", id, at, begun)
		}
	}
	if l := d.l; l.likelyFaulty(l.jobs["run-000001"]) != true {
		t.Error("a job that fails everywhere is not doubted")
	}
	faulty = true
	for n := range 8 {
		d.submit(wire.Job{ID: fmt.Sprintf("run-%06d", 200+n), Tasks: 6, CPUs: 2, EstimateS: 4})
		for range 10 {
			c.work()
		}
	}
	for name, m := range d.l.machines {
		if avoided := m.suspect > d.now; avoided != (name == "n-2") {
			t.Errorf("%s avoided: %v", name, avoided)
		}
	}
}

// A production service gets room under its team's limit from its own team's
// lower work, and that room is not taken by others meanwhile.
func TestProductionUnderItsTeamsLimit(t *testing.T) {
	d := newDesk(t, false, nil, nil)
	d.up("n-1", "n-2", "n-3")
	d.submit(wire.Job{ID: "run-000001", Tasks: 30, CPUs: 1})
	d.answerAll(CallExecuted)
	if u := d.l.use("red").CPUs; u != 16 {
		t.Fatalf("team uses %v of 16", u)
	}
	d.submit(wire.Job{ID: "run-000002", Tasks: 2, CPUs: 1, Shape: wire.ShapeService, Rank: wire.RankProduction})
	for range 5 {
		d.answerAll(CallExecuted)
		d.now += tuning.PlaceGap
		d.settle()
	}
	if j := d.l.jobs["run-000002"]; j.running != 2 {
		t.Fatalf("%d of 2 replicas run", j.running)
	}
	if d.l.count.Preempted != 2 || d.l.use("red").CPUs > 16 {
		t.Fatalf("%d stops, team uses %v", d.l.count.Preempted, d.l.use("red").CPUs)
	}
}

// A gang is placed as a whole or not at all, and one member's end stops it.
func TestGang(t *testing.T) {
	d := newDesk(t, false, nil, nil)
	d.up("n-1")
	d.submit(wire.Job{ID: "run-000001", Tasks: 3, CPUs: 4, Shape: wire.ShapeGang})
	if len(d.starts()) != 0 || d.l.jobs["run-000001"].nActive != 0 {
		t.Fatal("part of a gang was placed")
	}
	d.up("n-2")
	d.pass(time.Second, "n-1", "n-2")
	if n := len(d.starts()); n != 3 {
		t.Fatalf("%d of 3 members started", n)
	}
	var lost wire.Command
	var where string
	for _, c := range d.calls {
		lost, where = c.Body.Commands[0], c.Machine
	}
	d.answerAll(CallExecuted)
	d.report(where, exited(lost, wire.CauseError))
	left := 0
	for _, a := range d.l.jobs["run-000001"].attempts() {
		if !a.halt {
			left++
		}
	}
	if left != 0 {
		t.Fatalf("%d members go on without the failed one", left)
	}
}
