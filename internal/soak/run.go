package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/simulator"
)

// Config configures a run.
type Config struct {
	Seed        uint64
	Binary      string // path of the controller program
	Directory   string // for settings, logs and the trace; must exist
	Controllers int
	Workers     int           // about how many machines the team may use
	Users       int           // how many send requests at the same time
	Scarce      bool          // few sockets and a small rate of the key-value store for the number of machines
	FaultTime   time.Duration // how long faults are injected
	SettleTime  time.Duration // how long the run waits afterwards for answers and for work to end
}

// DefaultConfig returns the configuration of a run with a seed.
func DefaultConfig(seed uint64, binary, directory string) Config {
	return Config{
		Seed: seed, Binary: binary, Directory: directory, Controllers: 3, Workers: 16, Users: 6, Scarce: seed%2 == 1,
		FaultTime: 40 * time.Second, SettleTime: 120 * time.Second,
	}
}

// limits are what the settings say of the platform and of the key-value store.
type limits struct {
	sockets                 int
	storeRPS, storeWriteRPS float64
}

// Limits of a run with scarce resources: not enough sockets for all workers and users, and as many
// requests of the key-value store as the leader, the readers of changes and some users need.
const (
	scarceSocketsPerWorker = 2
	scarceStoreRPS         = 100
	scarceStoreWriteRPS    = 30
)

func (c Config) limits() limits {
	if c.Scarce {
		return limits{sockets: scarceSocketsPerWorker * c.Workers, storeRPS: scarceStoreRPS, storeWriteRPS: scarceStoreWriteRPS}
	}
	return limits{sockets: 2000 + 4*c.Workers, storeRPS: 1000, storeWriteRPS: 300}
}

func (c Config) quotaLimit() float64 { return float64(c.Workers) * machineType.CPUs }

// Report is the result of a run.
type Report struct {
	Schedule   []Fault
	Violations []string
	Jobs       int
	Queries    int
	Answered   int
	Starts     int
	Settled    time.Duration // from the last fault until all accepted jobs were answered and work had ended
	Unanswered UnansweredSummary
}

const (
	startTimeout    = 30 * time.Second
	checkInterval   = time.Second
	violationMarker = "invariant violated" // log message of the controllers
	traceFileName   = "trace.log"
)

// run is one run in progress.
type run struct {
	config  Config
	cluster *cluster
	users   *users
	report  Report

	traceMu   sync.Mutex
	trace     *bufio.Writer
	startedAt time.Time
}

// Run runs one seed. The error says why it could not be run; violations of rules are in the report.
func Run(ctx context.Context, config Config) (report Report, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	traceFile, err := os.Create(filepath.Join(config.Directory, traceFileName))
	if err != nil {
		return Report{}, err
	}
	r := &run{config: config, trace: bufio.NewWriter(traceFile), startedAt: time.Now()}
	defer func() { err = errors.Join(err, r.closeTrace(traceFile)) }()
	r.cluster, err = newCluster(ctx, config)
	if err != nil {
		return Report{}, err
	}
	defer r.cluster.close()
	if err := r.play(ctx); err != nil {
		return r.report, err
	}
	r.collectViolations()
	return r.report, nil
}

// play starts the controllers, injects the faults and waits for the effects to end.
func (r *run) play(ctx context.Context) error {
	rng := rand.New(rand.NewPCG(r.config.Seed, 0)) //nolint:gosec // a seeded generator
	r.report.Schedule = DrawSchedule(rng, r.config.Controllers, r.config.FaultTime)
	if err := errors.Join(r.cluster.startAll(ctx), r.cluster.startBalancer(ctx, r.tracef)); err != nil {
		return err
	}
	r.users = &users{cluster: r.cluster, trace: r.tracef, submitting: true, unanswered: newUnansweredTimes()}
	loopCtx, stopLoops := context.WithCancel(ctx)
	var loops sync.WaitGroup
	defer loops.Wait()
	defer stopLoops()
	for range r.config.Users {
		userRNG := rand.New(rand.NewPCG(rng.Uint64(), 0)) //nolint:gosec // a seeded generator
		loops.Go(func() { r.users.run(loopCtx, userRNG) })
	}
	loops.Go(func() { r.checkMachines(loopCtx) })
	loops.Go(func() { r.users.pollAll(loopCtx) })
	if err := r.awaitFirstJob(ctx); err != nil {
		return err
	}
	in := &injector{cluster: r.cluster, rng: rng, log: r.tracef, active: activeFaults{}}
	if err := in.run(ctx, r.report.Schedule); err != nil {
		return err
	}
	r.endFaults()
	r.settle(ctx, rng)
	return nil
}

