package scheduler

import (
	"log/slog"

	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Effects are the actions that the scheduler has decided on and that the controller carries
// out after an input.
type Effects struct {
	DirectCalls []DirectCall
	Commits     []Commit
	Provision   []ProvisionRequest
	Release     [][]string   // machine names, one slice per release request
	Resign      ResignReason // why the leader must resign; empty: it stays the leader
	Log         []LogLine
	// Reconciliation lists the events of the term's reconciliation, for traces.
	Reconciliation []reconcile.Event
}

// DirectCall is a POST /commands request to a machine.
type DirectCall struct {
	ID      uint64
	Machine string
	Addr    string
	Body    wire.DirectCommands
}

// Commit is a transaction for the key-value store. The ID identifies its result.
type Commit struct {
	ID  uint64
	Txn wire.Txn
}

// ProvisionRequest is a request to the cloud for new machines.
type ProvisionRequest struct {
	Request wire.ProvisionRequest
}

// LogLine is a log line. Attributes alternate between keys and values.
type LogLine struct {
	Level      slog.Level
	Message    string
	Attributes []any
}

// TakeEffects returns the effects collected since the last call and clears them.
func (s *Scheduler) TakeEffects() Effects {
	s.reconciler.flushEvents()
	effects := s.effects
	s.effects = Effects{}
	return effects
}

// logDebug adds a log line at debug level.
func (c *termContext) logDebug(message string, attributes ...any) {
	c.effects.Log = append(c.effects.Log, LogLine{slog.LevelDebug, message, attributes})
}

// logInfo adds a log line at info level, which operators see by default.
func (c *termContext) logInfo(message string, attributes ...any) {
	c.effects.Log = append(c.effects.Log, LogLine{slog.LevelInfo, message, attributes})
}
