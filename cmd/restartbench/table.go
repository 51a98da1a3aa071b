package main

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// writeTable writes a table with columns separated by |, like the rows of a Markdown table. It holds
// the mean of each metric over all seeds, and the range in parentheses if the values differ.
func writeTable(w io.Writer, scenarios []scenario) error {
	table := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprint(table, "| machines, changed\t| recovery\t|")
	for _, m := range metrics {
		fmt.Fprintf(table, " %s\t|", m.name)
	}
	fmt.Fprintln(table)
	for _, s := range scenarios {
		for _, v := range s.variants {
			writeRow(table, s, v)
		}
	}
	return table.Flush()
}

func writeRow(w io.Writer, s scenario, v variant) {
	fmt.Fprintf(w, "| %d, %g%%\t| %s\t|", s.machines, percent(s.changedShare), v.name)
	for _, m := range metrics {
		fmt.Fprintf(w, " %v\t|", m.summarize(v.results))
	}
	fmt.Fprintln(w)
}

func percent(share float64) float64 { return 100 * share }
