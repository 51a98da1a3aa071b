package scheduler

import (
	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Effects are what the controller has to do after an input, by the scheduler's decision.
type Effects struct {
	DirectCalls []DirectCall
	Commits     []Commit
	Provision   []ProvisionRequest
	Release     [][]string   // names of machines, one slice a request
	Resign      ResignReason // empty: leadership goes on
	Log         []LogLine
	// Reconciliation has the events of the term's reconciliation, for traces.
	Reconciliation []reconcile.Event
}

// DirectCall is a POST /commands to a machine.
type DirectCall struct {
	ID      uint64
	Machine string
	Addr    string
	Body    wire.DirectCommands
}

// Commit is a transaction of the leader.
type Commit struct {
	ID  uint64
	Txn wire.Txn
}

// ProvisionRequest is a request for machines.
type ProvisionRequest struct {
	Request wire.ProvisionRequest
}

// LogLine is a line for the log, with attributes in pairs of key and value.
type LogLine struct {
	Debug bool
	Msg   string
	Args  []any
}

// TakeEffects returns the effects gathered since the last call.
func (s *Scheduler) TakeEffects() Effects {
	s.takeReconciliationEvents()
	effects := s.effects
	s.effects = Effects{}
	return effects
}

func (s *Scheduler) log(debug bool, message string, args ...any) {
	s.effects.Log = append(s.effects.Log, LogLine{debug, message, args})
}

// logDebug adds a line for debugging.
func (s *Scheduler) logDebug(message string, attributes ...any) { s.log(true, message, attributes...) }

// logInfo adds a line that operators see by default.
func (s *Scheduler) logInfo(message string, attributes ...any) { s.log(false, message, attributes...) }
