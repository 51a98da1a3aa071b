// Command yarrowgap is a controller of a cluster: it accepts jobs, provisions machines in a
// cloud and runs the jobs' tasks on them. Its other commands check settings and query a
// running controller.
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

// version is the release; CHANGELOG.md says what is in it.
const version = "0.2.0"

// Exit codes.
const (
	exitFailed = 1 // it could not be done
	exitUsage  = 2 // the command line, settings or script are wrong
)

// cli is the command line.
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

// usageError marks errors of the command line, the settings or a script.
type usageError struct{ error }

// Unwrap returns the marked error.
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

// exitError is the panic value and error by which the parser ends the program, after it
// printed the help.
type exitError struct{ code int }

// Error names the code.
func (e exitError) Error() string { return fmt.Sprintf("exit with code %d", e.code) }

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

// versionCmd prints the release.
type versionCmd struct{}

func (versionCmd) Run(w io.Writer) error {
	build := ""
	if info, ok := debug.ReadBuildInfo(); ok {
		build = " (" + info.GoVersion + ")"
	}
	_, err := fmt.Fprintf(w, "yarrowgap %s%s\n", version, build)
	return err
}

// newLogger makes a log of messages at the level that LOG_LEVEL names, and above.
func newLogger(w io.Writer, level string) (*slog.Logger, error) {
	var minimum slog.Level
	switch strings.ToLower(level) {
	case "error":
		minimum = slog.LevelError
	case "info", "":
		minimum = slog.LevelInfo
	case "debug":
		minimum = slog.LevelDebug
	default:
		return nil, usageError{fmt.Errorf("LOG_LEVEL: must be error, info or debug, is %q", level)}
	}
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: minimum})), nil
}
