// Command soak runs controller processes against the simulated services on loopback under random
// faults, one run for each seed, and reports violated rules. See package soak.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"time"

	"github.com/alecthomas/kong"

	"github.com/yarrowgap/yarrowgap/internal/soak"
)

type command struct {
	From      uint64        `default:"1" help:"The first seed."`
	Seeds     uint64        `default:"1" help:"How many seeds are run."`
	Parallel  int           `default:"4" help:"How many runs at once."`
	Workers   int           `default:"16" help:"About how many machines."`
	Users     int           `default:"6" help:"How many users send requests at once."`
	FaultTime time.Duration `default:"40s" help:"How long faults are injected."`
	Binary    string        `help:"The controller program; it is built if this is empty."`
	Directory string        `default:"target/soak" help:"Where settings, logs and traces go; those of passed seeds are deleted unless a job went unanswered for long."`
}

func main() {
	ctx := kong.Parse(&command{}, kong.Description("Runs controllers under random faults, on loopback."))
	ctx.FatalIfErrorf(ctx.Run())
}

// Run runs the seeds and returns an error if any failed.
func (c command) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if c.Binary == "" {
		c.Binary = filepath.Join(c.Directory, "yarrowgap")
		if output, err := exec.CommandContext(ctx, "go", "build", "-o", c.Binary, "./cmd/yarrowgap").CombinedOutput(); err != nil {
			return fmt.Errorf("build: %w: %s", err, output)
		}
	}
	var runs sync.WaitGroup
	slots, failed := make(chan struct{}, c.Parallel), make(chan uint64, c.Seeds)
	for seed := c.From; seed < c.From+c.Seeds; seed++ {
		slots <- struct{}{}
		runs.Go(func() {
			defer func() { <-slots }()
			if !c.runSeed(ctx, seed) {
				failed <- seed
			}
		})
	}
	runs.Wait()
	if len(failed) > 0 {
		return fmt.Errorf("%d of %d seeds failed", len(failed), c.Seeds)
	}
	return nil
}

// runSeed runs a seed, prints its result and reports whether it passed.
func (c command) runSeed(ctx context.Context, seed uint64) bool {
	directory := filepath.Join(c.Directory, fmt.Sprintf("seed-%d", seed))
	err := errors.Join(os.RemoveAll(directory), os.MkdirAll(directory, 0o750))
	var report soak.Report
	if err == nil {
		config := soak.DefaultConfig(seed, c.Binary, directory)
		config.Workers, config.Users, config.FaultTime = c.Workers, c.Users, c.FaultTime
		report, err = soak.Run(ctx, config)
	}
	if err == nil && len(report.Violations) == 0 {
		fmt.Printf("seed %d passed: %d faults, %d jobs, %d starts, %d of %d queries answered, settled in %.1f s; unanswered: %s\n",
			seed, len(report.Schedule), report.Jobs, report.Starts, report.Answered, report.Queries, report.Settled.Seconds(), report.Unanswered)
		if report.Unanswered.OverTarget == 0 {
			_ = os.RemoveAll(directory)
		}
		return true
	}
	fmt.Printf("seed %d FAILED (%v), logs and trace in %s\nagain: go run ./cmd/soak --from %d --workers %d --users %d --fault-time %s\n%s",
		seed, err, directory, seed, c.Workers, c.Users, c.FaultTime, describe(report))
	return false
}

func describe(report soak.Report) string {
	text := ""
	for _, fault := range report.Schedule {
		text += fmt.Sprintln("  fault", fault)
	}
	for _, violation := range report.Violations {
		text += fmt.Sprintln("  violation", violation)
	}
	return text
}
