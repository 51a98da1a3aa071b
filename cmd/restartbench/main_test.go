package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/yarrowgap/yarrowgap/internal/restartsim"
)

func TestSummaryIsOverAllSeeds(t *testing.T) {
	calls := metric{"calls", func(r restartsim.Result) float64 { return float64(r.DirectCalls) }}
	results := []restartsim.Result{{DirectCalls: 4}, {DirectCalls: 1}, {DirectCalls: 1}, {DirectCalls: 2}}
	if got := calls.summarize(results); got != (summary{lowest: 1, mean: 2, highest: 4}) {
		t.Errorf("summarized as %+v", got)
	}
}

// The table has one row per variant of each scenario, and the page has one plot per metric and
// number of machines.
func TestTableAndPageShowEveryScenario(t *testing.T) {
	scenarios := newScenarios(options{Machines: []int{8, 12}, Changed: []float64{0, 0.5}, Seeds: 2})
	runAll(scenarios, 2)

	var table bytes.Buffer
	if err := writeTable(&table, scenarios); err != nil {
		t.Fatal(err)
	}
	const header, variants = 1, 2
	if lines := strings.Count(table.String(), "\n"); lines != header+variants*len(scenarios) {
		t.Errorf("the table has %d lines:\n%s", lines, table.String())
	}

	path := filepath.Join(t.TempDir(), "new", "page.html")
	if err := writePage(path, scenarios); err != nil {
		t.Fatal(err)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if figures := bytes.Count(content, []byte("<img ")); figures != 2*len(metrics) {
		t.Errorf("the page has %d figures", figures)
	}
}
