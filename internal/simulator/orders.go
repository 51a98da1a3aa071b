package simulator

import (
	"fmt"

	"github.com/yarrowgap/yarrowgap/wire"
)

// OrderCounts counts the orders that the machines and the cloud of a deployment were
// given. A repeated start, stop or release of the same attempt or machine counts once.
type OrderCounts struct {
	Starts, Stops, Provisioned, Releases int
}

// orderLedger counts orders and remembers those that it has counted.
type orderLedger struct {
	counts  OrderCounts
	counted map[string]bool
}

// countOnce counts an order, unless the same one was counted before.
func (l *orderLedger) countOnce(count *int, key string) {
	if !l.counted[key] {
		l.counted[key] = true
		*count++
	}
}

func (l *orderLedger) countRelease(machine string) {
	l.countOnce(&l.counts.Releases, machine)
}

func (l *orderLedger) countCommands(machine string, commands []wire.Command) {
	for _, command := range commands {
		key := fmt.Sprint(command.Verb, machine, command.Task, command.Attempt)
		switch command.Verb {
		case wire.VerbRun:
			l.countOnce(&l.counts.Starts, key)
		case wire.VerbStop:
			l.countOnce(&l.counts.Stops, key)
		}
	}
}

// TakeOrders returns the orders since the last call.
func (d *Deployment) TakeOrders() OrderCounts {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := d.orders.counts
	d.orders.counts = OrderCounts{}
	return counts
}
