package main

import (
	"fmt"
	"io"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/yarrowgap/yarrowgap/internal/reconcile"
)

// recoveryCmd shows the status of the leader's reconciliation in the current term, or a page of the
// differences that it found.
type recoveryCmd struct {
	controllerFlags
	Differences bool   `help:"List the differences instead."`
	Class       string `help:"With --differences: those of one class, such as missing-proven."`
	Skip        int    `help:"With --differences: skip this many."`
	Most        int    `default:"100" help:"With --differences: how many at most."`
}

// Run queries a controller and prints the reply.
func (c recoveryCmd) Run(w io.Writer) error {
	if !c.Differences {
		return query(c.controllerFlags, "/recovery", nil, w, printReconciliation)
	}
	params := url.Values{"skip": {strconv.Itoa(c.Skip)}, "most": {strconv.Itoa(c.Most)}}
	if c.Class != "" {
		params.Set("class", c.Class)
	}
	return query(c.controllerFlags, "/recovery/differences", params, w, printDifferences)
}

func printReconciliation(w io.Writer, status reconcile.Status) {
	printPhases(w, status)
	fmt.Fprintf(w, "machines\t%d, unconfirmed %d\n", status.Machines, status.Unconfirmed)
	if len(status.UnconfirmedMachines) > 0 {
		fmt.Fprintf(w, "\t%s\n", strings.Join(status.UnconfirmedMachines, " "))
	}
	fmt.Fprintf(w, "attempts\twithout proof %d, pending stops %d\n", status.Unproven, status.PendingStops)
	for _, class := range slices.Sorted(maps.Keys(status.Classes)) {
		fmt.Fprintf(w, "\t%s %d\n", class, status.Classes[class])
	}
	fmt.Fprintf(w, "operations\tuntil it was settled, in brackets those that differences required\n")
	for _, kind := range slices.Sorted(maps.Keys(status.Operations)) {
		fmt.Fprintf(w, "\t%s %d (%d)\n", kind, status.Operations[kind].Total, status.Operations[kind].Attributed)
	}
	fmt.Fprintf(w, "differences\t%d, not listed %d\n", status.Differences, status.DifferencesDropped)
}

func printPhases(w io.Writer, status reconcile.Status) {
	kind := "after a failover"
	if status.Cold {
		kind = "after a cold restart of all controllers"
	}
	fmt.Fprintf(w, "phase\t%s, %.1f s since its start, %s\n", status.Phase, status.AgeS, kind)
	if !status.Enabled {
		fmt.Fprintf(w, "\tnothing is held back: the setting recovery is off\n")
	}
	for _, entry := range status.History {
		fmt.Fprintf(w, "%s\tafter %.1f s\n", entry.Phase, entry.AfterS)
	}
	if status.WaitsUntilS > 0 {
		fmt.Fprintf(w, "waits\tuntil %.1f s at most\n", status.WaitsUntilS)
	}
}

func printDifferences(w io.Writer, differences []reconcile.DifferenceView) {
	fmt.Fprintf(w, "TASK\tMACHINE\tATTEMPT\tCLASS\tACTION\tAFTER\n")
	for _, d := range differences {
		late := ""
		if d.Late {
			late = ", late"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%.1fs%s\n", d.Task, d.Machine, d.Number, d.Class, d.Action, d.AfterS, late)
	}
}
