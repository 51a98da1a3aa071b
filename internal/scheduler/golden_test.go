package scheduler

import (
	"testing"

	"github.com/yarrowgap/yarrowgap/internal/golden"
)

// TestOperatorAnswersMatchGoldenFiles checks the encodings of the leader's state that operators
// are shown.
func TestOperatorAnswersMatchGoldenFiles(t *testing.T) {
	answers := map[string]any{
		"machine": &MachineView{},
		"job":     &JobDetail{},
		"attempt": &TaskView{},
		"failure": &Failure{},
	}
	var all []any
	for name, answer := range answers {
		golden.CheckEncoding(t, name, golden.JSON, answer)
		golden.CheckEncoding(t, name, golden.CBOR, answer)
		all = append(all, answer)
	}
	golden.CheckCoverage(t, all...)
}
