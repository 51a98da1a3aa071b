package controller

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/kvstore"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// Guards against a store that rejects every transaction filling the log, and against rejections
// that no operator sees.
func TestRejectedTransactionsAreLoggedAtIntervals(t *testing.T) {
	var output bytes.Buffer
	rejections := rejectionLog{log: slog.New(slog.NewTextHandler(&output, nil))}
	now := time.Now()
	rejection := kvstore.Rejection{FirstKey: "assigned/7-1", Operations: 3, LargestValueBytes: 5000, Bytes: 6000, Err: kvstore.ErrRejected}
	for range 5 {
		rejections.recordAt(now, rejection)
	}
	rejections.recordAt(now.Add(tuning.RejectionLogInterval), rejection)
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	if len(lines) != 2 {
		t.Fatalf("lines:\n%s", output.String())
	}
	for i, unlogged := range []int{0, 4} {
		for _, attribute := range []string{"key=assigned/7-1", "operations=3", "largest_value_bytes=5000", "bytes=6000", fmt.Sprintf("unlogged=%d", unlogged)} {
			if !strings.Contains(lines[i], attribute) {
				t.Errorf("line %q has no %s", lines[i], attribute)
			}
		}
	}
}
