package simulator

import "github.com/yarrowgap/yarrowgap/wire"

// OperationCounts holds the numbers of task starts, task stops, provisioned machines and machine
// releases that were requested from workers and from the cloud.
type OperationCounts struct {
	Starts, Stops, Provisioned, Releases int
}

// OperationCounter counts the operations that workers and the cloud are requested to execute.
// A repeated start or stop of the same attempt on the same machine counts once, and so does a
// repeated release of the same machine.
type OperationCounter struct {
	Counts OperationCounts

	countedCommands  map[commandKey]bool
	releasedMachines map[string]bool // by machine name
}

// commandKey identifies a command: a repetition of the command has the same key.
type commandKey struct {
	verb, machine, task string
	attempt             uint64
}

// NewOperationCounter returns a counter whose counts are 0.
func NewOperationCounter() *OperationCounter {
	return &OperationCounter{countedCommands: map[commandKey]bool{}, releasedMachines: map[string]bool{}}
}

// CountCommands counts the start and stop commands that are sent to a machine.
func (c *OperationCounter) CountCommands(machine string, commands []wire.Command) {
	for _, command := range commands {
		key := commandKey{command.Verb, machine, command.Task, command.Attempt}
		if c.countedCommands[key] {
			continue
		}
		c.countedCommands[key] = true
		switch command.Verb {
		case wire.VerbRun:
			c.Counts.Starts++
		case wire.VerbStop:
			c.Counts.Stops++
		}
	}
}

// CountProvisioned adds a number of newly provisioned machines.
func (c *OperationCounter) CountProvisioned(machines int) { c.Counts.Provisioned += machines }

// CountRelease counts a request to release a machine.
func (c *OperationCounter) CountRelease(machine string) {
	if !c.releasedMachines[machine] {
		c.releasedMachines[machine] = true
		c.Counts.Releases++
	}
}

// TakeOperationCounts returns the operations that were requested from the deployment's machines
// and cloud since the last call.
func (d *Deployment) TakeOperationCounts() OperationCounts {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := d.operations.Counts
	d.operations.Counts = OperationCounts{}
	return counts
}
