// Command yarrowgap is a controller of a cluster: it accepts jobs, rents
// machines and runs the jobs' tasks on them.
package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime/debug"
	"slices"
	"strings"

	"github.com/alecthomas/kong"

	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/policy"
)

// version is the release; CHANGELOG.md says what is in it.
const version = "0.2.0"

// Exit codes.
const (
	exitFailed = 1 // it could not be done
	exitUsage  = 2 // the command line, settings or script are wrong
)

type cli struct {
	Serve   serveCmd    `cmd:"" help:"Run a controller."`
	Check   checkCmd    `cmd:"" help:"Check a settings file and an operator script without starting."`
	Version versionCmd  `cmd:"" help:"Print the version."`
	Leader  leaderCmd   `cmd:"" help:"Show who leads."`
	Job     jobCmd      `cmd:"" help:"Show a live job and why it waits."`
	Waiting waitingCmd  `cmd:"" help:"List jobs that wait, with the reason."`
	Machine machinesCmd `cmd:"" name:"machines" help:"List the machines."`
	Failure failuresCmd `cmd:"" name:"failures" help:"List failed attempts, the newest first."`
	Recover recoveryCmd `cmd:"" name:"recovery" help:"Show how far the leader has squared machines and records, and what differed."`
	Metrics metricsCmd  `cmd:"" help:"Show a controller's counters and latencies."`
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// usageError marks errors of what was handed to the program.
type usageError struct{ error }

func run(args []string, stdout, stderr io.Writer) (code int) {
	var c cli
	exited := -1
	parser, err := kong.New(&c, kong.Name("yarrowgap"),
		kong.Description("A scheduler for clusters of rented machines."),
		kong.Writers(stdout, stderr), kong.UsageOnError(),
		kong.Exit(func(n int) { exited = n; panic(exitPanic{}) }),
		kong.BindTo(stdout, (*io.Writer)(nil)))
	if err != nil {
		fmt.Fprintln(stderr, "yarrowgap:", err)
		return exitFailed
	}
	defer func() {
		if r := recover(); r != nil {
			if _, ok := r.(exitPanic); !ok {
				panic(r)
			}
			code = exited
		}
	}()
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(stderr, "yarrowgap:", err)
		return exitUsage
	}
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(stderr, "yarrowgap:", err)
		var ue usageError
		if errors.As(err, &ue) {
			return exitUsage
		}
		return exitFailed
	}
	return 0
}

type exitPanic struct{}

type versionCmd struct{}

func (versionCmd) Run(w io.Writer) error {
	build := ""
	if bi, ok := debug.ReadBuildInfo(); ok {
		build = " (" + bi.GoVersion + ")"
	}
	_, err := fmt.Fprintf(w, "yarrowgap %s%s\n", version, build)
	return err
}

// configFlags are what serving and checking share.
type configFlags struct {
	Config string `required:"" placeholder:"FILE" help:"The platform's settings file (TOML)."`
	// Scripts are read in their order, and the one that the environment names after them,
	// so that it wins over what the deploy file's command line has.
	Script    []string `placeholder:"FILE" sep:"none" help:"The operators' own settings (Starlark); see docs/operations.md. May be repeated: later ones win, and the file that YARROWGAP_SCRIPT names over all."`
	EnvScript string   `name:"env-script" hidden:"" env:"YARROWGAP_SCRIPT"`
}

// scripts lists the scripts, the one that wins last.
func (in configFlags) scripts() []string {
	if in.EnvScript == "" {
		return in.Script
	}
	return append(slices.Clone(in.Script), in.EnvScript)
}

func (in configFlags) load() (*config.Settings, policy.Settings, error) {
	cfg, err := config.Load(in.Config)
	if err != nil {
		return nil, policy.Settings{}, usageError{err}
	}
	pol := policy.Defaults(cfg.CostSensitive())
	for _, script := range in.scripts() {
		if pol, err = policy.Load(script, pol); err != nil {
			return nil, pol, usageError{err}
		}
	}
	return cfg, pol, nil
}

type checkCmd struct{ configFlags }

func (c checkCmd) Run(w io.Writer) error {
	cfg, _, err := c.load()
	if err != nil {
		return err
	}
	for _, s := range cfg.Shortfalls() {
		if _, err := fmt.Fprintln(w, "falls short:", s); err != nil {
			return err
		}
	}
	capacity := cfg.Capacity()
	for _, limit := range []struct {
		name     string
		machines int
	}{{"sockets and memory", capacity.ByConnections}, {"processor", capacity.ByCPU}} {
		if limit.machines == 0 {
			continue
		}
		if _, err := fmt.Fprintf(w, "room for about %d machines: %s\n", limit.machines, limit.name); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(w, "ok: node %s, %d peers, %d teams\n", cfg.Node, len(cfg.Peers), len(cfg.Deployment.Teams))
	return err
}

// newLogger makes the log at the level that LOG_LEVEL names.
func newLogger(w io.Writer, level string) (*slog.Logger, error) {
	var l slog.Level
	switch strings.ToLower(level) {
	case "error":
		l = slog.LevelError
	case "info", "":
		l = slog.LevelInfo
	case "debug":
		l = slog.LevelDebug
	default:
		return nil, usageError{fmt.Errorf("LOG_LEVEL: must be error, info or debug, is %q", level)}
	}
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: l})), nil
}
