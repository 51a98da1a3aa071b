package simulator

import (
	"testing"

	"github.com/yarrowgap/yarrowgap/wire"
)

func TestRepeatedOperationsCountOnce(t *testing.T) {
	counter := NewOperationCounter()
	// The task and attempt of the first two commands would form the same string if they were
	// concatenated without a separator.
	commands := []wire.Command{
		{Verb: wire.VerbRun, Task: "run-000001/1", Attempt: 12},
		{Verb: wire.VerbRun, Task: "run-000001/11", Attempt: 2},
		{Verb: wire.VerbStop, Task: "run-000001/1", Attempt: 12},
		{Verb: wire.VerbForget, Task: "run-000001/1", Attempt: 12},
	}
	for range 2 {
		counter.CountCommands("n-000001", commands)
		counter.CountRelease("n-000001")
	}
	counter.CountCommands("n-000002", commands[:1])
	counter.CountRelease("n-000002")
	counter.CountProvisioned(2)
	counter.CountProvisioned(1)
	if want := (OperationCounts{Starts: 3, Stops: 1, Provisioned: 3, Releases: 2}); counter.Counts != want {
		t.Errorf("counted %+v, want %+v", counter.Counts, want)
	}
}
