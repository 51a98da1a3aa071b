package scheduler

import (
	"log/slog"

	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Effects are what the controller has to do after an input, by the scheduler's decision.
type Effects struct {
	DirectCalls []DirectCall
	Commits     []Commit
	Provision   []ProvisionRequest
	Release     [][]string   // names of machines, one slice a request
	Resign      ResignReason // why leadership has to be given up; empty: it goes on
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
	Level      slog.Level
	Message    string
	Attributes []any
}

// TakeEffects returns the effects gathered since the last call.
func (s *Scheduler) TakeEffects() Effects {
	s.reconciler.flushEvents()
	effects := s.effects
	s.effects = Effects{}
	return effects
}

// logDebug adds a line for debugging.
func (c *termContext) logDebug(message string, attributes ...any) {
	c.effects.Log = append(c.effects.Log, LogLine{slog.LevelDebug, message, attributes})
}

// logInfo adds a line that operators see by default.
func (c *termContext) logInfo(message string, attributes ...any) {
	c.effects.Log = append(c.effects.Log, LogLine{slog.LevelInfo, message, attributes})
}
