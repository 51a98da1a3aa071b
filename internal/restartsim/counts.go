package restartsim

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/wire"
)

// counts are the orders and calls of a scheduler.
type counts struct {
	orders                                *simulator.OperationCounter
	kvStoreCalls, cloudCalls, directCalls int
	firstStartAt                          time.Duration // 0: none yet
}

func newCounts() counts { return counts{orders: simulator.NewOperationCounter()} }

func (c *counts) countCommands(now time.Duration, machine string, commands []wire.Command) {
	c.orders.CountCommands(machine, commands)
	if c.firstStartAt == 0 && c.orders.Counts.Starts > 0 {
		c.firstStartAt = now
	}
}
