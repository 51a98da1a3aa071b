package simulator

import "github.com/yarrowgap/yarrowgap/wire"

// OrderCounts counts orders to machines and to the cloud.
type OrderCounts struct {
	Starts, Stops, Provisioned, Releases int
}

// OrderCounter counts the orders that machines and the cloud are given. A repeated start,
// stop or release of the same attempt or machine counts once.
type OrderCounter struct {
	Counts OrderCounts

	commands map[commandKey]bool // those that are counted
	releases map[string]bool     // machines whose release is counted
}

// commandKey identifies a command among its repetitions.
type commandKey struct {
	verb, machine, task string
	attempt             uint64
}

// NewOrderCounter returns a counter that has counted nothing.
func NewOrderCounter() *OrderCounter {
	return &OrderCounter{commands: map[commandKey]bool{}, releases: map[string]bool{}}
}

// CountCommands counts the commands that a machine is given.
func (c *OrderCounter) CountCommands(machine string, commands []wire.Command) {
	for _, command := range commands {
		key := commandKey{command.Verb, machine, command.Task, command.Attempt}
		if c.commands[key] {
			continue
		}
		c.commands[key] = true
		switch command.Verb {
		case wire.VerbRun:
			c.Counts.Starts++
		case wire.VerbStop:
			c.Counts.Stops++
		}
	}
}

// CountProvisioned counts machines that are provisioned.
func (c *OrderCounter) CountProvisioned(machines int) { c.Counts.Provisioned += machines }

// CountRelease counts the release of a machine.
func (c *OrderCounter) CountRelease(machine string) {
	if !c.releases[machine] {
		c.releases[machine] = true
		c.Counts.Releases++
	}
}

// TakeOrders returns the orders of the deployment's machines and cloud since the last
// call.
func (d *Deployment) TakeOrders() OrderCounts {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := d.orders.Counts
	d.orders.Counts = OrderCounts{}
	return counts
}
