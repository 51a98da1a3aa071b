package scheduler

import "fmt"

// Audit recomputes the books from the machines' attempts and says where they
// differ: what is in no book is placed twice, what stays in one is lost room.
func (s *Scheduler) Audit() error {
	use := map[string]TeamQuota{}
	perJob := map[string]map[int]int{}
	for _, m := range s.cluster.machines {
		cpus := 0.0
		for ref, a := range m.tasks {
			if a.machine != m || a.ref != ref {
				return fmt.Errorf("%s holds an attempt of %v on %s", m.name, a.ref, a.machine.name)
			}
			if a.job == nil {
				continue
			}
			cpus += a.job.spec.CPUs
			u := use[a.job.spec.Team]
			u.CPUs += a.job.spec.CPUs
			use[a.job.spec.Team] = u
			if perJob[ref.jobID] == nil {
				perJob[ref.jobID] = map[int]int{}
			}
			perJob[ref.jobID][ref.index]++
		}
		if d := cpus - m.used.cpus; d > 0.01 || d < -0.01 {
			return fmt.Errorf("%s: %v CPUs in use, booked %v", m.name, cpus, m.used.cpus)
		}
	}
	for team, u := range s.cluster.usage {
		if d := use[team].CPUs - u.CPUs; d > 0.01 || d < -0.01 {
			return fmt.Errorf("team %s: %v CPUs in use, booked %v", team, use[team].CPUs, u.CPUs)
		}
	}
	for id, j := range s.cluster.jobs {
		n := 0
		for index, list := range j.active {
			n++
			if perJob[id][index] != len(list) {
				return fmt.Errorf("%s/%d: on %d machines, booked %d", id, index, perJob[id][index], len(list))
			}
		}
		if n != j.activeCount {
			return fmt.Errorf("%s: %d active, booked %d", id, n, j.activeCount)
		}
		free := map[int]bool{}
		for _, i := range j.indices.freed {
			free[i] = true
		}
		for i := 0; i < j.spec.Tasks; i++ {
			if !j.progress.done.Has(i) && len(j.active[i]) == 0 && i < j.indices.next && !free[i] && !j.cancelled && !j.archived {
				return fmt.Errorf("%s/%d is neither done, nor active, nor waiting", id, i)
			}
		}
	}
	return nil
}
