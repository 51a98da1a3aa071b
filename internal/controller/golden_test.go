package controller

import (
	"testing"

	"github.com/yarrowgap/yarrowgap/internal/golden"
)

// TestOperatorAnswersMatchGoldenFiles covers the answers to operators' queries about the process.
func TestOperatorAnswersMatchGoldenFiles(t *testing.T) {
	answers := map[string]any{
		"leader":  &LeaderView{},
		"latency": &LatencySummary{},
		"metrics": &Metrics{},
	}
	var all []any
	for name, answer := range answers {
		golden.CheckEncoding(t, name, golden.JSON, answer)
		all = append(all, answer)
	}
	golden.CheckCoverage(t, all...)
}
