// Package tracing exports spans of a leader's recovery and of its rounds of placement, by
// OpenTelemetry's SDK, to a file or to standard output. A nil Tracer traces nothing and
// costs nothing.
package tracing

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// Stdout is the target that stands for standard output.
const Stdout = "-"

// Keys of attributes. They are part of what operators rely on.
const (
	keyService = attribute.Key("service.name")
	keyNode    = attribute.Key("yarrowgap.node")
	keyTerm    = attribute.Key("yarrowgap.term")
	keyMachine = attribute.Key("yarrowgap.machine")
	keyTask    = attribute.Key("yarrowgap.task")
	keyAttempt = attribute.Key("yarrowgap.attempt")
	keyKind    = attribute.Key("yarrowgap.order.kind")
	keyTraced  = attribute.Key("yarrowgap.order.traced")
	keyOutcome = attribute.Key("yarrowgap.recovery.outcome")
	keyJobs    = attribute.Key("yarrowgap.records.jobs")
	keyRecords = attribute.Key("yarrowgap.records.batches")
)

// Outcomes of a recovery.
const (
	outcomeSettled = "settled"
	outcomeEnded   = "term ended"
)

// Tracer makes spans. Its methods are not safe for concurrent use, but for Close.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
	file     io.Closer

	reconcileContext context.Context // that of the recovery's span; nil: there is none
	phaseSpan        trace.Span      // the phase that goes on
	term             uint64
}

// Open makes a tracer that writes to the target: a file, which is appended to and rotated,
// or Stdout.
// Without a target there is none.
func Open(target, node string) (*Tracer, error) {
	if target == "" {
		return nil, nil
	}
	if target == Stdout {
		return newTracer(os.Stdout, nil, node)
	}
	file, err := openRotating(target, tuning.MaxTraceFileBytes)
	if err != nil {
		return nil, fmt.Errorf("trace_file: %w", err)
	}
	return newTracer(file, file, node)
}

func newTracer(w io.Writer, file io.Closer, node string) (*Tracer, error) {
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(w))
	if err != nil {
		return nil, err
	}
	about := resource.NewSchemaless(keyService.String("yarrowgap"), keyNode.String(node))
	provider := sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter, sdktrace.WithMaxQueueSize(tuning.TraceQueueSpans)), sdktrace.WithResource(about))
	return &Tracer{provider: provider, tracer: provider.Tracer("yarrowgap"), file: file}, nil
}

// Enabled reports whether anything is traced.
func (t *Tracer) Enabled() bool { return t != nil }

// Close exports what waits, and closes the file.
func (t *Tracer) Close(ctx context.Context) error {
	if t == nil {
		return nil
	}
	err := t.provider.Shutdown(ctx)
	if t.file != nil {
		if closeErr := t.file.Close(); err == nil {
			err = closeErr
		}
	}
	return err
}

// RecordsLoaded begins a recovery's span with the reading of its records.
func (t *Tracer) RecordsLoaded(term uint64, startedAt, endedAt time.Time, jobs, records int) {
	if t == nil {
		return
	}
	t.TermEnded(endedAt)
	t.term = term
	t.reconcileContext, _ = t.tracer.Start(context.Background(), "recovery", trace.WithTimestamp(startedAt), trace.WithAttributes(keyTerm.Int64(int64(term))))
	_, loading := t.startSpan("recovery."+reconcile.Loading.String(), startedAt, keyJobs.Int(jobs), keyRecords.Int(records))
	loading.End(trace.WithTimestamp(endedAt))
	_, t.phaseSpan = t.startSpan("recovery."+reconcile.Collecting.String(), endedAt)
}

// startSpan begins a span in the recovery's.
func (t *Tracer) startSpan(name string, at time.Time, attributes ...attribute.KeyValue) (context.Context, trace.Span) {
	return t.tracer.Start(t.reconcileContext, name, trace.WithTimestamp(at), trace.WithAttributes(attributes...))
}

// ReconcileEvents takes events of the recovery. start is when the times of events count from.
func (t *Tracer) ReconcileEvents(start time.Time, events []reconcile.Event) {
	if t == nil || t.reconcileContext == nil {
		return
	}
	for _, e := range events {
		at := start.Add(e.At)
		switch e.Kind {
		case reconcile.PhaseEntered:
			t.enterPhase(e.Phase, at)
		case reconcile.MachineConfirmed:
			t.recordInstant("recovery.heard", at, keyMachine.String(e.Operation.Machine))
		case reconcile.OperationCounted:
			t.recordInstant("recovery.order", at, keyKind.String(e.Operation.Kind.String()), keyMachine.String(e.Operation.Machine),
				keyTask.String(e.Operation.Task), keyAttempt.Int64(int64(e.Operation.Number)), keyTraced.Bool(e.Attributed))
		}
	}
}

func (t *Tracer) recordInstant(name string, at time.Time, attributes ...attribute.KeyValue) {
	if t.reconcileContext == nil {
		return // after the recovery was settled
	}
	_, span := t.startSpan(name, at, attributes...)
	span.End(trace.WithTimestamp(at))
}

func (t *Tracer) enterPhase(phase reconcile.Phase, at time.Time) {
	if t.reconcileContext == nil {
		return
	}
	t.phaseSpan.End(trace.WithTimestamp(at))
	if phase == reconcile.Settled {
		t.finishReconcile(at, outcomeSettled)
		return
	}
	_, t.phaseSpan = t.startSpan("recovery."+phase.String(), at)
}

func (t *Tracer) finishReconcile(at time.Time, outcome string) {
	span := trace.SpanFromContext(t.reconcileContext)
	span.SetAttributes(keyOutcome.String(outcome))
	span.End(trace.WithTimestamp(at))
	t.reconcileContext = nil
}

// TermEnded ends the span of a recovery that was not settled.
func (t *Tracer) TermEnded(at time.Time) {
	if t == nil || t.reconcileContext == nil {
		return
	}
	t.phaseSpan.End(trace.WithTimestamp(at))
	t.finishReconcile(at, outcomeEnded)
}

// PlacementRound makes a span of a round of placement.
func (t *Tracer) PlacementRound(startedAt, endedAt time.Time) {
	if t == nil {
		return
	}
	_, span := t.tracer.Start(context.Background(), "leader.round", trace.WithTimestamp(startedAt), trace.WithAttributes(keyTerm.Int64(int64(t.term))))
	span.End(trace.WithTimestamp(endedAt))
}
