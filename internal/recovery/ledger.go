package recovery

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// Attempt names an attempt of a task on a machine.
type Attempt struct {
	Machine string `json:"machine"`
	Task    string `json:"task"`
	Number  uint64 `json:"attempt"`
}

// Difference is an attempt whose report and record do not agree, and what follows.
type Difference struct {
	Attempt
	Class    Class
	Action   Action
	Recorded bool
	Late     bool // found after the recovery was settled
	At       time.Duration
}

// OrderKind is a kind of order.
type OrderKind uint8

// Kinds of orders.
const (
	OrderStart OrderKind = iota
	OrderStop
	OrderForget
	OrderRental
	OrderRelease

	orderKindCount
)

var orderKindNames = [orderKindCount]string{"start", "stop", "forget", "rental", "release"}

func (k OrderKind) String() string { return orderKindNames[k] }

// Order is a first order of its kind about a task, a machine or a rental. Repeats of an
// order whose answer was lost are none.
type Order struct {
	Kind    OrderKind
	Machine string // empty for rentals
	Task    string // empty for rentals and releases
	Number  uint64 // the attempt
}

// OrderCount counts orders: all, and those that a difference asked for.
type OrderCount struct {
	Total  int `json:"total"`
	Traced int `json:"traced"`
}

// EventKind is a kind of event.
type EventKind uint8

// Kinds of events.
const (
	PhaseEntered EventKind = iota
	MachineHeard
	OrderGiven
)

// Event is something that a trace or a log tells.
type Event struct {
	Kind   EventKind
	At     time.Duration
	Phase  Phase // of PhaseEntered
	Order  Order // of OrderGiven; of MachineHeard the machine
	Traced bool  // a difference asked for the order
}

// ledger finds the difference that an order follows from.
type ledger struct {
	counts  [orderKindCount]OrderCount
	stop    map[Attempt]bool // attempts that differences have to stop
	replace map[string]bool  // tasks that differences have to start anew
}

func newLedger() ledger {
	return ledger{stop: map[Attempt]bool{}, replace: map[string]bool{}}
}

// expect notes the orders that a difference leads to.
func (l *ledger) expect(d Difference) {
	switch d.Action {
	case Stop:
		l.stop[d.Attempt] = true
	case Replace:
		l.replace[d.Task] = true
	}
}

// traced reports whether a difference asked for the order, which it does once.
func (l *ledger) traced(o Order) bool {
	switch o.Kind {
	case OrderStart:
		asked := l.replace[o.Task]
		delete(l.replace, o.Task)
		return asked
	case OrderStop:
		key := Attempt{o.Machine, o.Task, o.Number}
		asked := l.stop[key]
		delete(l.stop, key)
		return asked
	}
	return false
}

// keep keeps a difference for the operators, and the orders it leads to.
func (r *Reconciler) keep(d Difference) {
	if !d.Late {
		r.ledger.expect(d)
	}
	if len(r.differences) == tuning.DifferencesKept {
		r.unkept++
		return
	}
	r.differences = append(r.differences, d)
}

// Ordered counts an order that the leader gives. A settled recovery counts none.
func (r *Reconciler) Ordered(now time.Duration, o Order) {
	if r.phase == Settled {
		return
	}
	traced := r.ledger.traced(o)
	switch m := r.machines[o.Machine]; o.Kind {
	case OrderRelease:
		// A machine that holds attempts without proof: its release is that proof.
		traced = m != nil && m.open > 0
	case OrderForget:
		traced = m != nil
	}
	count := &r.ledger.counts[o.Kind]
	count.Total++
	if traced {
		count.Traced++
	}
	if r.config.Trace {
		r.events = append(r.events, Event{Kind: OrderGiven, At: now, Order: o, Traced: traced})
	}
}

// Totals counts the orders until the recovery was settled, those of them that a
// difference asked for, and all differences.
func (r *Reconciler) Totals() (orders, traced, differences int) {
	for _, c := range r.ledger.counts {
		orders += c.Total
		traced += c.Traced
	}
	return orders, traced, len(r.differences) + r.unkept
}

// TakeEvents returns the events since the last call.
func (r *Reconciler) TakeEvents() []Event {
	events := r.events
	r.events = nil
	return events
}
