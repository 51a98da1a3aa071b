package scheduler

import (
	"fmt"
	"math"
)

// Audit recomputes the accounting from the attempts on machines and says where the two
// differ: what is not counted is placed twice, what stays counted is lost capacity.
func (s *Scheduler) Audit() error {
	a := &audit{cpusByTeam: map[string]float64{}, machinesByTask: map[taskRef]int{}}
	for _, m := range s.cluster.machines {
		if err := a.addMachine(m); err != nil {
			return err
		}
	}
	for team, usage := range s.cluster.usage {
		if !sameCPUs(a.cpusByTeam[team], usage.CPUs) {
			return fmt.Errorf("team %s: %v CPUs in use, %v counted", team, a.cpusByTeam[team], usage.CPUs)
		}
	}
	for _, j := range s.cluster.jobs {
		if err := a.checkJob(j); err != nil {
			return err
		}
	}
	return nil
}

// audit is what is in use by the attempts on machines.
type audit struct {
	cpusByTeam     map[string]float64
	machinesByTask map[taskRef]int
}

// addMachine adds the attempts on a machine and checks what is counted for it.
func (a *audit) addMachine(m *machine) error {
	cpus := 0.0
	for ref, attempt := range m.tasks {
		if attempt.machine != m || attempt.ref != ref {
			return fmt.Errorf("%s holds an attempt of %v on %s", m.name, attempt.ref, attempt.machine.name)
		}
		if attempt.job == nil {
			continue
		}
		cpus += attempt.job.spec.CPUs
		a.cpusByTeam[attempt.job.spec.Team] += attempt.job.spec.CPUs
		a.machinesByTask[ref]++
	}
	if !sameCPUs(cpus, m.used.cpus) {
		return fmt.Errorf("%s: %v CPUs in use, %v counted", m.name, cpus, m.used.cpus)
	}
	return nil
}

// checkJob checks what is counted for a job, and that none of its tasks is forgotten.
func (a *audit) checkJob(j *job) error {
	active := 0
	for index, attempts := range j.active {
		active++
		if machines := a.machinesByTask[taskRef{j.id, index}]; machines != len(attempts) {
			return fmt.Errorf("%s/%d: on %d machines, %d counted", j.id, index, machines, len(attempts))
		}
	}
	if active != j.activeCount {
		return fmt.Errorf("%s: %d active, %d counted", j.id, active, j.activeCount)
	}
	if j.cancelled || j.archived {
		return nil
	}
	freed := map[int]bool{}
	for _, index := range j.indices.freed {
		freed[index] = true
	}
	for index := range min(j.spec.Tasks, j.indices.nextUnused) {
		if !j.progress.done.Has(index) && len(j.active[index]) == 0 && !freed[index] {
			return fmt.Errorf("%s/%d is neither done, nor active, nor waiting", j.id, index)
		}
	}
	return nil
}

// sameCPUs allows for sums in another order.
func sameCPUs(a, b float64) bool { return math.Abs(a-b) <= 0.01 }
