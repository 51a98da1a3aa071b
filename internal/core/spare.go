package core

import (
	"math"
)

// spare says whether enough room would be left without a machine: spare capacity
// as the operators want it, and room at once for the next service, of as many
// tasks as the largest live service job has, in its zones, on ordinary machines
// that no other service fills (lower work there makes way). Without the latter, a
// fleet that is economised down to what its services fill makes the next one wait
// for a boot.
type spare struct {
	l           *Leader
	used, total float64
	big         *job // the largest service, or nil
	room        map[string]int
	roomOn      map[*machine]int
}

func (l *Leader) newSpare() *spare {
	s := &spare{l: l, room: map[string]int{}, roomOn: map[*machine]int{}}
	s.used, s.total = l.capacity()
	size := func(j *job) float64 { return float64(j.spec.Tasks) * j.spec.CPUs }
	for _, j := range l.jobs {
		if j.service && !j.cancelled && !j.archived && (s.big == nil || size(j) > size(s.big) || size(j) == size(s.big) && j.id < s.big.id) {
			s.big = j
		}
	}
	if s.big == nil {
		return s
	}
	j := s.big
	for _, m := range l.machines {
		if m.spot || m.phase != up || m.mt == nil || m.failed || m.leaveBy > 0 || m.unreachableSince > 0 || !j.allows(m.typ, m.zone, m.spot) {
			continue
		}
		cpus, mem := m.mt.CPUs, m.mt.MemoryGB
		for _, a := range m.tasks {
			if a.job != nil && a.job.rank <= j.rank {
				cpus -= a.job.spec.CPUs
				mem -= a.job.spec.MemoryGB
			}
		}
		n := 1 << 20
		if j.spec.CPUs > 0 {
			n = min(n, int(math.Floor(cpus/j.spec.CPUs+epsilon)))
		}
		if j.spec.MemoryGB > 0 {
			n = min(n, int(math.Floor(mem/j.spec.MemoryGB+epsilon)))
		}
		s.roomOn[m] = max(n, 0)
		s.room[m.zone] += max(n, 0)
	}
	return s
}

// enough reports whether the next service finds room.
func (s *spare) enough() bool {
	if s.big == nil {
		return true
	}
	total := 0
	for _, n := range s.room {
		total += min(n, s.big.spec.ZoneCap())
	}
	return total >= s.big.spec.Tasks
}

// without takes a machine away, if enough is left then.
func (s *spare) without(m *machine) bool {
	cpus := 0.0
	if m.mt != nil {
		cpus = m.mt.CPUs
	}
	if s.total-cpus < s.used*(1+s.l.cfg.Policy.SpareShare) {
		return false
	}
	s.room[m.zone] -= s.roomOn[m]
	if !s.enough() {
		s.room[m.zone] += s.roomOn[m]
		return false
	}
	delete(s.roomOn, m)
	s.total -= cpus
	return true
}

// capacity sums what is in use and what there is, in CPUs.
func (l *Leader) capacity() (used, total float64) {
	for _, m := range l.machines {
		if m.mt == nil || m.phase == releasing || m.failed || m.leaveBy > 0 {
			continue
		}
		total += m.mt.CPUs
		used += m.cpus
	}
	return used, total
}
