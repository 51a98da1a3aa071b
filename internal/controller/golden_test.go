package controller

import (
	"testing"

	"github.com/yarrowgap/yarrowgap/internal/golden"
	"github.com/yarrowgap/yarrowgap/internal/kvstore"
)

// TestOperatorResponsesMatchGoldenFiles covers the JSON that the operator API returns about the
// controller process.
func TestOperatorResponsesMatchGoldenFiles(t *testing.T) {
	responses := map[string]any{
		"leader":  &LeaderView{},
		"latency": &LatencySummary{},
		"metrics": &Metrics{},

		"connections":   &ConnectionCounts{},
		"health_checks": &HealthCheckSummary{},

		"store_transactions": &kvstore.CommitCounts{},
	}
	var all []any
	for name, response := range responses {
		golden.CheckEncoding(t, name, golden.JSON, response)
		all = append(all, response)
	}
	golden.CheckCoverage(t, all...)
}
