package restartsim

import (
	"fmt"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

const (
	// taskRunTime is longer than any run: tasks do not end by themselves.
	taskRunTime = 24 * time.Hour
	// heartbeatAfterCommands is when an agent that executed commands sends its next
	// heartbeat.
	heartbeatAfterCommands = 500 * time.Millisecond
)

// machine is a simulated machine.
type machine struct {
	*simulator.Worker
	provisionedAt    time.Duration
	bootedAt         time.Duration
	terminated       bool
	partitionedUntil time.Duration // it neither sends nor receives anything before
	firstAnsweredAt  time.Duration // by the controller that came back; 0: not yet
}

// reachable reports whether messages to and from the machine arrive.
func (m *machine) reachable(now time.Duration) bool {
	return !m.terminated && now >= m.partitionedUntil && now >= m.bootedAt
}

func (m *machine) noteAnswer(now time.Duration) {
	if m.firstAnsweredAt == 0 {
		m.firstAnsweredAt = now
	}
}

// bootMachine provisions a machine that is up after the boot time.
func (c *cluster) bootMachine(zone string, boot time.Duration) (name string) {
	name = fmt.Sprintf("n-%06d", len(c.machineNames)+1)
	bootedAt := c.now + boot
	worker := simulator.NewWorker(bootedAt, simulator.WorkerConfig{
		Name: name, MachineType: c.machineType, Zone: zone, LeaseDuration: leaseDuration, Checker: c.checker,
		RunTime: func(string) time.Duration { return taskRunTime },
	})
	m := &machine{Worker: worker, provisionedAt: c.now, bootedAt: bootedAt}
	c.machineNames = append(c.machineNames, name)
	c.machines[name] = m
	c.after(boot+c.randomUpTo(heartbeatInterval), func() { c.sendHeartbeat(m) })
	return name
}

func (c *cluster) terminate(name string) {
	m := c.machines[name]
	m.terminated = true
	m.Terminate()
}

// sendHeartbeat sends a machine's heartbeat. Without a controller that answers, the agent
// tries again a second later, as the protocol has it.
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
	c.after(c.latency(), func() { c.receiveHeartbeat(m, sentAt, heartbeat) })
}

// receiveHeartbeat gives a heartbeat to the scheduler and sends the reply.
func (c *cluster) receiveHeartbeat(m *machine, sentAt time.Duration, heartbeat wire.Heartbeat) {
	if c.scheduler == nil {
		c.after(tuning.WorkerRetryDelay, func() { c.sendHeartbeat(m) })
		return
	}
	reply, accepted := c.scheduler.Heartbeat(c.schedulerNow(), &heartbeat)
	c.applyEffects()
	if accepted {
		m.noteAnswer(c.now)
	}
	c.after(c.latency(), func() {
		delay := c.randomAround(heartbeatInterval, heartbeatInterval/4)
		if accepted && c.now >= m.partitionedUntil &&
			m.HandleHeartbeatReply(c.now, sentAt, heartbeat.Incarnation, reply) && len(reply.Commands) > 0 {
			delay = heartbeatAfterCommands
		}
		c.counts.countCommands(c.now, m.Name, reply.Commands)
		c.after(delay, func() { c.sendHeartbeat(m) })
	})
}

// sendMachineList sends the cloud's list of machines, which lags behind.
func (c *cluster) sendMachineList() {
	term := c.scheduler
	if term == nil {
		return
	}
	c.counts.cloudCalls += 1 + len(c.machineNames)/tuning.MachineListPageSize
	machines := c.listMachines()
	c.after(c.latency(), func() {
		c.inTerm(term, func() { term.MachinesListed(c.schedulerNow(), machines) })
	})
}

func (c *cluster) listMachines() []wire.ListedMachine {
	var machines []wire.ListedMachine
	for _, name := range c.machineNames {
		m := c.machines[name]
		initial := m.provisionedAt == 0
		if m.terminated || !initial && m.provisionedAt > c.now-listLag {
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
