package restartsim

import (
	"fmt"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// orderCounter counts the orders and calls of a scheduler. A repeated start, stop or
// release counts once.
type orderCounter struct {
	orders                                Orders
	kvStoreCalls, cloudCalls, directCalls int
	firstStartAt                          time.Duration // 0: none yet
	counted                               map[string]bool
}

func newOrderCounter() orderCounter { return orderCounter{counted: map[string]bool{}} }

// firstTime reports whether an order is not counted yet, and notes it.
func (c *orderCounter) firstTime(order string) bool {
	repeated := c.counted[order]
	c.counted[order] = true
	return !repeated
}

func (c *orderCounter) countCommands(now time.Duration, machine string, commands []wire.Command) {
	for _, command := range commands {
		isStart, isStop := command.Verb == wire.VerbRun, command.Verb == wire.VerbStop
		order := fmt.Sprintln(command.Verb, machine, command.Task, command.Attempt)
		if !isStart && !isStop || !c.firstTime(order) {
			continue
		}
		if isStop {
			c.orders.Stops++
			continue
		}
		c.orders.Starts++
		if c.firstStartAt == 0 {
			c.firstStartAt = now
		}
	}
}

func (c *orderCounter) countRelease(machine string) {
	if c.firstTime(fmt.Sprintln("release", machine)) {
		c.orders.Released++
	}
}
