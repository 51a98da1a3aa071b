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

// Verbs of commands.
const (
	VerbRun    = "run"
	VerbStop   = "halt"
	VerbForget = "forget"
)

// TaskStatus is the state of one task in a worker's heartbeat. Cause is set once the task has
// exited.
type TaskStatus struct {
	Task         string `cbor:"shift" json:"shift"`
	Attempt      uint64 `cbor:"try" json:"try"`
	State        string `cbor:"standing" json:"standing"`
	Cause        string `cbor:"cause,omitempty" json:"cause,omitempty"`
	Checkpointed bool   `cbor:"saved,omitempty" json:"saved,omitempty"`
}

// Heartbeat is a worker's periodic report on itself and all its tasks. Incarnation identifies the
// worker's process and grows with each restart; Sequence counts the process's heartbeats.
// InterruptionInS is the time until a spot machine is interrupted, or nil if none is announced.
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

// Limits on the strings in a heartbeat.
const (
	maxMachineNameBytes = 100
	maxAddressBytes     = 100
)

// Validate returns a FieldError for the first invalid field, or nil.
func (h *Heartbeat) Validate() error {
	switch {
	case h.Machine == "" || len(h.Machine) > maxMachineNameBytes || strings.ContainsAny(h.Machine, " /"):
		return &FieldError{Field: "rig", Problem: "malformed"}
	case h.Address == "" || len(h.Address) > maxAddressBytes:
		return &FieldError{Field: "address", Problem: "malformed"}
	case h.Incarnation == 0:
		return &FieldError{Field: "tenure", Problem: "missing"}
	case h.InterruptionInS != nil && (!isFinite(*h.InterruptionInS) || *h.InterruptionInS < 0):
		return &FieldError{Field: "recall_s", Problem: "out of range"}
	}
	for i := range h.Tasks {
		if _, _, ok := ParseTaskName(h.Tasks[i].Task); !ok {
			return &FieldError{Field: "shift", Problem: "malformed"}
		}
	}
	return nil
}

// NewerThan reports whether h was sent after the heartbeat with the given incarnation and
// sequence.
func (h *Heartbeat) NewerThan(incarnation, sequence uint64) bool {
	return h.Incarnation > incarnation || h.Incarnation == incarnation && h.Sequence > sequence
}

// Command is a command to a worker.
type Command struct {
	Verb         string   `cbor:"verb" json:"verb"`
	Task         string   `cbor:"shift" json:"shift"`
	Attempt      uint64   `cbor:"try" json:"try"`
	GracePeriodS *float64 `cbor:"leeway_s,omitempty" json:"leeway_s,omitempty"`
}

// HeartbeatReply is the response to a heartbeat.
type HeartbeatReply struct {
	FencingToken uint64    `cbor:"baton" json:"baton"`
	Commands     []Command `cbor:"orders" json:"orders"`
}

// Redirect tells a worker to send its heartbeats to the leader. If Leader is empty, the worker
// tries the next controller.
type Redirect struct {
	Leader string `cbor:"foreman,omitempty" json:"foreman,omitempty"`
}

// DirectCommands is the body of POST /commands, by which the leader sends commands to a worker
// without waiting for its next heartbeat.
type DirectCommands struct {
	FencingToken uint64    `cbor:"baton" json:"baton"`
	Incarnation  uint64    `cbor:"tenure" json:"tenure"`
	Commands     []Command `cbor:"orders" json:"orders"`
}

// maxTaskIndexDigits is the maximum length of the index in a task name.
const maxTaskIndexDigits = 6

// TaskName returns the name of a task on the wire, for example run-000412/3.
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// ParseTaskName splits a task name into job ID and index. ok is false if the name is malformed.
func ParseTaskName(name string) (job string, index int, ok bool) {
	job, digits, found := strings.Cut(name, "/")
	if !found || !ValidJobID(job) || digits == "" || len(digits) > maxTaskIndexDigits || !onlyDigits(digits) {
		return "", 0, false
	}
	index, err := strconv.Atoi(digits)
	return job, index, err == nil
}
