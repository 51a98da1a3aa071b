package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Machines that came up before the term and stand idle have no record. A new
// leader, who learns of them from the list, must not take them for machines
// that never came up.
func TestIdleMachinesSurviveFailover(t *testing.T) {
	h := newHarness(t, false, nil, nil)
	list := []wire.ListedMachine{{Name: "n-1", Address: "n-1:1", Type: "box", Zone: "a", State: wire.MachineRunning, AgeS: 900}}
	h.scheduler.MachinesListed(h.clock(), list)
	h.advance(2 * time.Second)
	if len(h.releases) != 0 {
		t.Fatalf("given back: %v", h.releases)
	}
	h.heartbeat("n-1")
	h.advance(30*time.Second, "n-1")
	if len(h.releases) != 0 {
		t.Fatalf("given back although it reports: %v", h.releases)
	}
}

// A silent machine's tasks are placed again only after the cloud's answer to
// its release; a refused release changes nothing.
func TestTasksOfUnresponsiveMachineRestartAfterItsRelease(t *testing.T) {
	h := newHarness(t, false, nil, nil)
	h.bringUp("n-1", "n-2", "n-6")
	h.submit(wire.Job{ID: "run-000001", Tasks: 1, CPUs: 1, Shape: wire.ShapeService, Priority: wire.PriorityProduction})
	on := h.calls[0].Machine
	h.answerAll(CallExecuted)
	rest := []string{}
	for _, n := range []string{"n-1", "n-2", "n-6"} {
		if n != on {
			rest = append(rest, n)
		}
	}
	for range 15 {
		h.advance(time.Second, rest...)
		h.answerAll(CallLost)
	}
	if len(h.releases) != 1 || h.releases[0][0] != on {
		t.Fatalf("released: %v", h.releases)
	}
	if s := h.startCommands(); len(s) != 0 {
		t.Fatalf("placed before the release was answered: %v", s)
	}
	// Heard before the cloud refuses the release: it is alive, and stays.
	h.heartbeat(on, h.runningTasks(on)...)
	h.scheduler.Released(h.clock(), h.releases[0], ReleaseRefused)
	h.releases = nil
	h.advance(2*time.Second, rest...)
	if len(h.releases) != 0 {
		t.Fatalf("given back though heard: %v", h.releases)
	}
	for range 10 {
		h.advance(time.Second, rest...)
		h.answerAll(CallLost)
	}
	if len(h.releases) != 1 || len(h.startCommands()) != 0 {
		t.Fatalf("after a refused release: %v, %v", h.releases, h.startCommands())
	}
	h.scheduler.Released(h.clock(), h.releases[0], ReleaseDone)
	h.advance(time.Second, rest...)
	if s := h.startCommands(); len(s) != 1 {
		t.Fatalf("not placed after the release: %v", s)
	}
}

// What the cloud had none of is asked for again as soon as its rate allows: four
// kinds here, at three tenths of the rate.
func TestScaleOutRetriesAfterCapacityBackoff(t *testing.T) {
	for rate, want := range map[float64]time.Duration{0: tuning.MaxCapacityBackoff, 0.1: tuning.MaxCapacityBackoff, 4: time.Second * 10 / 3, 1000: tuning.MinCapacityBackoff} {
		h := newHarness(t, false, nil, nil)
		h.scheduler.autoscaler.listed, h.scheduler.settings.CloudRate = true, rate
		h.submit(wire.Job{ID: "run-000001", Tasks: 1, CPUs: 8})
		if len(h.provisionRequests) == 0 {
			t.Fatal("nothing rented")
		}
		r := h.provisionRequests[0].Request
		for _, other := range h.provisionRequests[1:] {
			h.scheduler.Provisioned(h.clock(), other.Request.RequestID, ProvisionRefused, nil)
		}
		h.scheduler.Provisioned(h.clock(), r.RequestID, ProvisionNoCapacity, nil)
		if got := h.scheduler.autoscaler.unavailableUntil[offer{r.Type, r.Zone, r.Spot}] - h.now; got.Round(time.Millisecond) != want.Round(time.Millisecond) {
			t.Errorf("rate %v: asked again after %v, not %v", rate, got, want)
		}
	}
}

