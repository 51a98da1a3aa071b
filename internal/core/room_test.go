package core

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// besideRoom is how long no job may wait while a machine that fits has room and its
// team is under its limit.
const besideRoom = 90 * time.Second

// A job that has missed all its deadlines is finished where nothing else wants the
// room, however large its tasks are against the share that it gets ahead of others.
func TestShareOfOldJobsIsNoBound(t *testing.T) {
	for seed := range uint64(3) {
		rng := rand.New(rand.NewPCG(seed, 21))
		d := newDesk(t, false, nil, nil)
		d.l.cfg.Teams["red"] = Team{CPUs: 8, CPUsMax: 1000}
		c := newCrew(d, func(string, string) (time.Duration, string) {
			return time.Duration(50+rng.IntN(20)) * time.Second, wire.CauseDone
		})
		due := 30.0
		d.submit(wire.Job{ID: "run-000001", Tasks: 18, CPUs: float64(5 + rng.IntN(4)), EstimateS: 60, DueS: &due})
		for d.now < c.from+560*time.Second {
			c.work()
		}
		if j := d.l.jobs["run-000001"]; j != nil {
			t.Errorf("seed %d: %d of %d tasks done, %d on machines: %s", seed, j.nDone, j.spec.Tasks, j.nActive, j.why)
		}
	}
}

// Two jobs for which the same machine was freed do not take its room from each other
// for good, where a stop takes longer than the gap between two looks for room.
func TestRoomThatWasMadeIsUsed(t *testing.T) {
	for seed := range uint64(5) {
		rng := rand.New(rand.NewPCG(seed, 22))
		d := newDesk(t, false, nil, nil)
		d.l.cfg.Teams["red"] = Team{CPUs: 1000, CPUsMax: 1000}
		c := newCrew(d, func(string, string) (time.Duration, string) { return time.Hour, wire.CauseDone })
		c.slow = time.Duration(1+rng.IntN(4)) * time.Second
		d.submit(wire.Job{ID: "run-000001", Tasks: 3, CPUs: 8, Rank: wire.RankIdle, EstimateS: 60})
		c.work()
		c.work()
		for i := range 2 + rng.IntN(2) {
			d.submit(wire.Job{ID: fmt.Sprintf("run-%06d", 2+i), Tasks: 1, CPUs: 2, EstimateS: 60})
		}
		for from := d.now; d.now < from+besideRoom; {
			c.work()
		}
		for id, j := range d.l.jobs {
			if j.rank != idleRank && j.nActive == 0 {
				t.Errorf("seed %d: %s waits beside room: %s", seed, id, j.why)
			}
		}
	}
}

// A start that was lost is sent again before its job has waited for long, however far
// off its deadline is: the budget is hours for some.
func TestLostStartIsSentAgainInTime(t *testing.T) {
	for _, due := range []float64{60, 900, 4000, 100_000} {
		d := newDesk(t, false, nil, nil)
		d.up("n-1")
		d.submit(wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1, DueS: &due})
		lost := 0
		for end := d.now + 300*time.Second; d.now < end; {
			last := d.now
			for len(d.starts()) == 0 && d.now < end {
				d.pass(time.Second, "n-1")
			}
			if wait := d.now - last; wait > besideRoom/3 {
				t.Errorf("due in %v s: sent again after %v, having been lost %d times", due, wait, lost)
				break
			}
			if d.l.jobs["run-000001"].nActive == 0 {
				break // given up, and to be placed anew
			}
			lost++
			d.replied = nil
			d.answerAll(CallLost)
			d.report("n-1")
			d.replied = nil // nor does what the answer carried arrive
		}
	}
}

