package restartsim

import (
	"fmt"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

const (
	// taskRunTime is longer than a simulation, so that no task completes.
	taskRunTime = 24 * time.Hour
	// heartbeatDelayAfterCommands is the time after which an agent that has executed commands from
	// a heartbeat reply sends its next heartbeat.
	heartbeatDelayAfterCommands = 500 * time.Millisecond
)

// machine is a simulated machine with its agent.
type machine struct {
	*simulator.Worker
	provisionedAt    time.Duration
	bootedAt         time.Duration
	terminated       bool
	partitionedUntil time.Duration // until then, all messages to and from the machine are lost
	// firstAnsweredAt is when the machine first handled a direct call or had a heartbeat accepted,
	// counted anew from the restart; 0: not yet.
	firstAnsweredAt time.Duration
}

// reachable reports whether messages to and from the machine arrive at the given time.
func (m *machine) reachable(now time.Duration) bool {
	return !m.terminated && now >= m.partitionedUntil && now >= m.bootedAt
}

func (m *machine) recordAnswer(now time.Duration) {
	if m.firstAnsweredAt == 0 {
		m.firstAnsweredAt = now
	}
}

// bootMachine provisions a machine that is up after bootDelay, and returns its name.
func (c *cluster) bootMachine(zone string, bootDelay time.Duration) (name string) {
	name = fmt.Sprintf("n-%06d", len(c.machineNames)+1)
	bootedAt := c.now + bootDelay
	worker := simulator.NewWorker(bootedAt, simulator.WorkerConfig{
		Name: name, MachineType: c.machineType, Zone: zone, LeaseDuration: workerLeaseDuration, Checker: c.checker,
		RunTime: func(string) time.Duration { return taskRunTime },
	})
	m := &machine{Worker: worker, provisionedAt: c.now, bootedAt: bootedAt}
	c.machineNames = append(c.machineNames, name)
	c.machines[name] = m
	c.after(bootDelay+c.randomUpTo(heartbeatInterval), func() { c.sendHeartbeat(m) })
	return name
}

func (c *cluster) terminate(name string) {
	m := c.machines[name]
	m.terminated = true
	m.Terminate()
}

// sendHeartbeat sends a machine's heartbeat. If no controller is running, the agent retries after
// about tuning.WorkerRetryDelay, as the protocol specifies.
func (c *cluster) sendHeartbeat(m *machine) {
	switch {
	case m.terminated:
		return
	case c.now < m.partitionedUntil:
		c.after(m.partitionedUntil-c.now, func() { c.sendHeartbeat(m) })
		return
	}
	m.Advance(c.now)
	if c.scheduler == nil {
		c.after(c.randomAround(tuning.WorkerRetryDelay, tuning.WorkerRetryDelay/4), func() { c.sendHeartbeat(m) })
		return
	}
	heartbeat, sentAt := m.Heartbeat(c.now), c.now
	c.after(c.randomLatency(), func() { c.receiveHeartbeat(m, sentAt, heartbeat) })
}

// receiveHeartbeat passes a heartbeat to the scheduler, sends the reply and schedules the next
// heartbeat.
func (c *cluster) receiveHeartbeat(m *machine, sentAt time.Duration, heartbeat wire.Heartbeat) {
	if c.scheduler == nil {
		c.after(tuning.WorkerRetryDelay, func() { c.sendHeartbeat(m) })
		return
	}
	reply, accepted := c.scheduler.Heartbeat(c.schedulerNow(), &heartbeat)
	c.applyEffects()
	if accepted {
		m.recordAnswer(c.now)
	}
	c.after(c.randomLatency(), func() {
		delay := c.randomAround(heartbeatInterval, heartbeatInterval/4)
		if accepted && c.now >= m.partitionedUntil &&
			m.HandleHeartbeatReply(c.now, sentAt, heartbeat.Incarnation, reply) && len(reply.Commands) > 0 {
			delay = heartbeatDelayAfterCommands
		}
		c.counts.countCommands(c.now, m.Name, reply.Commands)
		c.after(delay, func() { c.sendHeartbeat(m) })
	})
}

// sendMachineList sends the cloud's machine list to the scheduler.
func (c *cluster) sendMachineList() {
	recipient := c.scheduler
	if recipient == nil {
		return
	}
	c.counts.cloudCalls += 1 + len(c.machineNames)/tuning.MachineListPageSize
	machines := c.listMachines()
	c.after(c.randomLatency(), func() {
		c.deliverIfCurrent(recipient, func() { recipient.MachinesListed(c.schedulerNow(), machines) })
	})
}

// listMachines returns the cloud's machine list. New machines appear in it after machineListLag.
func (c *cluster) listMachines() []wire.ListedMachine {
	var machines []wire.ListedMachine
	for _, name := range c.machineNames {
		m := c.machines[name]
		initial := m.provisionedAt == 0
		if m.terminated || !initial && m.provisionedAt > c.now-machineListLag {
			continue
		}
		state := wire.MachineRunning
		if m.bootedAt > c.now {
			state = wire.MachineStarting
		}
		machines = append(machines, wire.ListedMachine{
			Name: name, Address: m.Address, Type: m.Type, Zone: m.Zone, State: state, AgeS: (c.now - m.provisionedAt).Seconds(),
		})
	}
	return machines
}
