// Package tracing exports spans of a leader's reconciliation after a failover and of its
// placement rounds to a file or to standard output, with the OpenTelemetry SDK. A nil Tracer
// traces nothing and allocates nothing.
package tracing

import (
	"context"
	"errors"
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

// Stdout is the target name of standard output.
const Stdout = "-"

// Attribute keys and span names. Operators search for them, so they must not change.
const (
	keyService    = attribute.Key("service.name")
	keyNode       = attribute.Key("yarrowgap.node")
	keyTerm       = attribute.Key("yarrowgap.term")
	keyMachine    = attribute.Key("yarrowgap.machine")
	keyTask       = attribute.Key("yarrowgap.task")
	keyAttempt    = attribute.Key("yarrowgap.attempt")
	keyKind       = attribute.Key("yarrowgap.order.kind")
	keyAttributed = attribute.Key("yarrowgap.order.traced")
	keyOutcome    = attribute.Key("yarrowgap.recovery.outcome")
	keyJobs       = attribute.Key("yarrowgap.records.jobs")
	keyBatches    = attribute.Key("yarrowgap.records.batches")

	spanReconciliation   = "recovery"
	spanPhasePrefix      = "recovery." // followed by the name of the phase
	spanMachineConfirmed = "recovery.heard"
	spanOperation        = "recovery.order"
	spanPlacementRound   = "leader.round"
)

// Outcomes of a reconciliation.
const (
	outcomeSettled   = "settled"
	outcomeTermEnded = "term ended"
)

// Tracer creates and exports spans. Its methods, except Close, are not safe for concurrent use.
type Tracer struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
	file     io.Closer // nil for standard output

	term           uint64
	reconciliation trace.Span // nil outside a reconciliation
	phase          trace.Span // current phase of the reconciliation; nil outside one
}

// Open returns a tracer that writes to the target, which is Stdout or the path of a file that
// is appended to and rotated. For an empty target the tracer is nil.
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
	service := resource.NewSchemaless(keyService.String("yarrowgap"), keyNode.String(node))
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter, sdktrace.WithMaxQueueSize(tuning.TraceQueueSpans)),
		sdktrace.WithResource(service),
	)
	return &Tracer{provider: provider, tracer: provider.Tracer("yarrowgap"), file: file}, nil
}

// Enabled reports whether tracing is enabled.
func (t *Tracer) Enabled() bool { return t != nil }

// Close exports the queued spans and closes the file.
func (t *Tracer) Close(ctx context.Context) error {
	if t == nil {
		return nil
	}
	err := t.provider.Shutdown(ctx)
	if t.file == nil {
		return err
	}
	return errors.Join(err, t.file.Close())
}

// RecordsLoaded starts the span of a reconciliation and adds the span of its loading phase, in
// which the given numbers of jobs and assignment batches were read.
func (t *Tracer) RecordsLoaded(term uint64, startedAt, endedAt time.Time, jobs, batches int) {
	if t == nil {
		return
	}
	t.TermEnded(endedAt)
	t.term = term
	t.reconciliation = t.startSpan(context.Background(), spanReconciliation, startedAt, t.termAttribute())
	loading := t.startChild(spanPhasePrefix+reconcile.Loading.String(), startedAt, keyJobs.Int(jobs), keyBatches.Int(batches))
	loading.End(trace.WithTimestamp(endedAt))
	t.phase = t.startChild(spanPhasePrefix+reconcile.Collecting.String(), endedAt)
}

// ReconcileEvents adds events of the reconciliation, whose times are relative to start.
func (t *Tracer) ReconcileEvents(start time.Time, events []reconcile.Event) {
	if t == nil {
		return
	}
	for _, event := range events {
		if t.reconciliation == nil {
			return // no reconciliation, or already settled: there is no parent span
		}
		t.addEvent(start.Add(event.At), event)
	}
}

func (t *Tracer) addEvent(at time.Time, event reconcile.Event) {
	operation := event.Operation
	switch event.Kind {
	case reconcile.PhaseEntered:
		t.enterPhase(event.Phase, at)
	case reconcile.MachineConfirmed:
		t.addInstant(spanMachineConfirmed, at, keyMachine.String(operation.Machine))
	case reconcile.OperationCounted:
		t.addInstant(spanOperation, at, keyKind.String(operation.Kind.String()), keyMachine.String(operation.Machine),
			keyTask.String(operation.Task), keyAttempt.Int64(int64(operation.Number)), keyAttributed.Bool(event.Attributed))
	}
}

// addInstant adds a span without a duration to the reconciliation.
func (t *Tracer) addInstant(name string, at time.Time, attributes ...attribute.KeyValue) {
	t.startChild(name, at, attributes...).End(trace.WithTimestamp(at))
}

func (t *Tracer) enterPhase(phase reconcile.Phase, at time.Time) {
	t.phase.End(trace.WithTimestamp(at))
	if phase == reconcile.Settled {
		t.endReconciliation(at, outcomeSettled)
		return
	}
	t.phase = t.startChild(spanPhasePrefix+phase.String(), at)
}

func (t *Tracer) endReconciliation(at time.Time, outcome string) {
	t.reconciliation.SetAttributes(keyOutcome.String(outcome))
	t.reconciliation.End(trace.WithTimestamp(at))
	t.reconciliation, t.phase = nil, nil
}

// TermEnded ends the span of a reconciliation that was not settled.
func (t *Tracer) TermEnded(at time.Time) {
	if t == nil || t.reconciliation == nil {
		return
	}
	t.phase.End(trace.WithTimestamp(at))
	t.endReconciliation(at, outcomeTermEnded)
}

// PlacementRound adds the span of a placement round.
func (t *Tracer) PlacementRound(startedAt, endedAt time.Time) {
	if t == nil {
		return
	}
	span := t.startSpan(context.Background(), spanPlacementRound, startedAt, t.termAttribute())
	span.End(trace.WithTimestamp(endedAt))
}

// startChild starts a child span of the reconciliation's span.
func (t *Tracer) startChild(name string, at time.Time, attributes ...attribute.KeyValue) trace.Span {
	parent := trace.ContextWithSpan(context.Background(), t.reconciliation)
	return t.startSpan(parent, name, at, attributes...)
}

func (t *Tracer) startSpan(ctx context.Context, name string, at time.Time, attributes ...attribute.KeyValue) trace.Span {
	_, span := t.tracer.Start(ctx, name, trace.WithTimestamp(at), trace.WithAttributes(attributes...))
	return span
}

func (t *Tracer) termAttribute() attribute.KeyValue { return keyTerm.Int64(int64(t.term)) }
