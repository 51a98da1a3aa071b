package reconcile

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
	for s := range observationCount {
		for bits := range 1 << 6 {
			has := func(i int) bool { return bits&(1<<i) != 0 }
			all = append(all, Evidence{s, has(0), has(1), has(2), has(3), has(4), has(5)})
		}
	}
	return all
}

// Each attempt gets one class and one action, and none that a rule forbids: a task is
// placed again only on proof, and an attempt is stopped or adopted for a reason.
func TestClassifyObeysEveryRule(t *testing.T) {
	seen := map[Class]int{}
	for _, e := range allEvidence() {
		v := Classify(e)
		needed := e.JobIsLive && !e.TaskIsDone
		seen[v.Class]++
		wrong := ""
		switch {
		case v.Class == None || v.Class >= classCount || v.Action >= actionCount:
			wrong = "no verdict"
		case v.Action == Replace && (e.Observation != Absent && e.Observation != Ended || !needed || e.HasDuplicate):
			wrong = "placed again without proof, or though not needed"
		case v.Action == Adopt && (e.Recorded || e.HasDuplicate || !needed || !e.MachineAllowed || e.OverQuota):
			wrong = "adopted against a rule"
		case v.Action == Keep && (!e.Recorded || !needed):
			wrong = "kept though nobody needs it"
		case v.Action == Stop && e.Observation != Active && (e.Observation != Unreported || e.JobIsLive):
			wrong = "stopped though it does not run"
		case e.Observation == Active && !needed && v.Action != Stop:
			wrong = "runs on though its job has ended"
		case e.Observation == Completed && needed && v.Action != RecordDone:
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

// inventory is a generated cluster: what the records say, and what its workers will list.
type inventory struct {
	expected, reported map[Attempt]Evidence // reported ones only of workers that send heartbeats
	silent             map[string]bool
	machines           []string
}

func generateInventory(t *rapid.T) inventory {
	inv := inventory{expected: map[Attempt]Evidence{}, reported: map[Attempt]Evidence{}, silent: map[string]bool{}}
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
			} else if e.Observation == Unreported || e.Observation == Absent {
				continue // nobody could know of it
			}
			if !inv.silent[name] {
				inv.reported[a] = e
			}
		}
	}
	return inv
}

// reportMachine hands all that a worker lists to the reconciler, as a scheduler does, and
// says how many operations followed.
func (inv inventory) reportMachine(r *Reconciler, now time.Duration, machine string, unproven map[Attempt]bool) (operations int) {
	for a, e := range inv.reported {
		v := Classify(e)
		if a.Machine != machine || v.Class == MissingUnproven || e.Recorded && !unproven[a] {
			continue
		}
		delete(unproven, a)
		if v.Class == Confirmed {
			r.ConfirmAttempt(now, a.Machine)
			continue
		}
		if !r.AddDifference(now, Difference{Attempt: a, Class: v.Class, Action: v.Action, Recorded: e.Recorded}) {
			continue
		}
		switch v.Action {
		case Stop:
			r.AwaitStop()
			r.CountOperation(now, Operation{StopOperation, a.Machine, a.Task, a.Number})
			r.StopProven(now)
			operations++
		case Replace:
			r.CountOperation(now, Operation{StartOperation, "another", a.Task, a.Number + 100})
			operations++
		}
	}
	r.ConfirmMachine(now, machine)
	return operations
}

// Over generated inventories: every attempt is in exactly one class, each operation belongs
// to one difference, a second pass over the same heartbeats finds nothing and leads to
// nothing, phases only go forward, and nothing is held back for longer than the bounds.
func TestReconciliationOfGeneratedInventories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		inv := generateInventory(t)
		config := Config{Enabled: true, Cold: rapid.Bool().Draw(t, "cold"), HeartbeatInterval: 2 * time.Second, WorkerLease: 30 * time.Second, CloudRate: 5}
		r := New(0, config)
		unproven := map[Attempt]bool{}
		for a := range inv.expected {
			r.ExpectAttempt(a.Machine)
			unproven[a] = true
		}
		for _, m := range inv.machines {
			r.ExpectMachine(m)
		}
		r.CloudListed(0)
		operations, phase := 0, r.Phase()
		step := func(now time.Duration) {
			r.Advance(now)
			if r.Phase() < phase {
				t.Fatalf("from %v back to %v", phase, r.Phase())
			}
			phase = r.Phase()
		}
		for i, m := range rapid.Permutation(inv.machines).Draw(t, "order") {
			if !inv.silent[m] {
				operations += inv.reportMachine(r, time.Duration(i)*time.Second, m, unproven)
				step(time.Duration(i) * time.Second)
			}
		}
		first := r.Status(10 * time.Second)
		for _, m := range inv.machines {
			if again := inv.reportMachine(r, 11*time.Second, m, unproven); !inv.silent[m] && again != 0 {
				t.Fatalf("%s: %d operations in a second pass", m, again)
			}
		}
		unrecorded := 0
		for _, e := range inv.reported {
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
		total, attributed := 0, 0
		for _, c := range first.Operations {
			total, attributed = total+c.Total, attributed+c.Attributed
		}
		// What comes after the reconciliation is settled is late, and no operation.
		if total != attributed || total > operations || phase != Settled && total != operations {
			t.Fatalf("%d operations counted, %d attributed, %d given", total, attributed, operations)
		}
		for _, m := range inv.machines {
			if r.MayHaveCapacity(m, 0) && config.CollectBound() <= 11*time.Second {
				t.Fatalf("%s is waited for after the bound", m)
			}
		}
		step(config.WorkerLease)
		if r.AwaitsCapacity() || r.HoldsIdleReleases() || r.HoldsRecoveredWork() || len(inv.machines) > 0 && r.HoldsRelease(config.WorkerLease, inv.machines[0]) {
			t.Fatal("something is held back after the lease")
		}
		step(config.WorkerLease + tuning.SettleGrace)
		if phase != Settled {
			t.Fatalf("still %v after the last bound", phase)
		}
	})
}

