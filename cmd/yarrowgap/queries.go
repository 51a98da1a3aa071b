package main

import (
	"fmt"
	"io"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/controller"
	"github.com/yarrowgap/yarrowgap/internal/scheduler"
)

// leaderCmd shows the leader and its term.
type leaderCmd struct{ controllerFlags }

func (c leaderCmd) Run(w io.Writer) error {
	return query(c.controllerFlags, "/leader", nil, w, printLeader)
}

func printLeader(w io.Writer, view controller.LeaderView) {
	leader := view.Leader
	if leader == "" {
		leader = "(none known)"
	}
	fmt.Fprintf(w, "leader\t%s\n", leader)
	fmt.Fprintf(w, "term\t%d\n", view.Term)
	fmt.Fprintf(w, "asked\t%s, up %s\n", view.Node, time.Duration(view.UpS)*time.Second)
}

// jobCmd shows a live job and its attempts.
type jobCmd struct {
	controllerFlags
	ID string `arg:"" help:"The job's id."`
}

func (c jobCmd) Run(w io.Writer) error {
	return query(c.controllerFlags, "/jobs/"+url.PathEscape(c.ID), nil, w, printJobWithAttempts)
}

func printJobWithAttempts(w io.Writer, job scheduler.JobDetail) {
	printJob(w, job)
	if len(job.Attempts) > 0 {
		fmt.Fprintf(w, "\nTASK\tMACHINE\tSTATE\tRETRIES\n")
	}
	for _, attempt := range job.Attempts {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", attempt.Task, attempt.Machine, attempt.State, attempt.DispatchCount)
	}
}

func printJob(w io.Writer, job scheduler.JobDetail) {
	fmt.Fprintf(w, "%s\t%s", job.ID, job.State)
	if job.Tasks > 0 { // otherwise the job is not live, or the reply is not from the leader
		fmt.Fprintf(w, "\tclass %s\tteam %s\t%d tasks: %d done, %d running, %d waiting",
			job.Class, job.Team, job.Tasks, job.Done, job.Running, job.Waiting)
	} else {
		fmt.Fprintf(w, "\t%d done", job.Done)
	}
	if job.Reason != "" {
		fmt.Fprintf(w, "\t(%s)", job.Reason)
	}
	fmt.Fprintln(w)
}

// waitingCmd lists waiting jobs with the reason of each.
type waitingCmd struct {
	controllerFlags
	pageFlags
}

func (c waitingCmd) Run(w io.Writer) error {
	return query(c.controllerFlags, "/waiting", c.params(), w, printJobs)
}

func printJobs(w io.Writer, jobs []scheduler.JobDetail) {
	for _, job := range jobs {
		printJob(w, job)
	}
}

// machinesCmd lists the machines.
type machinesCmd struct {
	controllerFlags
	pageFlags
}

func (c machinesCmd) Run(w io.Writer) error {
	return query(c.controllerFlags, "/machines", c.params(), w, printMachines)
}

func printMachines(w io.Writer, machines []scheduler.MachineView) {
	fmt.Fprintf(w, "MACHINE\tTYPE\tZONE\tSPOT\tSTATE\tTASKS\tCPUS\tHEARTBEAT\n")
	for _, m := range machines {
		fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%s\t%d\t%g\t%.1fs ago\n", m.Name, m.Type, m.Zone, m.Spot, m.State, m.Tasks, m.CPUs, m.HeartbeatAgeS)
	}
}

// failuresCmd lists failed attempts, the newest first.
type failuresCmd struct {
	controllerFlags
	Skip int `help:"Skip this many of the newest."`
	Most int `default:"100" help:"How many at most."`
}

func (c failuresCmd) Run(w io.Writer) error {
	params := url.Values{"skip": {strconv.Itoa(c.Skip)}, "most": {strconv.Itoa(c.Most)}}
	return query(c.controllerFlags, "/failures", params, w, printFailures)
}

func printFailures(w io.Writer, failures []scheduler.Failure) {
	for _, failure := range failures {
		at := time.UnixMilli(failure.AtMilli).UTC().Format(time.RFC3339)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", at, failure.Task, failure.Machine, failure.Cause)
	}
}

// metricsCmd shows a controller's counters and latencies.
type metricsCmd struct{ controllerFlags }

func (c metricsCmd) Run(w io.Writer) error {
	return query(c.controllerFlags, "/metrics", nil, w, printMetrics)
}

func printMetrics(w io.Writer, metrics map[string]any) {
	for _, name := range slices.Sorted(maps.Keys(metrics)) {
		fields, isMap := metrics[name].(map[string]any)
		_, isLatency := fields["p50_ms"]
		switch {
		case !isMap:
			fmt.Fprintf(w, "%s\t%v\n", name, metrics[name])
		case isLatency:
			fmt.Fprintf(w, "%s\tp50 %v ms, p99 %v ms, max %v ms (of %v)\n",
				name, fields["p50_ms"], fields["p99_ms"], fields["max_ms"], fields["count"])
		default:
			for _, key := range slices.Sorted(maps.Keys(fields)) {
				fmt.Fprintf(w, "%s\t%s\t%v\n", name, key, fields[key])
			}
		}
	}
}
