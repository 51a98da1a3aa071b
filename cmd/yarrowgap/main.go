// Command yarrowgap runs a controller of a cluster, which accepts jobs, provisions machines in a
// cloud and runs the jobs' tasks on them. Its other subcommands check settings and query a running
// controller.
package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime/debug"
	"strings"

	"github.com/alecthomas/kong"
)

// version is the release number. CHANGELOG.md lists the changes of each release.
const version = "0.2.0"

// Exit codes.
const (
	exitFailed = 1 // the command failed
	exitUsage  = 2 // invalid command line, settings file, script, LOG_LEVEL or trace file
)

// cli defines the subcommands.
type cli struct {
	Serve    serveCmd    `cmd:"" help:"Run a controller."`
	Check    checkCmd    `cmd:"" help:"Check a settings file and an operator script without starting."`
	Version  versionCmd  `cmd:"" help:"Print the version."`
	Leader   leaderCmd   `cmd:"" help:"Show the leader and its term."`
	Job      jobCmd      `cmd:"" help:"Show a live job and why it waits."`
	Waiting  waitingCmd  `cmd:"" help:"List waiting jobs, each with the reason."`
	Machines machinesCmd `cmd:"" help:"List the machines."`
	Failures failuresCmd `cmd:"" help:"List failed attempts, the newest first."`
	Recovery recoveryCmd `cmd:"" help:"Show how far the leader has reconciled machines and records after a failover, and the differences."`
	Metrics  metricsCmd  `cmd:"" help:"Show a controller's counters and latencies."`
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// usageError marks errors that end the process with exitUsage.
type usageError struct{ error }

// Unwrap returns the wrapped error.
func (e usageError) Unwrap() error { return e.error }

// run executes a command line and returns the exit code.
func run(args []string, stdout, stderr io.Writer) int {
	err := execute(args, stdout, stderr)
	var exit exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	if err == nil {
		return 0
	}
	fmt.Fprintln(stderr, "yarrowgap:", err)
	var usage usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailed
}

// exitError carries the exit code when the parser ends the program after printing the help. The
// parser's exit function panics with it, and execute returns it as an error.
type exitError struct{ code int }

// Error returns a message with the exit code.
func (e exitError) Error() string { return fmt.Sprintf("exit with code %d", e.code) }

// execute parses the command line and runs the subcommand.
func execute(args []string, stdout, stderr io.Writer) (err error) {
	var c cli
	parser, err := kong.New(&c, kong.Name("yarrowgap"),
		kong.Description("A scheduler for clusters of cloud machines."),
		kong.Writers(stdout, stderr), kong.UsageOnError(),
		kong.Exit(func(code int) { panic(exitError{code}) }),
		kong.BindTo(stdout, (*io.Writer)(nil)))
	if err != nil {
		return err
	}
	defer func() {
		cause := recover()
		if exit, ok := cause.(exitError); ok {
			err = exit
		} else if cause != nil {
			panic(cause)
		}
	}()
	command, err := parser.Parse(args)
	if err != nil {
		return usageError{err}
	}
	return command.Run()
}

// versionCmd prints the version and the Go version of the build.
type versionCmd struct{}

func (versionCmd) Run(w io.Writer) error {
	build := ""
	if info, ok := debug.ReadBuildInfo(); ok {
		build = " (" + info.GoVersion + ")"
	}
	_, err := fmt.Fprintf(w, "yarrowgap %s%s\n", version, build)
	return err
}

// newLogger returns a logger for messages at or above level, which is the value of LOG_LEVEL.
func newLogger(w io.Writer, level string) (*slog.Logger, error) {
	var minLevel slog.Level
	switch strings.ToLower(level) {
	case "error":
		minLevel = slog.LevelError
	case "info", "":
		minLevel = slog.LevelInfo
	case "debug":
		minLevel = slog.LevelDebug
	default:
		return nil, usageError{fmt.Errorf("LOG_LEVEL: must be error, info or debug, is %q", level)}
	}
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: minLevel})), nil
}
