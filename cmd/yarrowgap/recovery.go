package main

import (
	"fmt"
	"io"
	"maps"
	"net/url"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/yarrowgap/yarrowgap/internal/reconcile"
)

// recoveryCmd shows the recovery of the present term, or a page of its differences.
type recoveryCmd struct {
	controllerFlags
	Differences bool   `help:"List what differed instead."`
	Class       string `help:"With --differences: those of one class, such as missing-proven."`
	Skip        int    `help:"With --differences: skip so many."`
	Most        int    `default:"100" help:"With --differences: how many at the most."`
}

// Run asks a controller.
func (c recoveryCmd) Run(w io.Writer) error {
	if !c.Differences {
		return query(c.controllerFlags, "/recovery", w, printRecovery)
	}
	q := url.Values{"skip": {fmt.Sprint(c.Skip)}, "most": {fmt.Sprint(c.Most)}}
	if c.Class != "" {
		q.Set("class", c.Class)
	}
	return query(c.controllerFlags, "/recovery/differences?"+q.Encode(), w, printDifferences)
}

func printRecovery(t *tabwriter.Writer, s reconcile.Status) {
	kind := "after a failover"
	if s.Cold {
		kind = "after all controllers were away"
	}
	fmt.Fprintf(t, "phase\t%s, %.1f s since its start, %s\n", s.Phase, s.AgeS, kind)
	if !s.Enabled {
		fmt.Fprintf(t, "\tnothing is held back: the setting recovery is off\n")
	}
	for _, h := range s.History {
		fmt.Fprintf(t, "%s\tafter %.1f s\n", h.Phase, h.AfterS)
	}
	if s.WaitsUntilS > 0 {
		fmt.Fprintf(t, "waits\tuntil %.1f s at the most\n", s.WaitsUntilS)
	}
	fmt.Fprintf(t, "machines\t%d, not heard %d\n", s.Machines, s.Unconfirmed)
	if len(s.UnconfirmedMachines) > 0 {
		fmt.Fprintf(t, "\t%s\n", strings.Join(s.UnconfirmedMachines, " "))
	}
	fmt.Fprintf(t, "attempts\twithout proof %d, stops to be confirmed %d\n", s.Unproven, s.PendingStops)
	for _, class := range slices.Sorted(maps.Keys(s.Classes)) {
		fmt.Fprintf(t, "\t%s %d\n", class, s.Classes[class])
	}
	fmt.Fprintf(t, "orders\tuntil it was settled, in brackets what differences asked for\n")
	for _, kind := range slices.Sorted(maps.Keys(s.Operations)) {
		fmt.Fprintf(t, "\t%s %d (%d)\n", kind, s.Operations[kind].Total, s.Operations[kind].Attributed)
	}
	fmt.Fprintf(t, "differences\t%d, not kept %d\n", s.Differences, s.DifferencesDropped)
}

func printDifferences(t *tabwriter.Writer, list []reconcile.DifferenceView) {
	fmt.Fprintf(t, "TASK\tMACHINE\tATTEMPT\tCLASS\tACTION\tAFTER\n")
	for _, d := range list {
		late := ""
		if d.Late {
			late = ", late"
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\t%.1fs%s\n", d.Task, d.Machine, d.Number, d.Class, d.Action, d.AfterS, late)
	}
}