// What is held back, and until when; and with the setting off, or after a failover that a
// controller survived, nothing that would make the failover slower.
func TestWhatReconciliationHoldsBack(t *testing.T) {
	const machine, other = "n-1", "n-2"
	begin := func(enabled, cold bool) *Reconciler {
		r := New(0, Config{Enabled: enabled, Cold: cold, HeartbeatInterval: time.Second, WorkerLease: 20 * time.Second})
		r.ExpectAttempt(machine)
		r.ExpectMachine(other)
		r.CloudListed(0)
		r.AddDifference(0, Difference{Attempt: Attempt{other, "run-000001/0", 1}, Class: Unrecorded, Action: Adopt})
		r.ConfirmMachine(0, other)
		return r
	}
	for _, tc := range []struct {
		name                             string
		enabled, cold                    bool
		capacity, unanswered, kept, work bool
	}{
		{"off", false, true, false, false, false, false},
		{"failover", true, false, true, false, false, true},
		{"cold restart", true, true, true, true, true, true},
	} {
		r := begin(tc.enabled, tc.cold)
		now := time.Second
		if got := r.MayHaveCapacity(machine, 0); got != tc.capacity {
			t.Errorf("%s: capacity of a machine that is probed: %v", tc.name, got)
		}
		if got := r.MayHaveCapacity(machine, 1); got != tc.unanswered {
			t.Errorf("%s: capacity of one that did not answer: %v", tc.name, got)
		}
		if r.MayHaveCapacity(other, 0) {
			t.Errorf("%s: a confirmed machine is waited for", tc.name)
		}
		if got := r.HoldsRelease(now, machine); got != tc.kept {
			t.Errorf("%s: kept: %v", tc.name, got)
		}
		if r.HoldsRelease(20*time.Second-tuning.EarlyReleaseMargin, machine) {
			t.Errorf("%s: kept though its lease has expired", tc.name)
		}
		if got := r.HoldsRecoveredWork(); got != tc.work {
			t.Errorf("%s: work held after a task without a record: %v", tc.name, got)
		}
		if got := r.HoldsTeamLimits(); got != tc.kept {
			t.Errorf("%s: team limits held: %v", tc.name, got)
		}
	}
	r := begin(true, true)
	r.ControllerSurvived()
	if r.HoldsRelease(time.Second, machine) || r.MayHaveCapacity(machine, 1) {
		t.Error("held as after a cold restart though a controller survived")
	}
}

// Calls to the cloud are paced until the reconciliation is settled, and free afterwards.
func TestCloudCallsArePaced(t *testing.T) {
	r := New(0, Config{Enabled: true, HeartbeatInterval: time.Second, WorkerLease: 20 * time.Second, CloudRate: 4})
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
	if most := int(4*tuning.ReconcileCloudRateShare*10) + tuning.ReconcileCloudBurst; calls > most || calls < most-2 {
		t.Errorf("%d calls in 10 s, wanted about %d", calls, most)
	}
	r.Advance(time.Minute)
	for range 1000 {
		if !r.TakeCloudCall(time.Minute) {
			t.Fatal("paced after the reconciliation")
		}
	}
}

// The list of differences is bounded, and says so; pages and filters hold.
func TestDifferencesAreBounded(t *testing.T) {
	r := New(0, Config{HeartbeatInterval: time.Second, WorkerLease: 20 * time.Second})
	const found = tuning.MaxListedDifferences + 10
	for i := range found {
		class := []Class{Unrecorded, Obsolete}[i%2]
		r.AddDifference(0, Difference{Attempt: Attempt{"n-1", "run-000001/0", uint64(i)}, Class: class, Action: Drop})
	}
	if s := r.Status(0); s.Differences != found || s.DifferencesDropped != 10 {
		t.Errorf("%d differences, %d not kept", s.Differences, s.DifferencesDropped)
	}
	page := r.Differences(Obsolete, 3, 2)
	if len(page) != 2 || page[0].Number != 7 || page[1].Number != 9 {
		t.Errorf("page: %+v", page)
	}
	if rest := r.Differences(None, tuning.MaxListedDifferences-1, 100); len(rest) != 1 {
		t.Errorf("last page: %d", len(rest))
	}
}
