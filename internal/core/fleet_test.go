package core

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/store"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Machines that came up before the term and stand idle have no record. A new
// leader, who learns of them from the list, must not take them for machines
// that never came up.
func TestIdleMachinesSurviveAFailover(t *testing.T) {
	d := newDesk(t, false, nil, nil)
	list := []wire.ListedMachine{{Name: "n-1", Address: "n-1:1", Type: "box", Zone: "a", State: wire.MachineRunning, AgeS: 900}}
	d.l.Listed(d.clock(), list)
	d.pass(2 * time.Second)
	if len(d.rel) != 0 {
		t.Fatalf("given back: %v", d.rel)
	}
	d.report("n-1")
	d.pass(30*time.Second, "n-1")
	if len(d.rel) != 0 {
		t.Fatalf("given back although it reports: %v", d.rel)
	}
}

// A silent machine's tasks are placed again only after the cloud's answer to
// its release; a refused release changes nothing.
func TestSilentMachine(t *testing.T) {
	d := newDesk(t, false, nil, nil)
	d.up("n-1", "n-2", "n-6")
	d.submit(wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1, Shape: wire.ShapeService, Rank: wire.RankProduction})
	on := d.calls[0].Machine
	d.answerAll(CallExecuted)
	rest := []string{}
	for _, n := range []string{"n-1", "n-2", "n-6"} {
		if n != on {
			rest = append(rest, n)
		}
	}
	for range 15 {
		d.pass(time.Second, rest...)
		d.answerAll(CallLost)
	}
	if len(d.rel) != 1 || d.rel[0][0] != on {
		t.Fatalf("released: %v", d.rel)
	}
	if s := d.starts(); len(s) != 0 {
		t.Fatalf("placed before the release was answered: %v", s)
	}
	// Heard before the cloud refuses the release: it is alive, and stays.
	d.report(on, d.on(on)...)
	d.l.Released(d.clock(), d.rel[0], ReleaseRefused)
	d.rel = nil
	d.pass(2*time.Second, rest...)
	if len(d.rel) != 0 {
		t.Fatalf("given back though heard: %v", d.rel)
	}
	for range 10 {
		d.pass(time.Second, rest...)
		d.answerAll(CallLost)
	}
	if len(d.rel) != 1 || len(d.starts()) != 0 {
		t.Fatalf("after a refused release: %v, %v", d.rel, d.starts())
	}
	d.l.Released(d.clock(), d.rel[0], ReleaseDone)
	d.pass(time.Second, rest...)
	if s := d.starts(); len(s) != 1 {
		t.Fatalf("not placed after the release: %v", s)
	}
}

// What the cloud had none of is asked for again as soon as its rate allows: four
// kinds here, at three tenths of the rate.
func TestCapacityIsAskedForAgain(t *testing.T) {
	for rate, want := range map[float64]time.Duration{0: tuning.CapacityPause, 0.1: tuning.CapacityPause, 4: time.Second * 10 / 3, 1000: tuning.CapacityPauseLeast} {
		d := newDesk(t, false, nil, nil)
		d.l.listed, d.l.cfg.CloudRate = true, rate
		d.submit(wire.Job{ID: "run-000001", Tasks: 1, CPUs: 8})
		if len(d.rents) == 0 {
			t.Fatal("nothing rented")
		}
		r := d.rents[0].Request
		for _, other := range d.rents[1:] {
			d.l.Rented(d.clock(), other.Request.Name, RentRefused, nil)
		}
		d.l.Rented(d.clock(), r.Name, RentNone, nil)
		if got := d.l.noCap[offer{r.Type, r.Zone, r.Spot}] - d.now; got.Round(time.Millisecond) != want.Round(time.Millisecond) {
			t.Errorf("rate %v: asked again after %v, not %v", rate, got, want)
		}
	}
}