// Nothing is given back or rented by a leader whose lease may have ended: one that
// stood still for minutes finds every machine silent, and its successor works with
// them. If the lease turns out to hold, as after an outage, the silence was not the
// machines': they get the time that they would have had, and go only then.
func TestNoScalingAfterLeaseExpiry(t *testing.T) {
	h := newHarness(t, false, nil, nil)
	h.scheduler.autoscaler.listed = true
	h.bringUp("n-000001", "n-000002")
	h.advance(tuning.TickInterval, "n-000001", "n-000002")
	h.provisionRequests = nil
	h.scheduler.leaseHeldUntil = h.now + tuning.LeaderLeaseTTL
	h.now += time.Minute
	h.submit(wire.Job{ID: "run-000001", Tasks: 9, CPUs: 8})
	h.scheduler.Tick(h.clock())
	h.settle()
	if len(h.releases)+len(h.provisionRequests) != 0 {
		t.Fatalf("given back %v, rented %v", h.releases, h.provisionRequests)
	}
	h.scheduler.LeaseHeldUntil(h.now + time.Hour)
	h.advance(5*time.Second, "n-000001")
	if len(h.releases) != 0 || len(h.provisionRequests) == 0 {
		t.Errorf("with the lease renewed: given back %v, rented %v", h.releases, h.provisionRequests)
	}
	h.advance(12*time.Second, "n-000001")
	if len(h.releases) != 1 || len(h.releases[0]) != 1 || h.releases[0][0] != "n-000002" {
		t.Errorf("a lease later: given back %v", h.releases)
	}
}

// A leader that no worker reaches any more resigns long before their leases end,
// where there are enough machines to tell; with a few it waits for several reports,
// and time in which the process stood still is no silence.
func TestIsolatedLeaderResigns(t *testing.T) {
	silent := func(machines int, step time.Duration) time.Duration {
		h := newHarness(t, false, nil, nil)
		h.scheduler.settings.HeartbeatInterval, h.scheduler.settings.WorkerLease = 10*time.Second, 2*time.Minute
		for i := range machines {
			h.bringUp(fmt.Sprintf("n-%06d", i))
		}
		begun := h.now
		for h.now-begun < 2*time.Minute {
			h.now += step
			h.scheduler.Tick(h.clock())
			if h.scheduler.TakeEffects().Resign != "" {
				break
			}
		}
		return h.now - begun
	}
	if s := silent(400, tuning.TickInterval); s > tuning.MinResignSilence+time.Second {
		t.Errorf("400 machines: resigned after %v", s)
	}
	if s := silent(2, tuning.TickInterval); s < 40*time.Second || s > 41*time.Second {
		t.Errorf("2 machines: resigned after %v", s)
	}
	if s := silent(400, time.Minute); s < 2*time.Minute {
		t.Errorf("a process that stood still resigned after %v", s)
	}
}

