package recovery

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yarrowgap/yarrowgap/internal/fixedseed"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m)) }

// allEvidence is every combination of what can be known of an attempt.
func allEvidence() (all []Evidence) {
	for s := range sightingCount {
		for bits := range 1 << 6 {
			has := func(i int) bool { return bits&(1<<i) != 0 }
			all = append(all, Evidence{s, has(0), has(1), has(2), has(3), has(4), has(5)})
		}
	}
	return all
}

// Each attempt gets one class and one action, and none that a rule forbids: a task is
// placed anew only by proof, and an attempt is stopped or adopted for a reason.
func TestVerdicts(t *testing.T) {
	seen := map[Class]int{}
	for _, e := range allEvidence() {
		v := Classify(e)
		needed := e.JobLive && !e.TaskDone
		seen[v.Class]++
		wrong := ""
		switch {
		case v.Class == None || v.Class >= classCount || v.Action >= actionCount:
			wrong = "no verdict"
		case v.Action == Replace && (e.Sighting != Absent && e.Sighting != Ended || !needed || e.Duplicate):
			wrong = "placed anew without proof, or though not needed"
		case v.Action == Adopt && (e.Recorded || e.Duplicate || !needed || !e.Allowed || e.OverLimit):
			wrong = "adopted against a rule"
		case v.Action == Keep && (!e.Recorded || !needed):
			wrong = "kept though nobody needs it"
		case v.Action == Stop && e.Sighting != Active && (e.Sighting != Unheard || e.JobLive):
			wrong = "stopped though it does not run"
		case e.Sighting == Active && !needed && v.Action != Stop:
			wrong = "runs on though its job is over"
		case e.Sighting == Completed && needed && v.Action != RecordDone:
			wrong = "its completion is lost"
		}
		if wrong != "" {
			t.Errorf("%+v: %v, %v: %s", e, v.Class, v.Action, wrong)
		}
	}
	for c := MissingUnproven; c < classCount; c++ {
		if parsed, ok := ParseClass(c.String()); seen[c] == 0 || !ok || parsed != c {
			t.Errorf("class %v: given %d times, parsed as %v", c, seen[c], parsed)
		}
	}
	if _, ok := ParseClass("none"); ok {
		t.Error("none is a class that operators can ask for")
	}
}

// inventory is a generated fleet: what the records say, and what its machines will.
type inventory struct {
	expected, observed map[Attempt]Evidence // observed ones only of machines that report
	silent             map[string]bool
	machines           []string
}

func drawInventory(t *rapid.T) inventory {
	inv := inventory{expected: map[Attempt]Evidence{}, observed: map[Attempt]Evidence{}, silent: map[string]bool{}}
	all := allEvidence()
	for i := range rapid.IntRange(0, 8).Draw(t, "machines") {
		name := fmt.Sprintf("n-%d", i)
		inv.machines = append(inv.machines, name)
		inv.silent[name] = rapid.IntRange(0, 4).Draw(t, "silent") == 0
		for k := range rapid.IntRange(0, 5).Draw(t, "attempts") {
			e := rapid.SampledFrom(all).Draw(t, "evidence")
			a := Attempt{name, fmt.Sprintf("run-%06d/%d", i, k), uint64(k + 1)}
			if e.Recorded {
				inv.expected[a] = e
			} else if e.Sighting == Unheard || e.Sighting == Absent {
				continue // nobody could know of it
			}
			if !inv.silent[name] {
				inv.observed[a] = e
			}
		}
	}
	return inv
}

