package restartsim

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/wire"
)

// counts holds the numbers of operations and calls that a scheduler has issued.
type counts struct {
	operations                            *simulator.OperationCounter
	kvStoreCalls, cloudCalls, directCalls int
	firstStartAt                          time.Duration // when the first start was issued; 0: none yet
}

func newCounts() counts { return counts{operations: simulator.NewOperationCounter()} }

// countCommands counts commands to a machine, and records the time of the first start.
func (c *counts) countCommands(now time.Duration, machine string, commands []wire.Command) {
	c.operations.CountCommands(machine, commands)
	if c.firstStartAt == 0 && c.operations.Counts.Starts > 0 {
		c.firstStartAt = now
	}
}