// Machines that do not answer leave places for questions to those that were not
// asked yet, and are asked less and less often.
func TestStatusProbesAreBounded(t *testing.T) {
	h := newHarness(t, false, nil, nil)
	n := 3 * tuning.MinConcurrentStatusProbes
	ask := func(from, to int) (list []wire.ListedMachine) {
		for i := from; i < to; i++ {
			list = append(list, wire.ListedMachine{Name: fmt.Sprintf("n-%06d", i), Type: "box", Zone: "a", Address: fmt.Sprintf("m%d:1", i), State: wire.MachineRunning})
		}
		return list
	}
	h.scheduler.MachinesListed(h.clock(), ask(0, n))
	h.now += 2 * h.scheduler.settings.HeartbeatInterval
	asked := map[string]int{}
	round := func() {
		h.scheduler.monitor.lastHeartbeatAt = h.now
		for _, m := range h.scheduler.cluster.machines {
			m.connectivity.lastHeartbeatAt = h.now
		}
		h.scheduler.Tick(h.clock())
		h.settle()
		if len(h.calls) > tuning.MinConcurrentStatusProbes {
			t.Fatalf("%d questions out", len(h.calls))
		}
	}
	h.scheduler.MachinesListed(h.clock(), ask(0, n)) // now they count as up
	for range 4 {
		round()
		for _, c := range h.calls {
			asked[c.Machine]++
		}
		h.answerAll(CallLost)
	}
	if len(asked) != n {
		t.Errorf("%d of %d machines asked", len(asked), n)
	}
	h.now += 16 * tuning.MinStatusProbeInterval
	round() // the silent ones hold their places
	if len(h.calls) != tuning.MinConcurrentStatusProbes/2 {
		t.Errorf("%d places held by machines that do not answer", len(h.calls))
	}
	h.scheduler.MachinesListed(h.clock(), ask(n, n+1))
	h.now += 2 * h.scheduler.settings.HeartbeatInterval
	h.scheduler.MachinesListed(h.clock(), ask(n, n+1))
	h.settle()
	if last := h.calls[len(h.calls)-1].Machine; last != fmt.Sprintf("n-%06d", n) {
		t.Errorf("the new machine waits; asked last: %s", last)
	}
}

// A machine that is silent and leaves questions unanswered is given back long before
// its lease must have ended: till then its tasks could start nowhere else. One that
// answers the questions stays, and so does one whose questions are still out, however
// often it left others unanswered before it was last heard.
func TestMachineWithUnansweredProbesIsReleasedEarly(t *testing.T) {
	h := newHarness(t, false, nil, nil)
	h.bringUp("n-1", "n-2", "n-3", "n-4", "n-5", "n-6")
	h.submit(wire.Job{ID: "run-000001", Tasks: 3, CPUs: 5})
	var on []string
	for _, m := range h.scheduler.sortedMachines() {
		if len(m.tasks) > 0 {
			on = append(on, m.name)
		}
	}
	if len(on) != 3 {
		t.Fatalf("tasks on %v", on)
	}
	h.answerAll(CallExecuted)
	h.scheduler.cluster.machines[on[2]].calls.unanswered = 5 // long ago: says nothing of now
	var rest []string
	for _, n := range []string{"n-1", "n-2", "n-3", "n-4", "n-5", "n-6"} {
		if !slices.Contains(on, n) {
			rest = append(rest, n)
		}
	}
	begun := h.now
	for h.now-begun < h.scheduler.settings.WorkerLease*3/4 {
		h.advance(tuning.TickInterval, rest...)
		calls := h.calls
		h.calls = nil
		for _, c := range calls {
			switch c.Machine {
			case on[0]:
				h.answer(c, CallExecuted)
			case on[2]:
				h.calls = append(h.calls, c) // still out
			default:
				h.answer(c, CallLost)
			}
		}
	}
	if len(h.releases) != 1 || len(h.releases[0]) != 1 || h.releases[0][0] != on[1] {
		t.Errorf("given back: %v, not only %s", h.releases, on[1])
	}
}