// Nothing is given back or rented by a leader whose lease may have ended: one that
// stood still for minutes finds every machine silent, and its successor works with
// them. If the lease turns out to hold, as after an outage, the silence was not the
// machines': they get the time that they would have had, and go only then.
func TestNoDealingsAfterTheLease(t *testing.T) {
	d := newDesk(t, false, nil, nil)
	d.l.listed = true
	d.up("n-000001", "n-000002")
	d.pass(tuning.TickEvery, "n-000001", "n-000002")
	d.rents = nil
	d.l.heldTo = d.now + tuning.LeaseTTL
	d.now += time.Minute
	d.submit(wire.Job{ID: "run-000001", Tasks: 9, CPUs: 8})
	d.l.Tick(d.clock())
	d.settle()
	if len(d.rel)+len(d.rents) != 0 {
		t.Fatalf("given back %v, rented %v", d.rel, d.rents)
	}
	d.l.Held(d.now + time.Hour)
	d.pass(5*time.Second, "n-000001")
	if len(d.rel) != 0 || len(d.rents) == 0 {
		t.Errorf("with the lease renewed: given back %v, rented %v", d.rel, d.rents)
	}
	d.pass(12*time.Second, "n-000001")
	if len(d.rel) != 1 || len(d.rel[0]) != 1 || d.rel[0][0] != "n-000002" {
		t.Errorf("a lease later: given back %v", d.rel)
	}
}

// A leader that no worker reaches any more resigns long before their leases end,
// where there are enough machines to tell; with a few it waits for several reports,
// and time in which the process stood still is no silence.
func TestLonelyLeader(t *testing.T) {
	silent := func(machines int, step time.Duration) time.Duration {
		d := newDesk(t, false, nil, nil)
		d.l.cfg.Report, d.l.cfg.Lease = 10*time.Second, 2*time.Minute
		for i := range machines {
			d.up(fmt.Sprintf("n-%06d", i))
		}
		begun := d.now
		for d.now-begun < 2*time.Minute {
			d.now += step
			d.l.Tick(d.clock())
			if d.l.Take().Resign != "" {
				break
			}
		}
		return d.now - begun
	}
	if s := silent(400, tuning.TickEvery); s > tuning.SilentLeast+time.Second {
		t.Errorf("400 machines: resigned after %v", s)
	}
	if s := silent(2, tuning.TickEvery); s < 40*time.Second || s > 41*time.Second {
		t.Errorf("2 machines: resigned after %v", s)
	}
	if s := silent(400, time.Minute); s < 2*time.Minute {
		t.Errorf("a process that stood still resigned after %v", s)
	}
}

// Machines that do not answer leave places for questions to those that were not
// asked yet, and are asked less and less often.
func TestQuestionsAreBounded(t *testing.T) {
	d := newDesk(t, false, nil, nil)
	n := 3 * tuning.QuestionsOut
	ask := func(from, to int) (list []wire.ListedMachine) {
		for i := from; i < to; i++ {
			list = append(list, wire.ListedMachine{Name: fmt.Sprintf("n-%06d", i), Type: "box", Zone: "a", Address: fmt.Sprintf("m%d:1", i), State: wire.MachineRunning})
		}
		return list
	}
	d.l.Listed(d.clock(), ask(0, n))
	d.now += 2 * d.l.cfg.Report
	asked := map[string]int{}
	round := func() {
		d.l.heardAny = d.now
		for _, m := range d.l.machines {
			m.heardAt = d.now
		}
		d.l.Tick(d.clock())
		d.settle()
		if len(d.calls) > tuning.QuestionsOut {
			t.Fatalf("%d questions out", len(d.calls))
		}
	}
	d.l.Listed(d.clock(), ask(0, n)) // now they count as up
	for range 4 {
		round()
		for _, c := range d.calls {
			asked[c.Machine]++
		}
		d.answerAll(CallLost)
	}
	if len(asked) != n {
		t.Errorf("%d of %d machines asked", len(asked), n)
	}
	d.now += 16 * tuning.QuestionPause
	round() // the silent ones hold their places
	if len(d.calls) != tuning.QuestionsOut/2 {
		t.Errorf("%d places held by machines that do not answer", len(d.calls))
	}
	d.l.Listed(d.clock(), ask(n, n+1))
	d.now += 2 * d.l.cfg.Report
	d.l.Listed(d.clock(), ask(n, n+1))
	d.settle()
	if last := d.calls[len(d.calls)-1].Machine; last != fmt.Sprintf("n-%06d", n) {
		t.Errorf("the new machine waits; asked last: %s", last)
	}
}

