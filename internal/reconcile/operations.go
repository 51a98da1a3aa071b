package reconcile

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// Attempt identifies an attempt of a task on a machine.
type Attempt struct {
	Machine string `json:"machine"`
	Task    string `json:"task"`
	Number  uint64 `json:"attempt"` // attempt number
}

// Difference is an attempt whose record and heartbeat listing disagree, and the resulting action.
type Difference struct {
	Attempt
	Class    Class
	Action   Action
	Recorded bool // a record names the attempt
	Late     bool // found after the reconciliation had settled
	FoundAt  time.Duration
}

// OperationKind is the kind of an operation.
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
// provisioning request. Retries are not operations.
type Operation struct {
	Kind    OperationKind
	Machine string // empty for provisioning
	Task    string // empty for provisioning and releases
	Number  uint64 // attempt number; 0 for provisioning and releases
}

// OperationCount counts all operations of a kind, and those attributed to a difference.
type OperationCount struct {
	Total      int `json:"total"`
	Attributed int `json:"traced"`
}

// EventKind is the kind of an event.
type EventKind uint8

// Kinds of events.
const (
	PhaseEntered EventKind = iota
	MachineConfirmed
	OperationCounted
)

// Event is an occurrence that is shown in traces and logs.
type Event struct {
	Kind       EventKind
	At         time.Duration
	Phase      Phase     // set for PhaseEntered
	Operation  Operation // set for OperationCounted; for MachineConfirmed only the machine
	Attributed bool      // whether a difference caused the operation
}

// operationTracker counts operations and attributes them to the differences that caused them.
type operationTracker struct {
	counts         [operationKindCount]OperationCount
	expectedStops  map[Attempt]bool // attempts to stop because of a difference
	expectedStarts map[string]bool  // tasks to start again because of a difference
}

func newOperationTracker() operationTracker {
	return operationTracker{expectedStops: map[Attempt]bool{}, expectedStarts: map[string]bool{}}
}

// expect registers the operations that a difference will cause.
func (t *operationTracker) expect(d Difference) {
	switch d.Action {
	case Stop:
		t.expectedStops[d.Attempt] = true
	case Replace:
		t.expectedStarts[d.Task] = true
	}
}

// attribute reports whether a difference caused the operation. Each expected operation is
// attributed once.
func (t *operationTracker) attribute(o Operation) bool {
	switch o.Kind {
	case StartOperation:
		expected := t.expectedStarts[o.Task]
		delete(t.expectedStarts, o.Task)
		return expected
	case StopOperation:
		key := Attempt{o.Machine, o.Task, o.Number}
		expected := t.expectedStops[key]
		delete(t.expectedStops, key)
		return expected
	}
	return false
}

// recordDifference registers the operations that a difference will cause, unless the difference is
// late, and adds it to the list for operators, unless the list is full.
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

// CountOperation counts an operation, unless the reconciliation has settled.
func (r *Reconciler) CountOperation(now time.Duration, o Operation) {
	if r.phase == Settled {
		return
	}
	attributed := r.operations.attribute(o)
	switch m := r.machines[o.Machine]; o.Kind {
	case ReleaseOperation:
		// Releasing a machine proves that the attempts on it are gone.
		attributed = m != nil && m.unproven > 0
	case ForgetOperation:
		// A forget command counts as attributed on every machine from before the term.
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

// Totals returns the number of operations before the reconciliation settled, the number of these
// that are attributed to a difference, and the number of differences.
func (r *Reconciler) Totals() (operations, attributed, differences int) {
	for _, c := range r.operations.counts {
		operations += c.Total
		attributed += c.Attributed
	}
	return operations, attributed, len(r.differences) + r.droppedDifferences
}

// TakeEvents returns and clears the events since the last call.
func (r *Reconciler) TakeEvents() []Event {
	events := r.events
	r.events = nil
	return events
}
