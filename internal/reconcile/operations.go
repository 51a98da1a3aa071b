package reconcile

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// Attempt identifies an attempt of a task on a machine.
type Attempt struct {
	Machine string `json:"machine"`
	Task    string `json:"task"`
	Number  uint64 `json:"attempt"`
}

// Difference is an attempt whose record and listing do not agree, and what follows.
type Difference struct {
	Attempt
	Class    Class
	Action   Action
	Recorded bool // a record names the attempt
	Late     bool // found after the reconciliation was settled
	At       time.Duration
}

// OperationKind is a kind of operation.
type OperationKind uint8

// Kinds of operations.
const (
	StartOperation OperationKind = iota
	StopOperation
	ForgetOperation
	ProvisionOperation
	ReleaseOperation

	operationKindCount
)

var operationKindNames = [operationKindCount]string{
	StartOperation: "start", StopOperation: "stop", ForgetOperation: "forget",
	ProvisionOperation: "rental", ReleaseOperation: "release",
}

func (k OperationKind) String() string { return operationKindNames[k] }

// Operation is the first command or cloud call of its kind for an attempt, a machine or a
// provisioning request. Retries are not counted.
type Operation struct {
	Kind    OperationKind
	Machine string // empty for provisioning
	Task    string // empty for provisioning and releases
	Number  uint64 // the attempt
}

// OperationCount counts operations: all, and those that a difference asked for.
type OperationCount struct {
	Total      int `json:"total"`
	Attributed int `json:"traced"`
}

// EventKind is a kind of event.
type EventKind uint8

// Kinds of events.
const (
	PhaseEntered EventKind = iota
	MachineConfirmed
	OperationCounted
)

// Event is something that traces and logs show.
type Event struct {
	Kind       EventKind
	At         time.Duration
	Phase      Phase     // of PhaseEntered
	Operation  Operation // of OperationCounted; of MachineConfirmed only the machine
	Attributed bool      // a difference asked for the operation
}

// operationLedger counts operations, and attributes them to differences.
type operationLedger struct {
	counts         [operationKindCount]OperationCount
	expectedStops  map[Attempt]bool // attempts that differences stop
	expectedStarts map[string]bool  // tasks that differences start again
}

func newOperationLedger() operationLedger {
	return operationLedger{expectedStops: map[Attempt]bool{}, expectedStarts: map[string]bool{}}
}

// expect notes the operations that a difference leads to.
func (l *operationLedger) expect(d Difference) {
	switch d.Action {
	case Stop:
		l.expectedStops[d.Attempt] = true
	case Replace:
		l.expectedStarts[d.Task] = true
	}
}

// attribute reports whether a difference asked for the operation. Each asks once.
func (l *operationLedger) attribute(o Operation) bool {
	switch o.Kind {
	case StartOperation:
		expected := l.expectedStarts[o.Task]
		delete(l.expectedStarts, o.Task)
		return expected
	case StopOperation:
		key := Attempt{o.Machine, o.Task, o.Number}
		expected := l.expectedStops[key]
		delete(l.expectedStops, key)
		return expected
	}
	return false
}

// recordDifference keeps a difference for operators, and notes the operations that it
// leads to.
func (r *Reconciler) recordDifference(d Difference) {
	if !d.Late {
		r.operations.expect(d)
	}
	if len(r.differences) == tuning.MaxListedDifferences {
		r.droppedDifferences++
		return
	}
	r.differences = append(r.differences, d)
}

// CountOperation counts an operation, unless the reconciliation is settled.
func (r *Reconciler) CountOperation(now time.Duration, o Operation) {
	if r.phase == Settled {
		return
	}
	attributed := r.operations.attribute(o)
	switch m := r.machines[o.Machine]; o.Kind {
	case ReleaseOperation:
		// The release of a machine is the proof that attempts on it are gone.
		attributed = m != nil && m.unproven > 0
	case ForgetOperation:
		attributed = m != nil
	}
	count := &r.operations.counts[o.Kind]
	count.Total++
	if attributed {
		count.Attributed++
	}
	if r.config.Trace {
		r.events = append(r.events, Event{Kind: OperationCounted, At: now, Operation: o, Attributed: attributed})
	}
}

// Totals counts the operations until the reconciliation was settled, those of them that
// a difference asked for, and all differences.
func (r *Reconciler) Totals() (operations, attributed, differences int) {
	for _, c := range r.operations.counts {
		operations += c.Total
		attributed += c.Attributed
	}
	return operations, attributed, len(r.differences) + r.droppedDifferences
}

// TakeEvents returns the events since the last call.
func (r *Reconciler) TakeEvents() []Event {
	events := r.events
	r.events = nil
	return events
}