// A machine that is silent and leaves questions unanswered is given back long before
// its lease must have ended: till then its tasks could start nowhere else. One that
// answers the questions stays, and so does one whose questions are still out, however
// often it left others unanswered before it was last heard.
func TestUnansweredMachineGoesEarly(t *testing.T) {
	d := newDesk(t, false, nil, nil)
	d.up("n-1", "n-2", "n-3", "n-4", "n-5", "n-6")
	d.submit(wire.Job{ID: "run-000001", Tasks: 3, CPUs: 5})
	var on []string
	for _, m := range d.l.sorted() {
		if len(m.tasks) > 0 {
			on = append(on, m.name)
		}
	}
	if len(on) != 3 {
		t.Fatalf("tasks on %v", on)
	}
	d.answerAll(CallExecuted)
	d.l.machines[on[2]].unanswered = 5 // long ago: says nothing of now
	var rest []string
	for _, n := range []string{"n-1", "n-2", "n-3", "n-4", "n-5", "n-6"} {
		if !slices.Contains(on, n) {
			rest = append(rest, n)
		}
	}
	begun := d.now
	for d.now-begun < d.l.cfg.Lease*3/4 {
		d.pass(tuning.TickEvery, rest...)
		calls := d.calls
		d.calls = nil
		for _, c := range calls {
			switch c.Machine {
			case on[0]:
				d.answer(c, CallExecuted)
			case on[2]:
				d.calls = append(d.calls, c) // still out
			default:
				d.answer(c, CallLost)
			}
		}
	}
	if len(d.rel) != 1 || len(d.rel[0]) != 1 || d.rel[0][0] != on[1] {
		t.Errorf("given back: %v, not only %s", d.rel, on[1])
	}
}

// Of a zone that is silent as a whole, machines whose replicas may have no more room
// elsewhere are kept for longer: they are there, with their images, when the zone is
// back. A new leader counts from when its process last heard the zone.
func TestSilentZoneKeepsWhatCannotMove(t *testing.T) {
	given := func(scatter bool, heard time.Duration, again bool) time.Duration {
		d := newDesk(t, false, nil, nil)
		d.l.cfg.Cancel = 24 * time.Second
		d.up("n-1", "n-2", "n-6", "n-7")
		d.submit(wire.Job{ID: "run-000001", Tasks: 4, CPUs: 1, Shape: wire.ShapeService, Rank: wire.RankProduction, Scatter: scatter})
		d.answerAll(CallExecuted)
		if d.l.machines["n-6"].tasks == nil || len(d.l.machines["n-6"].tasks)+len(d.l.machines["n-7"].tasks) != 2 {
			t.Fatal("the replicas are not spread")
		}
		if heard > 0 {
			d.l.ZoneHeard("b", d.now-heard)
		}
		if again {
			d.report("n-6", d.on("n-6")...)
		}
		begun := d.now
		for len(d.rel) == 0 && d.now-begun < time.Minute {
			d.pass(tuning.TickEvery, "n-1", "n-2")
			d.answerAll(CallLost)
		}
		return d.now - begun
	}
	if s := given(false, 0, false); s < 21*time.Second || s > 24*time.Second {
		t.Errorf("movable replicas: given back after %v", s)
	}
	if s := given(true, 0, false); s < 29*time.Second || s > 32*time.Second {
		t.Errorf("replicas that cannot move: given back after %v", s)
	}
	if s := given(false, 10*time.Second, false); s > 14*time.Second {
		t.Errorf("silent for 10 s before the term: given back after %v", s)
	}
	if s := given(false, 10*time.Second, true); s < 21*time.Second {
		t.Errorf("heard in the term: given back after %v", s)
	}
}

