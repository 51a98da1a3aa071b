package wire

import (
	"strconv"
	"strings"
)

// States of a task on a machine.
const (
	TaskFetching      = "fetching"
	TaskRunning       = "running"
	TaskCheckpointing = "saving"
	TaskExited        = "exited"
)

// Causes of a task's exit.
const (
	CauseDone       = "done"
	CauseStopped    = "halted"
	CauseError      = "error"
	CauseNoCapacity = "full"   // start refused: no free capacity on the machine
	CauseDuplicate  = "in_use" // start refused: the machine has another attempt of the task
	CauseUnknown    = "unknown"
)

// Verbs of a command.
const (
	VerbRun    = "run"
	VerbStop   = "halt"
	VerbForget = "forget"
)

// TaskStatus is the state of one task in a worker's heartbeat.
type TaskStatus struct {
	Task         string `cbor:"shift" json:"shift"`
	Attempt      uint64 `cbor:"try" json:"try"`
	State        string `cbor:"standing" json:"standing"`
	Cause        string `cbor:"cause,omitempty" json:"cause,omitempty"`
	Checkpointed bool   `cbor:"saved,omitempty" json:"saved,omitempty"`
}

// Heartbeat is a worker's periodic report of itself and all its tasks. Incarnation tells
// the worker's process from its predecessors; Sequence counts its messages.
type Heartbeat struct {
	Machine         string       `cbor:"rig" json:"rig"`
	Address         string       `cbor:"address" json:"address"`
	Type            string       `cbor:"breed" json:"breed"`
	Zone            string       `cbor:"pasture" json:"pasture"`
	Spot            bool         `cbor:"loaners" json:"loaners"`
	Incarnation     uint64       `cbor:"tenure" json:"tenure"`
	Sequence        uint64       `cbor:"tick" json:"tick"`
	FencingToken    uint64       `cbor:"baton" json:"baton"`
	InterruptionInS *float64     `cbor:"recall_s" json:"recall_s"`
	Tasks           []TaskStatus `cbor:"shifts" json:"shifts"`
}

// Bounds on the texts of a heartbeat.
const (
	maxMachineNameBytes = 100
	maxAddressBytes     = 100
)

// Validate returns a FieldError for the first malformed field.
func (h *Heartbeat) Validate() error {
	switch {
	case h.Machine == "" || len(h.Machine) > maxMachineNameBytes || strings.ContainsAny(h.Machine, " /"):
		return &FieldError{Field: "rig", Problem: "malformed"}
	case h.Address == "" || len(h.Address) > maxAddressBytes:
		return &FieldError{Field: "address", Problem: "malformed"}
	case h.Incarnation == 0:
		return &FieldError{Field: "tenure", Problem: "missing"}
	case h.InterruptionInS != nil && (!finite(*h.InterruptionInS) || *h.InterruptionInS < 0):
		return &FieldError{Field: "recall_s", Problem: "out of range"}
	}
	for i := range h.Tasks {
		if _, _, ok := ParseTaskName(h.Tasks[i].Task); !ok {
			return &FieldError{Field: "shift", Problem: "malformed"}
		}
	}
	return nil
}

// NewerThan reports whether h was sent later than the message with the given incarnation
// and sequence.
func (h *Heartbeat) NewerThan(incarnation, sequence uint64) bool {
	return h.Incarnation > incarnation || h.Incarnation == incarnation && h.Sequence > sequence
}

// Command is one command to a worker.
type Command struct {
	Verb         string   `cbor:"verb" json:"verb"`
	Task         string   `cbor:"shift" json:"shift"`
	Attempt      uint64   `cbor:"try" json:"try"`
	GracePeriodS *float64 `cbor:"leeway_s,omitempty" json:"leeway_s,omitempty"`
}

// HeartbeatReply is the answer to a heartbeat.
type HeartbeatReply struct {
	FencingToken uint64    `cbor:"baton" json:"baton"`
	Commands     []Command `cbor:"orders" json:"orders"`
}

// Redirect sends a worker to the leader, or to the next controller if it is empty.
type Redirect struct {
	Leader string `cbor:"foreman,omitempty" json:"foreman,omitempty"`
}

// DirectCommands is the body of POST /commands.
type DirectCommands struct {
	FencingToken uint64    `cbor:"baton" json:"baton"`
	Incarnation  uint64    `cbor:"tenure" json:"tenure"`
	Commands     []Command `cbor:"orders" json:"orders"`
}

// maxTaskIndexDigits bounds the index in a task's name.
const maxTaskIndexDigits = 6

// TaskName returns the name of a task on the wire, run-000412/3.
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// ParseTaskName returns the parts of a task's name; ok is false if it is malformed.
func ParseTaskName(name string) (job string, index int, ok bool) {
	job, digits, found := strings.Cut(name, "/")
	if !found || !ValidJobID(job) || digits == "" || len(digits) > maxTaskIndexDigits || !onlyDigits(digits) {
		return "", 0, false
	}
	index, err := strconv.Atoi(digits)
	return job, index, err == nil
}
