package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// SetMachineTypes takes the cloud's machine types.
func (s *Scheduler) SetMachineTypes(now Now, types []wire.MachineType) {
	s.now = now
	s.cluster.setMachineTypes(types)
}

// setMachineTypes adds to the known machine types, or replaces them, and gives each machine
// that of its name.
func (c *clusterState) setMachineTypes(types []wire.MachineType) {
	for i := range types {
		machineSpec := types[i]
		c.machineTypes[machineSpec.Name] = &machineSpec
	}
	for _, m := range c.machines {
		m.machineSpec = c.machineTypes[m.machineType]
	}
}

// specOf gives the machine type of that name, or nil.
func (c *clusterState) specOf(machineType string) *wire.MachineType {
	return c.machineTypes[machineType]
}

// sortedMachineTypes gives the cloud's machine types by name.
func (c *clusterState) sortedMachineTypes() []*wire.MachineType {
	types := make([]*wire.MachineType, 0, len(c.machineTypes))
	for _, machineSpec := range c.machineTypes {
		types = append(types, machineSpec)
	}
	slices.SortFunc(types, func(a, b *wire.MachineType) int { return strings.Compare(a.Name, b.Name) })
	return types
}

// offerCount is how many kinds of machines the cloud offers: ordinary and spot machines of
// each type in each of its zones.
func (c *clusterState) offerCount() int {
	offers := 0
	for _, machineSpec := range c.machineTypes {
		offers += 2 * len(machineSpec.Zones)
	}
	return offers
}

// bootTime is how long machines of the type usually take to come up.
func (c *clusterState) bootTime(machineType string) time.Duration {
	if machineSpec := c.machineTypes[machineType]; machineSpec != nil {
		return time.Duration(machineSpec.BootS * float64(time.Second))
	}
	return tuning.MinBootTimeout
}