// When a silent zone is back, its machines are heard one by one: those that come a
// little later are not given back meanwhile.
func TestZoneBack(t *testing.T) {
	d := newDesk(t, false, nil, nil)
	d.up("n-1", "n-2", "n-6", "n-7", "n-8")
	d.submit(wire.Job{ID: "run-000001", Tasks: 2, CPUs: 8})
	d.submit(wire.Job{ID: "run-000002", Tasks: 2, CPUs: 8, Team: "blue"})
	d.answerAll(CallExecuted)
	if len(d.l.machines["n-8"].tasks)+len(d.l.machines["n-7"].tasks) == 0 {
		t.Fatal("nothing runs in the zone")
	}
	until := func(t time.Duration, names ...string) {
		for end := d.now + t; d.now < end; {
			d.now += tuning.TickEvery
			for _, n := range names {
				d.report(n, d.on(n)...)
			}
			d.l.Tick(d.clock())
			d.settle()
			d.answerAll(CallLost)
		}
	}
	until(d.l.cfg.Lease+5*time.Second, "n-1", "n-2")
	until(3*time.Second, "n-1", "n-2", "n-6", "n-7")
	if len(d.rel) != 0 {
		t.Fatalf("given back: %v", d.rel)
	}
	until(d.l.cfg.Lease, "n-1", "n-2", "n-6", "n-7")
	if len(d.rel) != 1 || d.rel[0][0] != "n-8" {
		t.Errorf("given back: %v", d.rel)
	}
}

// A zone whose machines are silent but for a newcomer is cut off, not dead: its
// machines are not given back with what runs there.
func TestSilentZoneWithANewcomer(t *testing.T) {
	d := newDesk(t, false, nil, nil)
	zone := []string{"n-6", "n-7", "n-8"} // in zone b, see view
	d.up(append([]string{"n-1", "n-2"}, zone...)...)
	d.pass(d.l.cfg.Lease-time.Second, "n-1", "n-2")
	d.l.Listed(d.clock(), []wire.ListedMachine{{Name: "n-9", Type: "box", Zone: "b", Address: "n-9:1", State: wire.MachineRunning}})
	d.pass(5*time.Second, "n-1", "n-2")
	if len(d.rel) != 0 {
		t.Errorf("given back: %v", d.rel)
	}
	d.pass(time.Duration(float64(d.l.cfg.Lease)*tuning.ZoneSilence), "n-1", "n-2")
	if len(d.rel) == 0 {
		t.Error("never given back")
	}
}

// Machines that should have come up by now are replaced before their patience is
// over, unless hardly any come up: then boots are slow everywhere, and renting more
// and more would not end. Those that never come up go back in the end.
func TestLateBoots(t *testing.T) {
	for _, tc := range []struct{ come, more int }{{5, 1}, {4, 2}, {3, 3}, {2, 0}, {0, 0}} {
		d := newDesk(t, false, nil, nil)
		d.l.listed = true
		d.l.cfg.Policy.SpareShare = 0
		d.l.cfg.Teams["red"] = Team{CPUs: 48, CPUsMax: 48}
		d.submit(wire.Job{ID: "run-000001", Tasks: 6, CPUs: 8, EstimateS: 1000})
		asked := 0
		rented := func() {
			for _, r := range d.rents {
				var names []string
				for range r.Request.Count {
					asked++
					names = append(names, fmt.Sprintf("n-%06d", asked))
				}
				d.l.Rented(d.clock(), r.Request.Name, RentDone, names)
			}
			d.rents = nil
			d.settle()
		}
		for len(d.rents) > 0 {
			rented()
		}
		if asked != 6 {
			t.Fatalf("%d machines for six tasks that fill one each", asked)
		}
		var up []string
		for i := range tc.come {
			up = append(up, fmt.Sprintf("n-%06d", i+1))
		}
		d.pass(10*time.Second, up...)
		if rented(); asked != 6 {
			t.Fatalf("%d machines though the others are not late yet", asked)
		}
		for range 20 {
			d.pass(time.Second, up...)
			rented()
		}
		if asked-6 != tc.more {
			t.Errorf("with %d of 6 up, %d more were rented", tc.come, asked-6)
		}
		d.pass(40*time.Second, up...)
		back := 0
		for _, names := range d.rel {
			back += len(names)
		}
		if back != 6-tc.come {
			t.Errorf("with %d of 6 up, %d were given back", tc.come, back)
		}
	}
}