// What production waits for in vain is not kept from its team: its zone has no machine.
func TestProductionWithoutMachinesHoldsUpNobody(t *testing.T) {
	d := newDesk(t, false, nil, nil)
	c := newCrew(d, func(string, string) (time.Duration, string) { return 20 * time.Second, wire.CauseDone })
	d.submit(wire.Job{ID: "run-000001", Tasks: 14, CPUs: 1, Shape: wire.ShapeService, Rank: wire.RankProduction, Zone: "b"})
	d.submit(wire.Job{ID: "run-000002", Tasks: 8, CPUs: 4, EstimateS: 20})
	for d.now < c.from+besideRoom {
		c.work()
	}
	if j := d.l.jobs["run-000002"]; j != nil && j.nDone == 0 && j.running == 0 {
		t.Errorf("nothing of it runs: %s", j.why)
	}
	stopped := d.l.count.Preempted
	for d.now < c.from+3*besideRoom {
		c.work()
	}
	if j := d.l.jobs["run-000002"]; j != nil {
		t.Errorf("%d of %d tasks done", j.nDone, j.spec.Tasks)
	}
	if n := d.l.count.Preempted - stopped; n > 0 {
		t.Errorf("%d of its tasks were stopped for what cannot start", n)
	}
}

// Images are fetched one after the other on a machine, but no job waits for its turn
// for long.
func TestFetchesOfOthersAreNotWaitedForLong(t *testing.T) {
	for seed := range uint64(3) {
		rng := rand.New(rand.NewPCG(seed, 23))
		d := newDesk(t, false, nil, nil)
		d.l.cfg.Teams["red"] = Team{CPUs: 1000, CPUsMax: 1000}
		c := newCrew(d, func(string, string) (time.Duration, string) { return time.Hour, wire.CauseDone })
		c.fetch = func() time.Duration { return time.Duration(60+rng.IntN(40)) * time.Second }
		for i := range 12 {
			d.submit(wire.Job{ID: fmt.Sprintf("run-%06d", i), Tasks: 1, CPUs: 1, EstimateS: 20, Image: fmt.Sprintf("img-%d", i), ImageGB: 60})
		}
		for d.now < c.from+besideRoom {
			c.work()
		}
		for id, j := range d.l.jobs {
			if j.nActive == 0 {
				t.Errorf("seed %d: %s waits: %s", seed, id, j.why)
			}
		}
	}
}

// A gang that fits on no set of machines that there are keeps none of them free.
func TestGangThatCannotFitKeepsNothing(t *testing.T) {
	d := newDesk(t, false, nil, nil)
	d.l.cfg.Teams["red"] = Team{CPUs: 1000, CPUsMax: 1000}
	c := newCrew(d, func(string, string) (time.Duration, string) { return 20 * time.Second, wire.CauseDone })
	d.submit(wire.Job{ID: "run-000001", Tasks: 4, CPUs: 8, Shape: wire.ShapeGang, EstimateS: 20})
	for d.now < c.from+tuning.BeginBy+5*time.Second {
		c.work()
	}
	d.submit(wire.Job{ID: "run-000002", Tasks: 6, CPUs: 2, EstimateS: 20})
	for from := d.now; d.now < from+besideRoom; {
		c.work()
	}
	if j := d.l.jobs["run-000002"]; j != nil {
		t.Errorf("%d of 6 tasks done, %d running: %s", j.nDone, j.running, j.why)
	}
}

// A gang whose tasks belong together goes to the zone that has room for all of them.
func TestGangGoesWhereAllOfItFits(t *testing.T) {
	for _, roomy := range []string{"a", "b"} {
		d := newDesk(t, false, nil, nil)
		d.l.cfg.Teams["red"] = Team{CPUs: 1000, CPUsMax: 1000}
		names := []string{"n-1", "n-6", "n-7"} // after n-5: zone b
		if roomy == "a" {
			names = []string{"n-1", "n-2", "n-6"}
		}
		d.up(names...)
		d.submit(wire.Job{ID: "run-000001", Tasks: 2, CPUs: 8, Shape: wire.ShapeGang, Together: true})
		d.pass(5*time.Second, names...)
		if n := len(d.starts()); n != 2 {
			t.Errorf("room in zone %s: %d of 2 members started", roomy, n)
		}
	}
}
