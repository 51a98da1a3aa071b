package restartsim

import (
	"fmt"
	"math"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// machineChange is a change to a machine while no controller runs.
type machineChange int

const (
	changeTerminated  machineChange = iota // the machine is terminated, and the cloud no longer lists it
	changeRestarted                        // the tasks on the machine end, and its agent gets a new incarnation
	changeUnreachable                      // the machine is unreachable until some seconds after the restart
	changeUnknownTask                      // the machine runs a task of a job that no controller accepted

	changeCount
)

// Range of the delay from the restart until an unreachable machine can be reached again. The delay
// ends before the expiry of the lease that the machine's agent acquired before the outage, except
// for a delay near the maximum if the agent's next heartbeat was due when the outage began.
const (
	minReconnectDelay = 8 * time.Second
	maxReconnectDelay = 16 * time.Second
)

// unknownJobTeam is the team of jobs that no controller accepted.
const unknownJobTeam = "stray"

// changeMachines changes a share of the machines and counts the operations that a controller then
// needs to issue.
func (r *restartRun) changeMachines(share float64) {
	machineCount := len(r.machineNames)
	changedIndexes := r.random.Perm(machineCount)[:int(math.Round(share*float64(machineCount)))]
	for i, index := range changedIndexes {
		r.changeMachine(r.machines[r.machineNames[index]], machineChange(i)%changeCount, i)
	}
}

// changeMachine changes a machine. changeNumber is unique to the change.
func (r *restartRun) changeMachine(m *machine, change machineChange, changeNumber int) {
	lostAttempts := len(m.ActiveAttempts())
	switch change {
	case changeTerminated:
		r.terminatedMachines++
		r.needed.Starts += lostAttempts
		if lostAttempts > 0 {
			r.needed.Releases++ // it proves that the tasks ended, so that they may start on other machines
		}
		r.terminate(m.Name)
	case changeRestarted:
		r.needed.Starts += lostAttempts
		m.Restart(r.now)
	case changeUnreachable:
		m.partitionedUntil = r.now + outageTime + minReconnectDelay + r.randomUpTo(maxReconnectDelay-minReconnectDelay)
	case changeUnknownTask:
		r.startTaskOfUnknownJob(m, changeNumber)
	}
}

// startTaskOfUnknownJob starts a task of a job that no controller accepted.
func (r *restartRun) startTaskOfUnknownJob(m *machine, changeNumber int) {
	job := &wire.Job{
		ID: fmt.Sprintf("run-9%05d", changeNumber), Team: unknownJobTeam, Shape: wire.ShapeArray, Priority: wire.PriorityNormal,
		Tasks: 1, CPUs: 0.01, MemoryGB: 0.1, Image: "img-0", ImageGB: 1,
	}
	r.checker.AddJob(job)
	start := wire.Command{Verb: wire.VerbRun, Task: wire.TaskName(job.ID, 0), Attempt: uint64(1 + changeNumber)}
	m.HandleCommands(r.now, wire.DirectCommands{
		FencingToken: m.FencingToken, Incarnation: m.Incarnation, Commands: []wire.Command{start},
	})
	if _, accepted := m.ActiveAttempts()[start.Task]; accepted { // a full machine refuses the start
		r.needed.Stops++
	}
}
