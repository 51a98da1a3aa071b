package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// SetMachineTypes adds or replaces machine types that the cloud offers.
func (s *Scheduler) SetMachineTypes(now Now, types []wire.MachineType) {
	s.now = now
	s.cluster.setMachineTypes(types)
}

// setMachineTypes adds or replaces machine types, and updates each machine's reference to its
// type.
func (c *clusterState) setMachineTypes(types []wire.MachineType) {
	for i := range types {
		machineSpec := types[i]
		c.machineTypes[machineSpec.Name] = &machineSpec
	}
	for _, m := range c.machines {
		m.machineSpec = c.machineTypes[m.machineType]
	}
}

// specOf returns the machine type with the given name, or nil if it is unknown.
func (c *clusterState) specOf(machineType string) *wire.MachineType {
	return c.machineTypes[machineType]
}

// sortedMachineTypes returns the cloud's machine types in the order of their names.
func (c *clusterState) sortedMachineTypes() []*wire.MachineType {
	types := make([]*wire.MachineType, 0, len(c.machineTypes))
	for _, machineSpec := range c.machineTypes {
		types = append(types, machineSpec)
	}
	slices.SortFunc(types, func(a, b *wire.MachineType) int { return strings.Compare(a.Name, b.Name) })
	return types
}

// offerCount returns the number of the cloud's offers: on-demand and spot machines of each type
// in each of its zones.
func (c *clusterState) offerCount() int {
	offers := 0
	for _, machineSpec := range c.machineTypes {
		offers += 2 * len(machineSpec.Zones)
	}
	return offers
}

// bootTime returns how long machines of the type usually take to boot, or
// tuning.MinBootTimeout if the type is unknown.
func (c *clusterState) bootTime(machineType string) time.Duration {
	if machineSpec := c.machineTypes[machineType]; machineSpec != nil {
		return time.Duration(machineSpec.BootS * float64(time.Second))
	}
	return tuning.MinBootTimeout
}