// Of a zone that is silent as a whole, machines whose replicas may have no more room
// elsewhere are kept for longer: they are there, with their images, when the zone is
// back. A new leader counts from when its process last heard the zone.
func TestPartitionedZoneKeepsMachinesWhoseTasksCannotMove(t *testing.T) {
	given := func(scatter bool, heard time.Duration, again bool) time.Duration {
		h := newHarness(t, false, nil, nil)
		h.scheduler.settings.CancellationBound = 24 * time.Second
		h.bringUp("n-1", "n-2", "n-6", "n-7")
		h.submit(wire.Job{ID: "run-000001", Tasks: 4, CPUs: 1, Shape: wire.ShapeService, Priority: wire.PriorityProduction, SpreadZones: scatter})
		h.answerAll(CallExecuted)
		if h.scheduler.cluster.machines["n-6"].tasks == nil || len(h.scheduler.cluster.machines["n-6"].tasks)+len(h.scheduler.cluster.machines["n-7"].tasks) != 2 {
			t.Fatal("the replicas are not spread")
		}
		if heard > 0 {
			h.scheduler.ZoneLastSeen("b", h.now-heard)
		}
		if again {
			h.heartbeat("n-6", h.runningTasks("n-6")...)
		}
		begun := h.now
		for len(h.releases) == 0 && h.now-begun < time.Minute {
			h.advance(tuning.TickInterval, "n-1", "n-2")
			h.answerAll(CallLost)
		}
		return h.now - begun
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
func TestMachinesOfRecoveredZoneAreNotReleased(t *testing.T) {
	h := newHarness(t, false, nil, nil)
	h.bringUp("n-1", "n-2", "n-6", "n-7", "n-8")
	h.submit(wire.Job{ID: "run-000001", Tasks: 2, CPUs: 8})
	h.submit(wire.Job{ID: "run-000002", Tasks: 2, CPUs: 8, Team: "blue"})
	h.answerAll(CallExecuted)
	if len(h.scheduler.cluster.machines["n-8"].tasks)+len(h.scheduler.cluster.machines["n-7"].tasks) == 0 {
		t.Fatal("nothing runs in the zone")
	}
	until := func(t time.Duration, names ...string) {
		for end := h.now + t; h.now < end; {
			h.now += tuning.TickInterval
			for _, n := range names {
				h.heartbeat(n, h.runningTasks(n)...)
			}
			h.scheduler.Tick(h.clock())
			h.settle()
			h.answerAll(CallLost)
		}
	}
	until(h.scheduler.settings.WorkerLease+5*time.Second, "n-1", "n-2")
	until(3*time.Second, "n-1", "n-2", "n-6", "n-7")
	if len(h.releases) != 0 {
		t.Fatalf("given back: %v", h.releases)
	}
	until(h.scheduler.settings.WorkerLease, "n-1", "n-2", "n-6", "n-7")
	if len(h.releases) != 1 || h.releases[0][0] != "n-8" {
		t.Errorf("given back: %v", h.releases)
	}
}

// A zone whose machines are silent but for a newcomer is cut off, not dead: its
// machines are not given back with what runs there.
func TestPartitionedZoneWithNewMachineIsKept(t *testing.T) {
	h := newHarness(t, false, nil, nil)
	zone := []string{"n-6", "n-7", "n-8"} // in zone b, see view
	h.bringUp(append([]string{"n-1", "n-2"}, zone...)...)
	h.advance(h.scheduler.settings.WorkerLease-time.Second, "n-1", "n-2")
	h.scheduler.MachinesListed(h.clock(), []wire.ListedMachine{{Name: "n-9", Type: "box", Zone: "b", Address: "n-9:1", State: wire.MachineRunning}})
	h.advance(5*time.Second, "n-1", "n-2")
	if len(h.releases) != 0 {
		t.Errorf("given back: %v", h.releases)
	}
	h.advance(time.Duration(float64(h.scheduler.settings.WorkerLease)*tuning.ZonePartitionLeases), "n-1", "n-2")
	if len(h.releases) == 0 {
		t.Error("never given back")
	}
}

// Machines that should have come up by now are replaced before their patience is
// over, unless hardly any come up: then boots are slow everywhere, and renting more
// and more would not end. Those that never come up go back in the end.
func TestDelayedBootsAreReplaced(t *testing.T) {
	for _, tc := range []struct{ come, more int }{{5, 1}, {4, 2}, {3, 3}, {2, 0}, {0, 0}} {
		h := newHarness(t, false, nil, nil)
		h.scheduler.autoscaler.listed = true
		h.scheduler.settings.Policy.HeadroomShare = 0
		h.scheduler.settings.Teams["red"] = TeamQuota{CPUs: 48, CPUsMax: 48}
		h.submit(wire.Job{ID: "run-000001", Tasks: 6, CPUs: 8, EstimatedRunS: 1000})
		asked := 0
		rented := func() {
			for _, r := range h.provisionRequests {
				var names []string
				for range r.Request.Count {
					asked++
					names = append(names, fmt.Sprintf("n-%06d", asked))
				}
				h.scheduler.Provisioned(h.clock(), r.Request.RequestID, ProvisionDone, names)
			}
			h.provisionRequests = nil
			h.settle()
		}
		for len(h.provisionRequests) > 0 {
			rented()
		}
		if asked != 6 {
			t.Fatalf("%d machines for six tasks that fill one each", asked)
		}
		var up []string
		for i := range tc.come {
			up = append(up, fmt.Sprintf("n-%06d", i+1))
		}
		h.advance(10*time.Second, up...)
		if rented(); asked != 6 {
			t.Fatalf("%d machines though the others are not late yet", asked)
		}
		for range 20 {
			h.advance(time.Second, up...)
			rented()
		}
		if asked-6 != tc.more {
			t.Errorf("with %d of 6 up, %d more were rented", tc.come, asked-6)
		}
		h.advance(40*time.Second, up...)
		back := 0
		for _, names := range h.releases {
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
func TestReleasingMachineStillStopsCancelledTasks(t *testing.T) {
	for _, before := range []bool{true, false} {
		h := newHarness(t, false, nil, nil)
		h.bringUp("n-1")
		h.submit(wire.Job{ID: "run-000001", Tasks: 3, CPUs: 1})
		h.answerAll(CallExecuted)
		h.heartbeat("n-1", h.runningTasks("n-1")...)
		cancel := func() { h.scheduler.Cancelled(h.clock(), []string{"run-000001"}) }
		if before {
			cancel()
			h.settle()
			h.answerAll(CallLost)
		}
		m := h.scheduler.cluster.machines["n-1"]
		m.cloud.failed = true // by the cloud's list
		h.advance(2*h.scheduler.settings.HeartbeatInterval + tuning.TickInterval)
		if m.phase != machineReleasing {
			t.Fatal("not given back")
		}
		h.scheduler.Released(h.clock(), []string{"n-1"}, ReleaseUnknown)
		if !before {
			cancel()
			h.settle()
		}
		h.calls = nil
		stopped := map[string]bool{}
		for _, o := range h.heartbeat("n-1", h.runningTasks("n-1")...).Commands {
			if o.Verb == wire.VerbStop {
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
func TestEveryLeaseRenewalStopsCancelledTasks(t *testing.T) {
	for _, recovered := range []bool{false, true} {
		h := newHarness(t, false, nil, nil)
		h.bringUp("n-1")
		job := wire.Job{ID: "run-000001", Tasks: 3, CPUs: 1, Team: "red", Shape: wire.ShapeArray, Priority: wire.PriorityNormal, Image: "img"}
		h.submit(job)
		h.answerAll(CallExecuted)
		on := h.runningTasks("n-1")
		token := h.fencingToken("n-1")
		if recovered {
			var storedRecords []wire.KeyValue
			for key, it := range h.items {
				if strings.HasPrefix(key, records.BatchPrefix) {
					storedRecords = append(storedRecords, it)
				}
			}
			rec := records.Job{Job: job, Cancelled: true}
			h = newHarness(t, false, map[string]*LiveJob{job.ID: {Record: &rec, ModRevision: 90}}, storedRecords)
			h.sequences["n-1"] = 100
		} else {
			h.scheduler.Cancelled(h.clock(), []string{job.ID})
			h.settle()
		}
		if len(on) != 3 || len(h.calls) != 1 {
			t.Fatalf("%d tasks, %d direct calls", len(on), len(h.calls))
		}
		for range 4 {
			h.now += tuning.StopResendInterval / 8
			reply, ok := h.scheduler.Heartbeat(h.clock(), h.newHeartbeat("n-1", token, on...))
			stops := 0
			for _, o := range reply.Commands {
				if o.Verb == wire.VerbStop {
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
func TestSmallCPUShareSpacesRoundsAndScans(t *testing.T) {
	rounds := func(share float64) (placed, looked, rented int) {
		f := newFleetHarness(t, 400)
		f.scheduler.settings.CPUShare = share
		for i := range 40 {
			f.submit(wire.Job{ID: fmt.Sprintf("run-3%05d", i), Shape: wire.ShapeArray, Priority: wire.PriorityNormal, Tasks: 30, CPUs: 16, MemoryGB: 3, EstimatedRunS: 40, Spot: true})
		}
		for range 400 {
			f.now += 5 * time.Millisecond
			was := [3]time.Duration{f.scheduler.placement.lastRoundAt, f.scheduler.monitor.scannedAt, f.scheduler.autoscaler.scaledOutAt}
			f.scheduler.monitor.lastHeartbeatAt = f.now
			for _, m := range f.scheduler.cluster.machines {
				m.connectivity.lastHeartbeatAt = f.now
			}
			f.scheduler.placement.due = true
			f.scheduler.Tick(f.clock())
			f.scheduler.TakeEffects()
			for i, at := range []time.Duration{f.scheduler.placement.lastRoundAt, f.scheduler.monitor.scannedAt, f.scheduler.autoscaler.scaledOutAt} {
				if at != was[i] {
					*[]*int{&placed, &looked, &rented}[i]++
				}
			}
		}
		return placed, looked, rented
	}
	placed, looked, rented := rounds(tuning.ReferenceCPUShare)
	if p, l, r := rounds(0); p != placed || l != looked || r != rented {
		t.Errorf("%d, %d and %d where the share is not known, %d, %d and %d with the usual one", p, l, r, placed, looked, rented)
	}
	p, l, r := rounds(tuning.ReferenceCPUShare / 4)
	if p*5 > placed*2 || l*3 > looked || r*3 > rented || p == 0 || l == 0 || r == 0 {
		t.Errorf("with a quarter of the share %d rounds, %d looks and %d at rentals; with all of it %d, %d and %d", p, l, r, placed, looked, rented)
	}
}

// With a small share of the processor, a new leader of hundreds of machines asks them no
// faster than the share allows, asks each in time, and none that is about to report.
func TestStatusProbesAreSpacedByCPUShare(t *testing.T) {
	const machines, share = 600, 0.072
	f := newFleetHarness(t, machines)
	f.cpuShare = share
	f.startTerm(60)
	f.statusProbes = 0
	f.settle()
	if f.statusProbes > tuning.MinConcurrentStatusProbes {
		t.Errorf("%d machines asked at once", f.statusProbes)
	}
	rate := tuning.MaxStatusProbeRate * share
	began, limit := f.now, time.Duration(2*machines/rate*float64(time.Second))
	for f.now < began+limit {
		f.now += tuning.TickInterval / 2
		f.scheduler.Tick(f.clock())
		f.now += tuning.TickInterval / 2
		f.settle()
		if most := tuning.MinConcurrentStatusProbes + (f.now-began).Seconds()*rate + 1; float64(f.statusProbes) > most {
			t.Fatalf("%d machines asked after %v, over %.0f", f.statusProbes, f.now-began, most)
		}
	}
	for _, m := range f.scheduler.cluster.machines {
		if !m.confirmed {
			t.Fatalf("%s was not asked within %v", m.name, limit)
		}
	}
}

// A worker to which our token is news reports at once: it is asked only if it does not.
func TestNoStatusProbeWhereHeartbeatIsExpectedSoon(t *testing.T) {
	f := newFleetHarness(t, 40)
	f.cpuShare = 0.072
	f.startTerm(60)
	f.settle()
	m := f.scheduler.cluster.machines[f.machineNames[len(f.machineNames)-1]]
	if m.confirmed {
		t.Fatal("asked before, though there are more machines than places")
	}
	f.now += time.Second // there are places again
	before := f.directCalls
	if _, ok := f.scheduler.Heartbeat(f.clock(), f.newHeartbeat(m.name)); !ok || m.calls.inFlight {
		t.Errorf("answered %v, asked at once %v", ok, m.calls.inFlight)
	}
	f.now += tuning.StatusProbeHoldOff
	f.scheduler.Settle(f.clock())
	f.scheduler.probeStatus(m)
	if !m.calls.inFlight || f.directCalls != before {
		t.Error("not asked though its report did not come")
	}
}
