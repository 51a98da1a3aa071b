package standin

import (
	"fmt"
	"slices"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// OrderCounts are the orders that a site's machines and cloud were given. Of a start, a
// stop and a release repeats count once.
type OrderCounts struct {
	Starts, Stops, Rented, Releases int
}

// Orders are the orders since the last call.
func (s *Site) Orders() OrderCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	orders := s.orders
	s.orders = OrderCounts{}
	return orders
}

// countOnce counts an order, unless the same was counted before.
func (s *Site) countOnce(count *int, key string) {
	if !s.counted[key] {
		s.counted[key] = true
		*count++
	}
}

func (s *Site) countCommands(machine string, commands []wire.Command) {
	for _, c := range commands {
		key := fmt.Sprint(c.Verb, machine, c.Task, c.Attempt)
		switch c.Verb {
		case wire.VerbRun:
			s.countOnce(&s.orders.Starts, key)
		case wire.VerbHalt:
			s.countOnce(&s.orders.Stops, key)
		}
	}
}

// Machines lists the machines that are there, by name.
func (s *Site) Machines() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name, wk := range s.workers {
		if !wk.Gone {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Running is how many attempts are on a machine.
func (s *Site) Running(machine string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.workers[machine].Running())
}

// Lose ends a machine on its own, as the cloud's list tells at once.
func (s *Site) Lose(machine string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers[machine].Kill()
}

// Restart ends all tasks of a machine with its session.
func (s *Site) Restart(machine string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers[machine].Restart(s.now())
}

// Silence keeps a machine from sending and taking anything for a while.
func (s *Site) Silence(machine string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentTo[machine] = s.now() + d
}

// Start starts a task on a machine, as a command of an earlier leader would.
func (s *Site) Start(machine, task string, attempt uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wk := s.workers[machine]
	start := wire.Command{Verb: wire.VerbRun, Task: task, Attempt: attempt}
	wk.Commands(s.now(), wire.DirectCommands{Token: wk.Token, Session: wk.Session, Commands: []wire.Command{start}})
}
