package restartsim

import (
	"fmt"
	"math"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// machineChange is what happens to a machine while no controller runs.
type machineChange int

const (
	changeTerminated  machineChange = iota // it is gone, and the cloud does not list it
	changeRestarted                        // its tasks have ended, and its agent has a new incarnation
	changeUnreachable                      // it stays unreachable for a while after the restart
	changeUnknownTask                      // it runs a task of a job that no controller accepted

	changeCount
)

// An unreachable machine comes back after a delay between these, counted from the
// restart: within the lease that its agent has had since before the outage.
const (
	minReturnDelay = 8 * time.Second
	maxReturnDelay = 16 * time.Second
)

// unknownJobTeam is the team of jobs that no controller accepted.
const unknownJobTeam = "stray"

// changeMachines changes a share of the machines and counts the orders that this needs.
func (r *restartRun) changeMachines(share float64) {
	count := len(r.machineNames)
	changed := r.random.Perm(count)[:int(math.Round(share*float64(count)))]
	for i, index := range changed {
		r.changeMachine(r.machines[r.machineNames[index]], machineChange(i)%changeCount, i)
	}
}

// changeMachine changes a machine. number differs from machine to machine.
func (r *restartRun) changeMachine(m *machine, change machineChange, number int) {
	lost := len(m.ActiveAttempts())
	switch change {
	case changeTerminated:
		r.terminatedMachines++
		r.needed.Starts += lost
		if lost > 0 {
			r.needed.Releases++ // the proof that allows its tasks to start elsewhere
		}
		r.terminate(m.Name)
	case changeRestarted:
		r.needed.Starts += lost
		m.Restart(r.now)
	case changeUnreachable:
		m.partitionedUntil = r.now + outageTime + minReturnDelay + r.randomUpTo(maxReturnDelay-minReturnDelay)
	case changeUnknownTask:
		r.startUnknownTask(m, number)
	}
}

// startUnknownTask starts a task of a job that no controller accepted.
func (r *restartRun) startUnknownTask(m *machine, number int) {
	job := &wire.Job{
		ID: fmt.Sprintf("run-9%05d", number), Team: unknownJobTeam, Shape: wire.ShapeArray, Priority: wire.PriorityNormal,
		Tasks: 1, CPUs: 0.01, MemoryGB: 0.1, Image: "img-0", ImageGB: 1,
	}
	r.checker.AddJob(job)
	start := wire.Command{Verb: wire.VerbRun, Task: wire.TaskName(job.ID, 0), Attempt: uint64(1 + number)}
	m.HandleCommands(r.now, wire.DirectCommands{
		FencingToken: m.FencingToken, Incarnation: m.Incarnation, Commands: []wire.Command{start},
	})
	if _, accepted := m.ActiveAttempts()[start.Task]; accepted { // a full machine refuses it
		r.needed.Stops++
	}
}