// report hands all that a machine tells to the recovery, as a leader does, and says how
// many orders followed from it.
func (inv inventory) report(r *Reconciler, now time.Duration, machine string, open map[Attempt]bool) (orders int) {
	for a, e := range inv.observed {
		v := Classify(e)
		if a.Machine != machine || v.Class == MissingUnproven || e.Recorded && !open[a] {
			continue
		}
		delete(open, a)
		if v.Class == Confirmed {
			r.Confirmed(now, a.Machine)
			continue
		}
		if !r.Found(now, Difference{Attempt: a, Class: v.Class, Action: v.Action, Recorded: e.Recorded}) {
			continue
		}
		switch v.Action {
		case Stop:
			r.AwaitStop()
			r.Ordered(now, Order{OrderStop, a.Machine, a.Task, a.Number})
			r.Stopped(now)
			orders++
		case Replace:
			r.Ordered(now, Order{OrderStart, "another", a.Task, a.Number + 100})
			orders++
		}
	}
	r.Heard(now, machine)
	return orders
}

// Over generated inventories: every attempt is in exactly one class, each order belongs
// to one difference, a second pass over the same reports finds nothing and orders nothing,
// phases only go forward, and nothing is held back for longer than the bounds.
func TestInventories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		inv := drawInventory(t)
		config := Config{Enabled: true, Cold: rapid.Bool().Draw(t, "cold"), Report: 2 * time.Second, Lease: 30 * time.Second, CloudRate: 5}
		r := New(0, config)
		open := map[Attempt]bool{}
		for a := range inv.expected {
			r.ExpectAttempt(a.Machine)
			open[a] = true
		}
		for _, m := range inv.machines {
			r.ExpectMachine(m)
		}
		r.Listed(0)
		orders, phase := 0, r.Phase()
		step := func(now time.Duration) {
			r.Advance(now)
			if r.Phase() < phase {
				t.Fatalf("from %v back to %v", phase, r.Phase())
			}
			phase = r.Phase()
		}
		for i, m := range rapid.Permutation(inv.machines).Draw(t, "order") {
			if !inv.silent[m] {
				orders += inv.report(r, time.Duration(i)*time.Second, m, open)
				step(time.Duration(i) * time.Second)
			}
		}
		first := r.Status(10 * time.Second)
		for _, m := range inv.machines {
			if again := inv.report(r, 11*time.Second, m, open); !inv.silent[m] && again != 0 {
				t.Fatalf("%s: %d orders in a second pass", m, again)
			}
		}
		unrecorded := 0
		for _, e := range inv.observed {
			if !e.Recorded {
				unrecorded++
			}
		}
		classified := 0
		for _, n := range r.Status(12 * time.Second).Classes {
			classified += n
		}
		if classified != len(inv.expected)+unrecorded {
			t.Fatalf("%d attempts in classes, there are %d and %d: %+v", classified, len(inv.expected), unrecorded, first.Classes)
		}
		total, traced := 0, 0
		for _, c := range first.Orders {
			total, traced = total+c.Total, traced+c.Traced
		}
		// What comes after the recovery is settled is counted as late, and not as an order.
		if total != traced || total > orders || phase != Settled && total != orders {
			t.Fatalf("%d orders counted, %d traced, %d given", total, traced, orders)
		}
		for _, m := range inv.machines {
			if r.MayHaveRoom(m, false) && config.CollectWait() <= 11*time.Second {
				t.Fatalf("%s is waited for after the bound", m)
			}
		}
		step(config.Lease)
		if r.AwaitsRoom() || r.HoldsIdleReturns() || r.HoldsRecoveredWork() || len(inv.machines) > 0 && r.HoldsReturn(config.Lease, inv.machines[0]) {
			t.Fatal("something is held back after the lease")
		}
		step(config.Lease + tuning.SettleGrace)
		if phase != Settled {
			t.Fatalf("still %v after the last bound", phase)
		}
	})
}