// A machine that is being given back is kept alive until the release is answered, which
// may take long: what is cancelled meanwhile, or was just before, is stopped with each
// answer all the same.
func TestCancelledOnAMachineBeingReleased(t *testing.T) {
	for _, before := range []bool{true, false} {
		d := newDesk(t, false, nil, nil)
		d.up("n-1")
		d.submit(wire.Job{ID: "run-000001", Tasks: 3, CPUs: 1})
		d.answerAll(CallExecuted)
		d.report("n-1", d.on("n-1")...)
		cancel := func() { d.l.Cancelled(d.clock(), []string{"run-000001"}) }
		if before {
			cancel()
			d.settle()
			d.answerAll(CallLost)
		}
		m := d.l.machines["n-1"]
		m.failed = true // by the cloud's list
		d.pass(2*d.l.cfg.Report + tuning.TickEvery)
		if m.phase != releasing {
			t.Fatal("not given back")
		}
		d.l.Released(d.clock(), []string{"n-1"}, ReleaseUnknown)
		if !before {
			cancel()
			d.settle()
		}
		d.calls = nil
		stopped := map[string]bool{}
		for _, o := range d.report("n-1", d.on("n-1")...).Commands {
			if o.Verb == wire.VerbHalt {
				stopped[o.Task] = true
			}
		}
		if len(stopped) != 3 {
			t.Errorf("cancelled before: %v; %d of 3 tasks are told to stop by an answer that keeps them alive", before, len(stopped))
		}
	}
}

// Each answer that renews the lease of a machine with cancelled tasks carries their
// stops: right after another stop that may be lost, and where a new leader has not
// heard the machine under its token yet. It may be the last that gets through.
func TestEachRenewalStopsWhatIsCancelled(t *testing.T) {
	for _, recovered := range []bool{false, true} {
		d := newDesk(t, false, nil, nil)
		d.up("n-1")
		job := wire.Job{ID: "run-000001", Tasks: 3, CPUs: 1, Team: "red", Shape: wire.ShapeArray, Rank: wire.RankNormal, Image: "img"}
		d.submit(job)
		d.answerAll(CallExecuted)
		on := d.on("n-1")
		token := d.token("n-1")
		if recovered {
			var records []wire.Item
			for key, it := range d.items {
				if strings.HasPrefix(key, store.BatchPrefix) {
					records = append(records, it)
				}
			}
			rec := store.JobRecord{Job: job, Cancelled: true}
			d = newDesk(t, false, map[string]*LiveJob{job.ID: {Record: &rec, Stamp: 90}}, records)
			d.ticks["n-1"] = 100
		} else {
			d.l.Cancelled(d.clock(), []string{job.ID})
			d.settle()
		}
		if len(on) != 3 || len(d.calls) != 1 {
			t.Fatalf("%d tasks, %d direct calls", len(on), len(d.calls))
		}
		for range 4 {
			d.now += tuning.HaltRepeat / 8
			reply, ok := d.l.Checkin(d.clock(), d.view("n-1", token, on...))
			stops := 0
			for _, o := range reply.Commands {
				if o.Verb == wire.VerbHalt {
					stops++
				}
			}
			if !ok || stops != 3 {
				t.Errorf("recovered: %v; an answer renews the lease and stops %d of 3 cancelled tasks", recovered, stops)
			}
		}
	}
}

