package wire

import (
	"fmt"
	"strconv"
	"strings"
)

// States of a task on a machine.
const (
	TaskFetching = "fetching"
	TaskRunning  = "running"
	TaskSaving   = "saving"
	TaskExited   = "exited"
)

// Causes of a task's exit.
const (
	CauseDone    = "done"
	CauseHalted  = "halted"
	CauseError   = "error"
	CauseFull    = "full"
	CauseInUse   = "in_use"
	CauseUnknown = "unknown"
)

// Verbs of a command.
const (
	VerbRun    = "run"
	VerbHalt   = "halt"
	VerbForget = "forget"
)

// TaskReport is one task in a worker's report.
type TaskReport struct {
	Task    string `cbor:"shift" json:"shift"`
	Attempt uint64 `cbor:"try" json:"try"`
	State   string `cbor:"standing" json:"standing"`
	Cause   string `cbor:"cause,omitempty" json:"cause,omitempty"`
	Saved   bool   `cbor:"saved,omitempty" json:"saved,omitempty"`
}

// Report is what a worker says of itself.
type Report struct {
	Machine string       `cbor:"rig" json:"rig"`
	Address string       `cbor:"address" json:"address"`
	Type    string       `cbor:"breed" json:"breed"`
	Zone    string       `cbor:"pasture" json:"pasture"`
	Spot    bool         `cbor:"loaners" json:"loaners"`
	Session uint64       `cbor:"tenure" json:"tenure"`
	Tick    uint64       `cbor:"tick" json:"tick"`
	Token   uint64       `cbor:"baton" json:"baton"`
	RecallS *float64     `cbor:"recall_s" json:"recall_s"`
	Tasks   []TaskReport `cbor:"shifts" json:"shifts"`
}

// Check says what is wrong with a report, if anything is.
func (r *Report) Check() error {
	switch {
	case r.Machine == "" || len(r.Machine) > 100 || strings.ContainsAny(r.Machine, " /"):
		return fmt.Errorf("rig: malformed")
	case r.Address == "" || len(r.Address) > 100:
		return fmt.Errorf("address: malformed")
	case r.Session == 0:
		return fmt.Errorf("tenure: missing")
	case r.RecallS != nil && (!finite(*r.RecallS) || *r.RecallS < 0):
		return fmt.Errorf("recall_s: out of range")
	}
	for i := range r.Tasks {
		if _, _, ok := SplitTask(r.Tasks[i].Task); !ok {
			return fmt.Errorf("shift: malformed")
		}
	}
	return nil
}

// Newer reports whether r describes a later moment than (session, tick).
func (r *Report) Newer(session, tick uint64) bool {
	return r.Session > session || r.Session == session && r.Tick > tick
}

// Command is one order to a worker.
type Command struct {
	Verb    string   `cbor:"verb" json:"verb"`
	Task    string   `cbor:"shift" json:"shift"`
	Attempt uint64   `cbor:"try" json:"try"`
	LeewayS *float64 `cbor:"leeway_s,omitempty" json:"leeway_s,omitempty"`
}

// CheckinReply answers a report.
type CheckinReply struct {
	Token    uint64    `cbor:"baton" json:"baton"`
	Commands []Command `cbor:"orders" json:"orders"`
}

// Redirect sends a worker to the leader, or to the next node if it is empty.
type Redirect struct {
	Leader string `cbor:"foreman,omitempty" json:"foreman,omitempty"`
}

// DirectCommands is the body of POST /commands.
type DirectCommands struct {
	Token    uint64    `cbor:"baton" json:"baton"`
	Session  uint64    `cbor:"tenure" json:"tenure"`
	Commands []Command `cbor:"orders" json:"orders"`
}

// TaskName is the name of a task on the wire, run-000412/3.
func TaskName(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// SplitTask takes a task's name apart.
func SplitTask(name string) (job string, index int, ok bool) {
	job, num, found := strings.Cut(name, "/")
	if !found || !ValidID(job) || len(num) == 0 || len(num) > 6 {
		return "", 0, false
	}
	for _, c := range num {
		if c < '0' || c > '9' {
			return "", 0, false
		}
	}
	index, err := strconv.Atoi(num)
	return job, index, err == nil
}
