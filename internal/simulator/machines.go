package simulator

import (
	"fmt"
	"slices"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// OrderCounts are the orders that a site's machines and cloud were given. Of a start, a
// stop and a release repeats count once.
type OrderCounts struct {
	Starts, Stops, Provisioned, Releases int
}

// TakeOrders are the orders since the last call.
func (s *Deployment) TakeOrders() OrderCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	orders := s.orders
	s.orders = OrderCounts{}
	return orders
}

// countOnce counts an order, unless the same was counted before.
func (s *Deployment) countOnce(count *int, key string) {
	if !s.countedOrders[key] {
		s.countedOrders[key] = true
		*count++
	}
}

func (s *Deployment) countCommands(machine string, commands []wire.Command) {
	for _, c := range commands {
		key := fmt.Sprint(c.Verb, machine, c.Task, c.Attempt)
		switch c.Verb {
		case wire.VerbRun:
			s.countOnce(&s.orders.Starts, key)
		case wire.VerbStop:
			s.countOnce(&s.orders.Stops, key)
		}
	}
}

// MachineNames lists the machines that are there, by name.
func (s *Deployment) MachineNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name, wk := range s.workers {
		if !wk.Terminated {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// ActiveAttempts is how many attempts are on a machine.
func (s *Deployment) ActiveAttempts(machine string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.workers[machine].ActiveAttempts())
}

// TerminateMachine ends a machine on its own, as the cloud's list tells at once.
func (s *Deployment) TerminateMachine(machine string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers[machine].Terminate()
}

// RestartMachine ends all tasks of a machine with its session.
func (s *Deployment) RestartMachine(machine string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers[machine].Restart(s.now())
}

// PartitionMachine keeps a machine from sending and taking anything for a while.
func (s *Deployment) PartitionMachine(machine string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitionedUntil[machine] = s.now() + d
}

// StartTask starts a task on a machine, as a command of an earlier leader would.
func (s *Deployment) StartTask(machine, task string, attempt uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wk := s.workers[machine]
	start := wire.Command{Verb: wire.VerbRun, Task: task, Attempt: attempt}
	wk.HandleCommands(s.now(), wire.DirectCommands{FencingToken: wk.FencingToken, Incarnation: wk.Incarnation, Commands: []wire.Command{start}})
}