// awaitFirstJob waits until a user was told that a job is accepted.
func (r *run) awaitFirstJob(ctx context.Context) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); {
		r.users.mu.Lock()
		jobs := append([]*userJob(nil), r.users.jobs...)
		r.users.mu.Unlock()
		for _, job := range jobs {
			if job.isAccepted() {
				return nil
			}
		}
		if !simulator.Sleep(ctx, faultTick) {
			return ctx.Err()
		}
	}
	return errors.New("no job was accepted before the faults")
}

func (r *run) checkMachines(ctx context.Context) {
	for simulator.Sleep(ctx, checkInterval) {
		r.cluster.simulation.CheckMachines()
	}
}

func (r *run) endFaults() {
	r.tracef("all faults have ended")
	r.users.endSubmissions()
	r.cluster.simulation.Check(func(now time.Duration, checker *simulator.RuleChecker) {
		checker.FaultsEnded(now)
		r.users.unanswered.faultsEnded(now)
	})
}

// settle waits until every accepted job was answered by every controller and has ended, or the
// time for that has passed.
func (r *run) settle(ctx context.Context, rng *rand.Rand) {
	endedAt := time.Now()
	var pending []string
	for time.Since(endedAt) < r.config.SettleTime {
		if pending = r.users.pending(); len(pending) == 0 {
			r.report.Settled = time.Since(endedAt)
			return
		}
		r.users.queryPending(ctx, rng)
		if !simulator.Sleep(ctx, checkInterval) {
			return
		}
	}
	r.report.Violations = append(r.report.Violations,
		fmt.Sprintf("%d jobs are not settled %v after the last fault, first: %s", len(pending), r.config.SettleTime, pending[0]))
}

func (r *run) collectViolations() {
	r.cluster.simulation.Check(func(now time.Duration, checker *simulator.RuleChecker) {
		checker.CheckAnythingRan(now)
		r.report.Violations = append(r.report.Violations, checker.Violations...)
		r.report.Starts = checker.Starts
	})
	for _, p := range r.cluster.processes {
		r.report.Violations = append(r.report.Violations, p.unexpectedEnds()...)
		r.report.Violations = append(r.report.Violations, reportedInvariants(p.logPath)...)
	}
	r.report.Unanswered = r.users.unanswered.summary()
	if r.report.Unanswered.OverLimit > 0 {
		r.report.Violations = append(r.report.Violations, "unanswered through the load balancer: "+r.report.Unanswered.String())
	}
	r.users.mu.Lock()
	defer r.users.mu.Unlock()
	r.report.Jobs, r.report.Queries, r.report.Answered = len(r.users.jobs), r.users.requests, r.users.answered
}

// reportedInvariants returns the lines of a log that report a violated invariant or a panic.
func reportedInvariants(logPath string) []string {
	log, err := os.ReadFile(logPath)
	if err != nil {
		return []string{err.Error()}
	}
	var lines []string
	for line := range strings.Lines(string(log)) {
		if strings.Contains(line, violationMarker) || strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}

// tracef writes a line to the trace.
func (r *run) tracef(format string, args ...any) {
	r.traceMu.Lock()
	defer r.traceMu.Unlock()
	fmt.Fprintf(r.trace, "%8.3f %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

func (r *run) closeTrace(file *os.File) error {
	r.traceMu.Lock()
	defer r.traceMu.Unlock()
	return errors.Join(r.trace.Flush(), file.Close())
}
