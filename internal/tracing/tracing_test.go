package tracing

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/reconcile"
)

// span holds the exported fields of a span that the tests check.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
	Attributes  []struct {
		Key   string
		Value struct{ Value any }
	}
}

// decodeSpans decodes all exported spans.
func decodeSpans(t *testing.T, raw []byte) []span {
	t.Helper()
	var spans []span
	decoder := json.NewDecoder(bytes.NewReader(raw))
	for {
		var next span
		err := decoder.Decode(&next)
		if errors.Is(err, io.EOF) {
			return spans
		}
		if err != nil {
			t.Fatal(err)
		}
		spans = append(spans, next)
	}
}

// A reconciliation is one trace: the spans of its phases, of confirmed machines and of
// operations are children of its span. Placement rounds are separate root spans, and events
// after the end of the term add no spans.
func TestReconciliationIsOneTrace(t *testing.T) {
	path := filepath.Join(t.TempDir(), "spans.json")
	tracer, err := Open(path, "node-1")
	if err != nil {
		t.Fatal(err)
	}
	start := time.Unix(1000, 0)
	events := []reconcile.Event{
		{Kind: reconcile.MachineConfirmed, At: time.Second, Operation: reconcile.Operation{Machine: "n-1"}},
		{Kind: reconcile.OperationCounted, At: time.Second, Operation: reconcile.Operation{Kind: reconcile.StopOperation, Machine: "n-1", Task: "run-000001/0", Number: 7}, Attributed: true},
		{Kind: reconcile.PhaseEntered, At: 2 * time.Second, Phase: reconcile.Reconciling},
		{Kind: reconcile.PhaseEntered, At: 3 * time.Second, Phase: reconcile.Settled},
		{Kind: reconcile.OperationCounted, At: 4 * time.Second},
	}
	tracer.RecordsLoaded(9, start, start.Add(time.Second), 3, 2)
	tracer.ReconcileEvents(start, events)
	tracer.PlacementRound(start, start.Add(time.Millisecond))
	tracer.RecordsLoaded(10, start, start.Add(time.Second), 3, 2)
	tracer.TermEnded(start.Add(2 * time.Second))
	tracer.ReconcileEvents(start, events)
	if err = tracer.Close(t.Context()); err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	spans := decodeSpans(t, raw)
	roots, names := map[string]span{}, []string{}
	for _, s := range spans {
		names = append(names, s.Name)
		if s.Name == spanReconciliation {
			roots[s.SpanContext.SpanID] = s
		}
	}
	slices.Sort(names)
	want := []string{"leader.round", "recovery", "recovery", "recovery.collecting", "recovery.collecting", "recovery.heard",
		"recovery.loading", "recovery.loading", "recovery.order", "recovery.reconciling"}
	if !slices.Equal(names, want) {
		t.Errorf("spans: %v", names)
	}
	for _, s := range spans {
		root, child := roots[s.Parent.SpanID]
		if isRoot := s.Name == "recovery" || s.Name == "leader.round"; child == isRoot || child && root.SpanContext.TraceID != s.SpanContext.TraceID {
			t.Errorf("%s: child of a reconciliation span: %v", s.Name, child)
		}
		if s.Name != "recovery.order" {
			continue
		}
		got := map[string]any{}
		for _, a := range s.Attributes {
			got[a.Key] = a.Value.Value
		}
		if got["yarrowgap.machine"] != "n-1" || got["yarrowgap.task"] != "run-000001/0" || got["yarrowgap.order.kind"] != "stop" || got["yarrowgap.order.traced"] != true {
			t.Errorf("attributes: %v", got)
		}
	}
}

// A full file is rotated between whole spans, and both files stay under the maximum size. Each
// open appends to the existing file.
func TestTraceFilesAreBounded(t *testing.T) {
	path := filepath.Join(t.TempDir(), "spans.json")
	const maxBytes, openCount = 100, 40
	line := append(bytes.Repeat([]byte("x"), 29), '\n')
	for i := range openCount {
		file, err := openRotating(path, maxBytes)
		if err != nil {
			t.Fatal(err)
		}
		for range 1 + i%2 {
			if _, err := file.Write(line); err != nil {
				t.Fatal(err)
			}
		}
		if err := file.Close(); err != nil {
			t.Fatal(err)
		}
		for _, name := range []string{path, path + rotatedSuffix} {
			raw, err := os.ReadFile(name)
			if len(raw) > maxBytes || len(raw)%len(line) != 0 || err != nil && (name == path || i > 3) {
				t.Fatalf("after opening %d: %s has %d bytes, error %v", i, name, len(raw), err)
			}
		}
	}
}

// Without a target, neither spans nor the events of operations allocate memory.
func TestDisabledTracerAllocatesNothing(t *testing.T) {
	tracer, err := Open("", "node-1")
	if err != nil || tracer.Enabled() {
		t.Fatalf("%v, %v", tracer, err)
	}
	now := time.Unix(1000, 0)
	reconciler := reconcile.New(0, reconcile.Config{HeartbeatInterval: time.Second, WorkerLease: time.Minute})
	reconciler.ExpectAttempt("n-1")
	events := []reconcile.Event{{Kind: reconcile.OperationCounted}}
	if allocations := testing.AllocsPerRun(100, func() {
		tracer.RecordsLoaded(1, now, now, 1, 1)
		tracer.ReconcileEvents(now, events)
		tracer.PlacementRound(now, now)
		tracer.TermEnded(now)
		reconciler.CountOperation(time.Second, reconcile.Operation{Kind: reconcile.StartOperation, Machine: "n-1", Task: "run-000001/0"})
		_ = reconciler.TakeEvents()
	}); allocations != 0 {
		t.Errorf("%v allocations", allocations)
	}
	if err := tracer.Close(t.Context()); err != nil {
		t.Error(err)
	}
	if _, err := Open(filepath.Join(t.TempDir(), "missing", "spans.json"), "node-1"); err == nil {
		t.Error("opening a file in a missing directory succeeded")
	}
}
