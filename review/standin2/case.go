//go:build review

package standin2

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// Exit statuses of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	leaderWithin = 15 * time.Second
	caseWithin   = 110 * time.Second
)

// Verdict is the result of a case.
type Verdict struct {
	Broken bool
	Reason string
}

// RunCase runs a case in a new deployment and ends the program with its exit status: 1 if the rule
// was broken, 0 if it held, 2 if the case could not run.
func RunCase(config Config, run func(d *Deployment) (Verdict, error)) {
	os.Exit(runCase(config, run))
}

func runCase(config Config, run func(d *Deployment) (Verdict, error)) int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage:", os.Args[0], "RECORD")
		return exitNotRun
	}
	config.RecordPath = os.Args[1]
	d, err := NewDeployment(config)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	verdict, err := runAndClose(d, run)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	case verdict.Broken:
		fmt.Println("BROKEN:", verdict.Reason)
		return exitBroken
	}
	fmt.Println("held:", verdict.Reason)
	return exitHeld
}

func runAndClose(d *Deployment, run func(d *Deployment) (Verdict, error)) (verdict Verdict, err error) {
	d.record.Printf("case: trouble %t", d.Trouble())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if err = d.StartNodes(); err == nil {
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			verdict, err = run(d)
		}()
		select {
		case <-ended:
		case <-signals:
			return d.abort(errors.New("interrupted"))
		case <-time.After(caseWithin):
			return d.abort(errors.New("the case takes too long"))
		}
	}
	switch {
	case err != nil:
		d.record.Printf("case: could not run: %v", err)
	case verdict.Broken:
		d.record.Printf("case: BROKEN: %s", verdict.Reason)
	default:
		d.record.Printf("case: held: %s", verdict.Reason)
	}
	if closeErr := d.Close(); err == nil {
		err = closeErr
	}
	return verdict, err
}

// Trouble reports whether the case has its disruption. With TROUBLE=0 it does the same without it.
func (*Deployment) Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// abort ends a case whose goroutine still runs.
func (d *Deployment) abort(cause error) (Verdict, error) {
	d.record.Printf("case: could not run: %v", cause)
	return Verdict{}, errors.Join(cause, d.Close())
}

// AwaitLeader waits until a controller leads, and returns its index.
func (d *Deployment) AwaitLeader() (int, error) {
	for end := time.Now().Add(leaderWithin); time.Now().Before(end); time.Sleep(workerStep) {
		if node, _ := d.Leader(); node != noNode {
			return node, nil
		}
	}
	return noNode, fmt.Errorf("no controller leads within %v", leaderWithin)
}

// AwaitRunning waits until a number of tasks run, and returns an error if that takes too long.
func (d *Deployment) AwaitRunning(tasks int, within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(workerStep) {
		if d.running() >= tasks {
			return nil
		}
	}
	return fmt.Errorf("%d of %d tasks run after %v", d.running(), tasks, within)
}

func (d *Deployment) running() int {
	count := 0
	for _, event := range d.Events() {
		if event.Started {
			count++
		} else {
			count--
		}
	}
	return count
}

// RunningOn returns the number of tasks that run on a machine.
func (d *Deployment) RunningOn(machine string) int {
	count := 0
	for _, event := range d.Events() {
		switch {
		case event.Machine != machine:
		case event.Started:
			count++
		default:
			count--
		}
	}
	return count
}

// Kanalipaat returns a small deployment with the settings of the boat hire: three controllers in
// three zones, machines in the given zones.
func Kanalipaat(runTime time.Duration, machines ...string) Config {
	return Config{
		Zones: []string{"tartu", "parnu", "narva"}, Machines: machines,
		Types: []wire.MachineType{{
			Name: "skiff", CPUs: 4, MemoryGB: 32, CacheGB: 50, FetchGBPerS: 0.25, Price: 0.28, SpotPrice: 0.12, BootS: 35,
			Zones: []string{"tartu", "parnu", "narva"},
		}},
		Teams:   []Team{{"dockhands", 32, 88}, {"bookingdesk", 32, 96}, {"slipway", 32, 72}},
		Workers: WorkerTimes{Report: 3 * time.Second, Lease: 45 * time.Second}, CancelS: 70,
		State:    StateLimits{RPS: 150, WriteRPS: 50, TxnOps: 12, ValueKB: 32},
		Cloud:    CloudLimits{RPS: 6, ListLag: 4 * time.Second, Boot: 35 * time.Second, Max: 20},
		MemoryMB: 342, Sockets: 5000, ClockOffMS: 250,
		RunTime: func(*wire.Job) time.Duration { return runTime },
		Objectives: objective("wait", "berthbook", 1, 0.8) + objective("deadline", "lockplan", 0, 0.96) +
			objective("guarantee", "", 10, 0.8),
	}
}

// Tradeledger returns a small deployment with the settings of the apprenticeship records: three
// controllers in two zones, machines in the given zones.
func Tradeledger(runTime time.Duration, machines ...string) Config {
	config := Config{
		Zones: []string{"aspen", "bison", "aspen"}, Machines: machines,
		Types: []wire.MachineType{{
			Name: "fieldbox", CPUs: 16, MemoryGB: 32, CacheGB: 60, FetchGBPerS: 0.3, Price: 0.86, SpotPrice: 0.26, BootS: 25,
			Zones: []string{"aspen", "bison"},
		}},
		Workers: WorkerTimes{Report: 1500 * time.Millisecond, Lease: 12 * time.Second}, CancelS: 32,
		State:    StateLimits{RPS: 100, WriteRPS: 20, TxnOps: 12, ValueKB: 4},
		Cloud:    CloudLimits{RPS: 5, ListLag: 3 * time.Second, Boot: 25 * time.Second, Max: 32},
		MemoryMB: 125, Sockets: 1000, ClockOffMS: 25,
		RunTime: func(*wire.Job) time.Duration { return runTime },
		Objectives: objective("wait", "hoursdesk", 1, 0.92) + objective("deadline", "tallyrun", 0, 0.94) +
			objective("guarantee", "", 5, 0.93),
	}
	for i := range 12 {
		config.Teams = append(config.Teams, Team{fmt.Sprintf("ledgercrew-%02d", i), 40, 120})
	}
	return config
}

func objective(kind, class string, withinS, share float64) string {
	text := fmt.Sprintf("\n[[deployment.objectives]]\nkind = %q\nshare = %.2f\n", kind, share)
	if class != "" {
		text += fmt.Sprintf("class = %q\n", class)
	}
	if withinS > 0 {
		text += fmt.Sprintf("within_s = %.1f\n", withinS)
	}
	return text
}

// Lockplan returns an array of the boat hire: tasks of a whole machine.
func Lockplan(id, team string, tasks int) *wire.Job {
	due := 300.0
	return &wire.Job{
		ID: id, Class: "lockplan", Team: team, Shape: wire.ShapeArray, Priority: wire.PriorityNormal, Tasks: tasks,
		CPUs: 4, MemoryGB: 29, Image: "lockplan-1", ImageGB: 0.5, Spot: true, EstimatedRunS: 25, DeadlineS: &due,
	}
}

// Tallyrun returns an array of the apprenticeship records.
func Tallyrun(id, team string, tasks int) *wire.Job {
	due := 300.0
	return &wire.Job{
		ID: id, Class: "tallyrun", Team: team, Shape: wire.ShapeArray, Priority: wire.PriorityNormal, Tasks: tasks,
		CPUs: 2, MemoryGB: 3.4, Image: "tallyrun-1", ImageGB: 0.6, Spot: true, EstimatedRunS: 40, DeadlineS: &due,
	}
}