// With a smaller share of the processor, rounds of placement, looks at all machines and
// looks at what to rent are further apart, by as much: counted here, not timed.
func TestSmallShareHasFewerRounds(t *testing.T) {
	rounds := func(share float64) (placed, looked, rented int) {
		f := newFleet(t, 400)
		f.l.cfg.CPUShare = share
		for i := range 40 {
			f.submit(wire.Job{ID: fmt.Sprintf("run-3%05d", i), Shape: wire.ShapeArray, Rank: wire.RankNormal, Tasks: 30, CPUs: 16, MemoryGB: 3, EstimateS: 40, Spot: true})
		}
		for range 400 {
			f.now += 5 * time.Millisecond
			was := [3]time.Duration{f.l.placedAt, f.l.lookedAt, f.l.rentAt}
			f.l.heardAny = f.now
			for _, m := range f.l.machines {
				m.heardAt = f.now
			}
			f.l.dirtyPlace = true
			f.l.Tick(f.clock())
			f.l.Take()
			for i, at := range []time.Duration{f.l.placedAt, f.l.lookedAt, f.l.rentAt} {
				if at != was[i] {
					*[]*int{&placed, &looked, &rented}[i]++
				}
			}
		}
		return placed, looked, rented
	}
	placed, looked, rented := rounds(tuning.UsualShare)
	if p, l, r := rounds(0); p != placed || l != looked || r != rented {
		t.Errorf("%d, %d and %d where the share is not known, %d, %d and %d with the usual one", p, l, r, placed, looked, rented)
	}
	p, l, r := rounds(tuning.UsualShare / 4)
	if p*5 > placed*2 || l*3 > looked || r*3 > rented || p == 0 || l == 0 || r == 0 {
		t.Errorf("with a quarter of the share %d rounds, %d looks and %d at rentals; with all of it %d, %d and %d", p, l, r, placed, looked, rented)
	}
}

// With a small share of the processor, a new leader of hundreds of machines asks them no
// faster than the share allows, asks each in time, and none that is about to report.
func TestQuestionsAreSpacedByTheShare(t *testing.T) {
	const machines, share = 600, 0.072
	f := newFleet(t, machines)
	f.share = share
	f.lead(60)
	f.asked = 0
	f.settle()
	if f.asked > tuning.QuestionsOut {
		t.Errorf("%d machines asked at once", f.asked)
	}
	rate := tuning.QuestionRate * share
	began, limit := f.now, time.Duration(2*machines/rate*float64(time.Second))
	for f.now < began+limit {
		f.now += tuning.TickEvery / 2
		f.l.Tick(f.clock())
		f.now += tuning.TickEvery / 2
		f.settle()
		if most := tuning.QuestionsOut + (f.now-began).Seconds()*rate + 1; float64(f.asked) > most {
			t.Fatalf("%d machines asked after %v, over %.0f", f.asked, f.now-began, most)
		}
	}
	for _, m := range f.l.machines {
		if !m.confirmed {
			t.Fatalf("%s was not asked within %v", m.name, limit)
		}
	}
}

// A worker to which our token is news reports at once: it is asked only if it does not.
func TestNoQuestionWhereAReportIsDue(t *testing.T) {
	f := newFleet(t, 40)
	f.share = 0.072
	f.lead(60)
	f.settle()
	m := f.l.machines[f.names[len(f.names)-1]]
	if m.confirmed {
		t.Fatal("asked before, though there are more machines than places")
	}
	f.now += time.Second // there are places again
	before := f.calls
	if _, ok := f.l.Checkin(f.clock(), f.report(m.name)); !ok || m.calling {
		t.Errorf("answered %v, asked at once %v", ok, m.calling)
	}
	f.now += tuning.AnswersSoon
	f.l.Settle(f.clock())
	f.l.askForReport(m)
	if !m.calling || f.calls != before {
		t.Error("not asked though its report did not come")
	}
}
