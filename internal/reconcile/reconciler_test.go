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

// allEvidence returns every possible Evidence.
func allEvidence() (all []Evidence) {
	for observation := range observationCount {
		for bits := range 1 << 6 {
			has := func(i int) bool { return bits&(1<<i) != 0 }
			all = append(all, Evidence{observation, has(0), has(1), has(2), has(3), has(4), has(5)})
		}
	}
	return all
}

// Checks Classify for every possible evidence: each attempt gets a class and an action, a task is
// started again only if its attempt is proven to be gone, and an attempt is kept, stopped or
// adopted only if the rules allow it.
func TestClassifyObeysEveryRule(t *testing.T) {
	seen := map[Class]int{}
	for _, e := range allEvidence() {
		v := Classify(e)
		needed := e.JobIsLive && !e.TaskIsDone
		seen[v.Class]++
		violation := ""
		switch {
		case v.Class == None || v.Class >= classCount || v.Action >= actionCount:
			violation = "invalid class or action"
		case v.Action == Replace && (e.Observation != Absent && e.Observation != Ended || !needed || e.HasPreferredDuplicate):
			violation = "replaced without proof that it is gone, or although not needed"
		case v.Action == Adopt && (e.Recorded || e.HasPreferredDuplicate || !needed || !e.MachineAllowed || e.OverQuota):
			violation = "adopted although a rule forbids it"
		case v.Action == Keep && (!e.Recorded || !needed):
			violation = "kept although not recorded or not needed"
		case v.Action == Stop && e.Observation != Active && (e.Observation != Unreported || e.JobIsLive):
			violation = "stopped although not active"
		case e.Observation == Active && !needed && v.Action != Stop:
			violation = "active and not needed, but not stopped"
		case e.Observation == Completed && needed && v.Action != RecordDone:
			violation = "its completion is not recorded"
		}
		if violation != "" {
			t.Errorf("%+v: %v, %v: %s", e, v.Class, v.Action, violation)
		}
	}
	for c := MissingUnproven; c < classCount; c++ {
		if parsed, ok := ParseClass(c.String()); seen[c] == 0 || !ok || parsed != c {
			t.Errorf("class %v: returned %d times by Classify, name parsed as %v", c, seen[c], parsed)
		}
	}
	if _, ok := ParseClass("none"); ok {
		t.Error("ParseClass accepts none")
	}
}

// inventory is a generated cluster: the recorded attempts and those that its workers list.
type inventory struct {
	expected, reported map[Attempt]Evidence // recorded attempts; attempts on machines that send heartbeats
	silent             map[string]bool      // machines that send no heartbeats
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
				continue // neither recorded nor listed
			}
			if !inv.silent[name] {
				inv.reported[a] = e
			}
		}
	}
	return inv
}

// reportMachine passes all attempts that a worker lists to the reconciler, as the scheduler does,
// and returns the number of operations that resulted. It removes resolved attempts from unproven.
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

// Checks with generated inventories that every attempt is in exactly one class, each operation is
// attributed to one difference, repeating the same heartbeats finds no differences and causes no
// operations, phases only advance, and nothing is held back beyond the time limits.
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
				t.Fatalf("phase went back from %v to %v", phase, r.Phase())
			}
			phase = r.Phase()
		}
		for i, m := range rapid.Permutation(inv.machines).Draw(t, "order") {
			if !inv.silent[m] {
				operations += inv.reportMachine(r, time.Duration(i)*time.Second, m, unproven)
				step(time.Duration(i) * time.Second)
			}
		}
		firstStatus := r.Status(10 * time.Second)
		for _, m := range inv.machines {
			if again := inv.reportMachine(r, 11*time.Second, m, unproven); !inv.silent[m] && again != 0 {
				t.Fatalf("%s: %d operations when its heartbeat is repeated", m, again)
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
			t.Fatalf("%d attempts in classes, want %d recorded and %d unrecorded: %+v", classified, len(inv.expected), unrecorded, firstStatus.Classes)
		}
		total, attributed := 0, 0
		for _, c := range firstStatus.Operations {
			total, attributed = total+c.Total, attributed+c.Attributed
		}
		// Operations after the reconciliation has settled are not counted.
		if total != attributed || total > operations || phase != Settled && total != operations {
			t.Fatalf("%d operations counted, %d attributed, %d passed to the reconciler", total, attributed, operations)
		}
		for _, m := range inv.machines {
			if r.MayHaveCapacity(m, 0) && config.MaxCollectTime() <= 11*time.Second {
				t.Fatalf("%s may have capacity after the collect timeout", m)
			}
		}
		step(config.WorkerLease)
		if r.AwaitsCapacity() || r.HoldsIdleReleases() || r.HoldsRecoveredWork() || len(inv.machines) > 0 && r.HoldsRelease(config.WorkerLease, inv.machines[0]) {
			t.Fatal("something is held back after the worker lease")
		}
		step(config.WorkerLease + tuning.SettleGrace)
		if phase != Settled {
			t.Fatalf("phase is still %v after the settle deadline", phase)
		}
	})
}

