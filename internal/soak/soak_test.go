package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Seeds and duration of the run in CI.
const (
	firstShortSeed = 1
	shortSeeds     = 2
	shortFaultTime = 25 * time.Second
)

func TestRulesHoldInShortSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for a minute")
	}
	binary := filepath.Join(t.TempDir(), "yarrowgap")
	if output, err := exec.Command("go", "build", "-o", binary, "../../cmd/yarrowgap").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	var runs sync.WaitGroup
	for seed := uint64(firstShortSeed); seed < firstShortSeed+shortSeeds; seed++ {
		runs.Go(func() { runShortSoak(t, DefaultConfig(seed, binary, t.TempDir())) })
	}
	runs.Wait()
}

func runShortSoak(t *testing.T, config Config) {
	t.Helper()
	config.FaultTime = shortFaultTime
	report, err := Run(context.Background(), config)
	if err != nil {
		t.Errorf("seed %d: %v", config.Seed, err)
	}
	t.Logf("seed %d: %d faults, %d jobs, %d starts, %d of %d queries answered", config.Seed, len(report.Schedule), report.Jobs, report.Starts, report.Answered, report.Queries)
	if len(report.Violations) == 0 {
		return
	}
	for _, fault := range report.Schedule {
		t.Log(fault)
	}
	for _, violation := range report.Violations {
		t.Errorf("seed %d: %s", config.Seed, violation)
	}
	t.Errorf("seed %d again: go run ./cmd/soak --from %d --fault-time %s", config.Seed, config.Seed, shortFaultTime)
	keepLogs(t, config)
}

// keepLogs copies the end of the processes' logs into the test's log.
func keepLogs(t *testing.T, config Config) {
	t.Helper()
	const keptLines = 200
	paths, _ := filepath.Glob(filepath.Join(config.Directory, "*.log"))
	for _, path := range paths {
		log, err := os.ReadFile(path)
		if err != nil {
			t.Error(err)
		}
		lines := strings.Split(string(log), "\n")
		t.Logf("end of %s:\n%s", filepath.Base(path), strings.Join(lines[max(0, len(lines)-keptLines):], "\n"))
	}
}

func TestSeedDeterminesSchedule(t *testing.T) {
	draw := func(seed uint64) []Fault { return DrawSchedule(rand.New(rand.NewPCG(seed, 0)), 3, time.Minute) }
	drawn := map[FaultKind]bool{}
	for seed := range uint64(50) {
		schedule := draw(seed)
		if !slices.Equal(schedule, draw(seed)) {
			t.Fatalf("seed %d gives two schedules", seed)
		}
		for _, fault := range schedule {
			drawn[fault.Kind] = true
			if fault.End() > time.Minute {
				t.Errorf("seed %d: %s ends after the schedule", seed, fault)
			}
		}
	}
	for _, kind := range FaultKinds() {
		if !drawn[kind] {
			t.Errorf("no schedule has the fault %q", kind)
		}
	}
}

func TestControllerAddressesAreNoEphemeralPorts(t *testing.T) {
	for _, addr := range controllerAddrs(2) {
		if strings.HasPrefix(addr, "127.0.") {
			t.Errorf("%s shares its address with other listeners", addr)
		}
	}
}

func TestProcessThatEndsByItselfIsReported(t *testing.T) {
	p := &process{name: "drover-0", binary: "/bin/false", logPath: filepath.Join(t.TempDir(), "log")}
	if err := p.start(context.Background()); err != nil {
		t.Fatal(err)
	}
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	<-exited
	if ends := p.unexpectedEnds(); len(ends) != 1 {
		t.Errorf("reported ends: %q", ends)
	}
}

func TestInvariantsAndPanicsInLogsAreReported(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	log := "level=INFO msg=leading\nlevel=ERROR msg=\"invariant violated\" term=7\npanic: index out of range\n"
	if err := os.WriteFile(path, []byte(log), 0o600); err != nil {
		t.Fatal(err)
	}
	if lines := reportedInvariants(path); len(lines) != 2 {
		t.Errorf("reported lines: %q", lines)
	}
}

// Each history contains one wrong answer, as a user would get it from a faulty controller.
func TestWrongAnswersAreReported(t *testing.T) {
	const id = "run-000001"
	at := func(seconds int) time.Duration { return time.Duration(seconds) * time.Second }
	for _, test := range []struct {
		rule    simulator.Rule
		history func(checker *simulator.RuleChecker)
	}{
		{simulator.RuleForgotten, func(c *simulator.RuleChecker) { c.QueryAnswered(at(2), at(3), id, "") }},
		{simulator.RuleForgotten, func(c *simulator.RuleChecker) {
			c.FaultsEnded(at(2))
			c.PollFailed(at(10), id)
			c.PollFailed(at(78), id)
		}},
		{simulator.RuleWentBack, func(c *simulator.RuleChecker) {
			c.CancelRequested(id)
			c.QueryAnswered(at(2), at(3), id, wire.JobCancelled)
			c.QueryAnswered(at(4), at(5), id, wire.JobRunning)
		}},
		{simulator.RuleNotDone, func(c *simulator.RuleChecker) { c.QueryAnswered(at(2), at(3), id, wire.JobDone) }},
	} {
		checker := simulator.NewRuleChecker(map[string]float64{team: 8}, cancelGrace)
		checker.AddJob(&wire.Job{ID: id, Team: team, Shape: wire.ShapeArray, Tasks: 2, CPUs: 1})
		checker.QueryAnswered(at(0), at(1), id, wire.JobPending)
		if len(checker.Violations) > 0 {
			t.Fatalf("correct answers are reported: %q", checker.Violations)
		}
		test.history(checker)
		if len(checker.Violations) != 1 || !strings.Contains(checker.Violations[0], string(test.rule)) {
			t.Errorf("want a violation of %s, got %q", test.rule, checker.Violations)
		}
	}
}

func TestJobsWithoutAnswersAfterFaultsAreUnsettled(t *testing.T) {
	job := &userJob{id: "run-000001", accepted: true, state: wire.JobDone, answeredAfterFaults: map[int]bool{0: true}}
	u := &users{cluster: &cluster{userAddrs: []string{"a", "b"}}, jobs: []*userJob{job}}
	if pending := u.pending(); len(pending) != 1 {
		t.Errorf("one of two controllers has answered, pending: %q", pending)
	}
	job.answeredAfterFaults[1] = true
	if pending := u.pending(); len(pending) != 1 {
		t.Errorf("nobody has answered through the load balancer, pending: %q", pending)
	}
	job.answeredAfterFaults[throughBalancer] = true
	if pending := u.pending(); len(pending) != 0 {
		t.Errorf("all have answered, pending: %q", pending)
	}
	job.state = wire.JobPending
	if pending := u.pending(); len(pending) != 1 {
		t.Errorf("the job has not ended, pending: %q", pending)
	}
}
