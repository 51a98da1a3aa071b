package reconcile

import (
	"testing"

	"github.com/yarrowgap/yarrowgap/internal/golden"
)

// TestOperatorAnswersMatchGoldenFiles covers what operators are shown of a recovery.
func TestOperatorAnswersMatchGoldenFiles(t *testing.T) {
	answers := map[string]any{
		"status":      &Status{},
		"phase-time":  &PhaseTime{},
		"order-count": &OperationCount{},
		"difference":  &DifferenceView{},
		"attempt":     &Attempt{},
	}
	var all []any
	for name, answer := range answers {
		golden.CheckEncoding(t, name, golden.JSON, answer)
		all = append(all, answer)
	}
	golden.CheckCoverage(t, all...)
}

// TestWordsInAnswersMatchGoldenFile covers the names of classes, actions, kinds of
// orders and phases.
func TestWordsInAnswersMatchGoldenFile(t *testing.T) {
	golden.CheckLines(t, "words.txt",
		None, MissingUnproven, MissingProven, Confirmed, Failed, FinishedUnrecorded, Unrecorded, Superseded, Obsolete,
		Keep, Await, Replace, Drop, Adopt, Stop, RecordDone,
		StartOperation, StopOperation, ForgetOperation, ProvisionOperation, ReleaseOperation,
		Loading, Collecting, Reconciling, Settled,
	)
}