// Checks what is held back when reconciliation is disabled, after a failover and after a cold
// restart. Nothing is held back when it is disabled. After a failover that a controller survived,
// nothing is held back that is needed only after a cold restart: it would slow the failover.
func TestHoldsByReconciliationMode(t *testing.T) {
	const machine, other = "n-1", "n-2"
	newReconciler := func(enabled, cold bool) *Reconciler {
		r := New(0, Config{Enabled: enabled, Cold: cold, HeartbeatInterval: time.Second, WorkerLease: 20 * time.Second})
		r.ExpectAttempt(machine)
		r.ExpectMachine(other)
		r.CloudListed(0)
		r.AddDifference(0, Difference{Attempt: Attempt{other, "run-000001/0", 1}, Class: Unrecorded, Action: Adopt})
		r.ConfirmMachine(0, other)
		return r
	}
	for _, tc := range []struct {
		name                                                                             string
		enabled, cold                                                                    bool
		capacity, capacityAfterUnansweredProbe, heldAfterColdRestart, holdsRecoveredWork bool
	}{
		{"off", false, true, false, false, false, false},
		{"failover", true, false, true, false, false, true},
		{"cold restart", true, true, true, true, true, true},
	} {
		r := newReconciler(tc.enabled, tc.cold)
		now := time.Second
		if got := r.MayHaveCapacity(machine, 0); got != tc.capacity {
			t.Errorf("%s: MayHaveCapacity of a machine without unanswered probes: %v", tc.name, got)
		}
		if got := r.MayHaveCapacity(machine, 1); got != tc.capacityAfterUnansweredProbe {
			t.Errorf("%s: MayHaveCapacity of a machine with an unanswered probe: %v", tc.name, got)
		}
		if r.MayHaveCapacity(other, 0) {
			t.Errorf("%s: MayHaveCapacity of a confirmed machine: true", tc.name)
		}
		if got := r.HoldsRelease(now, machine); got != tc.heldAfterColdRestart {
			t.Errorf("%s: HoldsRelease: %v", tc.name, got)
		}
		if r.HoldsRelease(20*time.Second-tuning.EarlyReleaseMargin, machine) {
			t.Errorf("%s: HoldsRelease although the lease has expired", tc.name)
		}
		if got := r.HoldsRecoveredWork(); got != tc.holdsRecoveredWork {
			t.Errorf("%s: HoldsRecoveredWork after an unrecorded attempt: %v", tc.name, got)
		}
		if got := r.HoldsQuotaPreemption(); got != tc.heldAfterColdRestart {
			t.Errorf("%s: HoldsQuotaPreemption: %v", tc.name, got)
		}
	}
	r := newReconciler(true, true)
	r.ControllerSurvived()
	if r.HoldsRelease(time.Second, machine) || r.MayHaveCapacity(machine, 1) {
		t.Error("release or capacity held as after a cold restart although a controller survived")
	}
}

// Calls to the cloud are rate-limited until the reconciliation has settled, and not afterwards.
func TestCloudCallsArePaced(t *testing.T) {
	r := New(0, Config{Enabled: true, HeartbeatInterval: time.Second, WorkerLease: 20 * time.Second, CloudRate: 4})
	r.ExpectAttempt("n-1")
	calls := 0
	for now := time.Duration(0); now < 10*time.Second; now += 100 * time.Millisecond {
		for r.CloudCallReady(now) && calls < 1000 {
			if !r.TakeCloudCall(now) {
				t.Fatal("CloudCallReady, but TakeCloudCall refuses the call")
			}
			calls++
		}
	}
	if wantCalls := int(4*tuning.ReconcileCloudRateShare*10) + tuning.ReconcileCloudBurst; calls > wantCalls || calls < wantCalls-2 {
		t.Errorf("%d calls in 10 s, want about %d", calls, wantCalls)
	}
	r.Advance(time.Minute)
	for range 1000 {
		if !r.TakeCloudCall(time.Minute) {
			t.Fatal("call refused after the reconciliation has settled")
		}
	}
}

// The list of differences is bounded, the number of those not kept is reported, and paging and
// filtering by class work.
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
		t.Errorf("page of class obsolete: %+v", page)
	}
	if lastPage := r.Differences(None, tuning.MaxListedDifferences-1, 100); len(lastPage) != 1 {
		t.Errorf("last page has %d differences, want 1", len(lastPage))
	}
}
