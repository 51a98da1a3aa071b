package scheduler

import (
	"fmt"
	"math"
)

// Audit recomputes the totals from the attempts on machines and returns an error if the
// scheduler's totals differ. Resources that are in use but not counted would be allocated twice;
// resources that are counted but not in use would be lost.
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

// audit holds the totals over the attempts on machines.
type audit struct {
	cpusByTeam     map[string]float64
	machinesByTask map[taskRef]int // number of machines with an attempt of the task
}

// addMachine adds a machine's attempts to the totals and checks the machine's own totals.
func (a *audit) addMachine(m *machine) error {
	cpus := 0.0
	for ref, attempt := range m.tasks {
		if attempt.machine != m || attempt.ref != ref {
			return fmt.Errorf("%s lists an attempt of %v whose machine is %s", m.name, attempt.ref, attempt.machine.name)
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

// checkJob checks a job's totals, and that every task is done, active or available for placement.
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

// sameCPUs compares two sums of CPUs. It tolerates rounding differences from the order of
// addition.
func sameCPUs(a, b float64) bool { return math.Abs(a-b) <= 0.01 }
