package scheduler

import (
	"testing"

	"github.com/yarrowgap/yarrowgap/internal/golden"
)

// TestOperatorResponsesMatchGoldenFiles checks the JSON and CBOR encodings of the scheduler state
// that the operator API returns.
func TestOperatorResponsesMatchGoldenFiles(t *testing.T) {
	responses := map[string]any{
		"machine": &MachineView{},
		"job":     &JobDetail{},
		"attempt": &TaskView{},
		"failure": &Failure{},
	}
	var all []any
	for name, response := range responses {
		golden.CheckEncoding(t, name, golden.JSON, response)
		golden.CheckEncoding(t, name, golden.CBOR, response)
		all = append(all, response)
	}
	golden.CheckCoverage(t, all...)
}
