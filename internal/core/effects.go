package core

import (
	"github.com/yarrowgap/yarrowgap/internal/recovery"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Effects are what the node has to do after an input.
type Effects struct {
	Direct  []DirectCall
	Commits []Commit
	Rent    []Rental
	Release [][]string
	Resign  string // why the lead has to be given up, if it has to
	Log     []Line
	// Recovery has what happened in the term's recovery, for traces.
	Recovery []recovery.Event
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

// Rental is a request for machines.
type Rental struct {
	Request wire.RentRequest
}

// Line is a line for the log.
type Line struct {
	Debug bool
	Msg   string
	Args  []any
}

// Take returns the effects gathered since the last call.
func (l *Leader) Take() Effects {
	l.takeRecoveryEvents()
	e := l.out
	l.out = Effects{}
	return e
}

func (l *Leader) line(debug bool, msg string, args ...any) {
	l.out.Log = append(l.out.Log, Line{debug, msg, args})
}
