package reconcile

import (
	"testing"

	"github.com/yarrowgap/yarrowgap/internal/golden"
)

// TestOperatorResponsesMatchGoldenFiles covers the JSON that the operator API returns about a
// reconciliation.
func TestOperatorResponsesMatchGoldenFiles(t *testing.T) {
	responses := map[string]any{
		"status":      &Status{},
		"phase-time":  &PhaseTime{},
		"order-count": &OperationCount{},
		"difference":  &DifferenceView{},
		"attempt":     &Attempt{},
	}
	var all []any
	for name, response := range responses {
		golden.CheckEncoding(t, name, golden.JSON, response)
		all = append(all, response)
	}
	golden.CheckCoverage(t, all...)
}

// TestEnumNamesMatchGoldenFile covers the names of classes, actions, operation kinds and phases.
func TestEnumNamesMatchGoldenFile(t *testing.T) {
	golden.CheckLines(t, "words.txt",
		None, MissingUnproven, MissingProven, Confirmed, Failed, FinishedUnrecorded, Unrecorded, Superseded, Obsolete,
		Keep, Await, Replace, Drop, Adopt, Stop, RecordDone,
		StartOperation, StopOperation, ForgetOperation, ProvisionOperation, ReleaseOperation,
		Loading, Collecting, Reconciling, Settled,
	)
}
