package wire

import (
	"fmt"
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
	CauseNoCapacity = "full"
	CauseDuplicate  = "in_use"
	CauseUnknown    = "unknown"
)

// Verbs of a command.
const (
	VerbRun    = "run"
	VerbStop   = "halt"
	VerbForget = "forget"
)

// TaskStatus is one task in a worker's report.
type TaskStatus struct {
	Task         string `cbor:"shift" json:"shift"`
	Attempt      uint64 `cbor:"try" json:"try"`
	State        string `cbor:"standing" json:"standing"`
	Cause        string `cbor:"cause,omitempty" json:"cause,omitempty"`
	Checkpointed bool   `cbor:"saved,omitempty" json:"saved,omitempty"`
}

// Heartbeat is what a worker says of itself.
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

// Validate says what is wrong with a report, if anything is.
func (h *Heartbeat) Validate() error {
	switch {
	case h.Machine == "" || len(h.Machine) > 100 || strings.ContainsAny(h.Machine, " /"):
		return fmt.Errorf("rig: malformed")
	case h.Address == "" || len(h.Address) > 100:
		return fmt.Errorf("address: malformed")
	case h.Incarnation == 0:
		return fmt.Errorf("tenure: missing")
	case h.InterruptionInS != nil && (!finite(*h.InterruptionInS) || *h.InterruptionInS < 0):
		return fmt.Errorf("recall_s: out of range")
	}
	for i := range h.Tasks {
		if _, _, ok := ParseTaskName(h.Tasks[i].Task); !ok {
			return fmt.Errorf("shift: malformed")
		}
	}
	return nil
}

// NewerThan reports whether r describes a later moment than (session, tick).
func (h *Heartbeat) NewerThan(incarnation, sequence uint64) bool {
	return h.Incarnation > incarnation || h.Incarnation == incarnation && h.Sequence > sequence
}

// Command is one order to a worker.
type Command struct {
	Verb         string   `cbor:"verb" json:"verb"`
	Task         string   `cbor:"shift" json:"shift"`
	Attempt      uint64   `cbor:"try" json:"try"`
	GracePeriodS *float64 `cbor:"leeway_s,omitempty" json:"leeway_s,omitempty"`
}

// HeartbeatReply answers a report.
type HeartbeatReply struct {
	FencingToken uint64    `cbor:"baton" json:"baton"`
	Commands     []Command `cbor:"orders" json:"orders"`
}

// Redirect sends a worker to the leader, or to the next node if it is empty.
type Redirect struct {
	Leader string `cbor:"foreman,omitempty" json:"foreman,omitempty"`
}

// DirectCommands is the body of POST /commands.
type DirectCommands struct {
	FencingToken uint64    `cbor:"baton" json:"baton"`
	Incarnation  uint64    `cbor:"tenure" json:"tenure"`
	Commands     []Command `cbor:"orders" json:"orders"`
}

// TaskName is the name of a task on the wire, run-000412/3.
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// ParseTaskName takes a task's name apart.
func ParseTaskName(name string) (job string, index int, ok bool) {
	job, digits, found := strings.Cut(name, "/")
	if !found || !ValidJobID(job) || len(digits) == 0 || len(digits) > 6 {
		return "", 0, false
	}
	for _, c := range digits {
		if c < '0' || c > '9' {
			return "", 0, false
		}
	}
	index, err := strconv.Atoi(digits)
	return job, index, err == nil
}