// What is held back, while it is; and with the setting off, or under a leader whose
// predecessor was outlived, nothing that would cost a failover time.
func TestHolds(t *testing.T) {
	const machine, other = "n-1", "n-2"
	begin := func(enabled, cold bool) *Reconciler {
		r := New(0, Config{Enabled: enabled, Cold: cold, Report: time.Second, Lease: 20 * time.Second})
		r.ExpectAttempt(machine)
		r.ExpectMachine(other)
		r.Listed(0)
		r.Found(0, Difference{Attempt: Attempt{other, "run-000001/0", 1}, Class: Unrecorded, Action: Adopt})
		r.Heard(0, other)
		return r
	}
	for _, tc := range []struct {
		name                         string
		enabled, cold                bool
		room, unanswered, kept, work bool
	}{
		{"off", false, true, false, false, false, false},
		{"failover", true, false, true, false, false, true},
		{"cold restart", true, true, true, true, true, true},
	} {
		r := begin(tc.enabled, tc.cold)
		now := time.Second
		if got := r.MayHaveRoom(machine, false); got != tc.room {
			t.Errorf("%s: room of a machine that is asked: %v", tc.name, got)
		}
		if got := r.MayHaveRoom(machine, true); got != tc.unanswered {
			t.Errorf("%s: room of one that did not answer: %v", tc.name, got)
		}
		if r.MayHaveRoom(other, false) {
			t.Errorf("%s: a machine that was heard is waited for", tc.name)
		}
		if got := r.HoldsReturn(now, machine); got != tc.kept {
			t.Errorf("%s: kept: %v", tc.name, got)
		}
		if r.HoldsReturn(20*time.Second-tuning.ReleaseAhead, machine) {
			t.Errorf("%s: kept though its lease has ended", tc.name)
		}
		if got := r.HoldsRecoveredWork(); got != tc.work {
			t.Errorf("%s: work held after a task without a record: %v", tc.name, got)
		}
		if got := r.HoldsTeamLimits(); got != tc.kept {
			t.Errorf("%s: team limits held: %v", tc.name, got)
		}
	}
	r := begin(true, true)
	r.SetWarm()
	if r.HoldsReturn(time.Second, machine) || r.MayHaveRoom(machine, true) {
		t.Error("held as after a cold restart though a controller outlived it")
	}
}

// Calls to the cloud are paced until the recovery is settled, and free afterwards.
func TestPacing(t *testing.T) {
	r := New(0, Config{Enabled: true, Report: time.Second, Lease: 20 * time.Second, CloudRate: 4})
	r.ExpectAttempt("n-1")
	calls := 0
	for now := time.Duration(0); now < 10*time.Second; now += 100 * time.Millisecond {
		for r.CloudCallReady(now) && calls < 1000 {
			if !r.TakeCloudCall(now) {
				t.Fatal("ready, and not taken")
			}
			calls++
		}
	}
	if most := int(4*tuning.RecoveryCloudShare*10) + tuning.RecoveryCloudBurst; calls > most || calls < most-2 {
		t.Errorf("%d calls in 10 s, wanted about %d", calls, most)
	}
	r.Advance(time.Minute)
	for range 1000 {
		if !r.TakeCloudCall(time.Minute) {
			t.Fatal("paced after the recovery")
		}
	}
}

// The list of differences is bounded, and says so; pages and filters hold.
func TestDifferencesAreBounded(t *testing.T) {
	r := New(0, Config{Report: time.Second, Lease: 20 * time.Second})
	const found = tuning.DifferencesKept + 10
	for i := range found {
		class := []Class{Unrecorded, Obsolete}[i%2]
		r.Found(0, Difference{Attempt: Attempt{"n-1", "run-000001/0", uint64(i)}, Class: class, Action: Drop})
	}
	if s := r.Status(0); s.Differences != found || s.NotKept != 10 {
		t.Errorf("%d differences, %d not kept", s.Differences, s.NotKept)
	}
	page := r.Differences(Obsolete, 3, 2)
	if len(page) != 2 || page[0].Number != 7 || page[1].Number != 9 {
		t.Errorf("page: %+v", page)
	}
	if rest := r.Differences(None, tuning.DifferencesKept-1, 100); len(rest) != 1 {
		t.Errorf("last page: %d", len(rest))
	}
}
