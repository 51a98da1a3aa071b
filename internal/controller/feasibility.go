package controller

import (
	"errors"
	"slices"

	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Reasons for which a job is refused. Their texts are sent to users.
var (
	errOverQuotaLimit      = errors.New("needs more than the team's limit")
	errUnknownTeam         = errors.New("unknown team")
	errNoMachineType       = errors.New("a task fits no allowed machine type")
	errGangUnsupported     = errors.New("gangs of several tasks cannot run yet")
	errMachineTypesUnknown = errors.New("machine types not known yet")
)

// quotaTolerance is the number of CPUs or GPUs by which a job may exceed its team's limit, because
// sums and products of fractional amounts are not exact.
const quotaTolerance = 1e-6

// checkFeasible returns the reason for which a job can never run, errMachineTypesUnknown while no
// machine types are known to check it against, and nil otherwise.
func checkFeasible(job *wire.Job, teams []config.Team, types []wire.MachineType) error {
	if err := checkQuota(job, teams); err != nil {
		return err
	}
	// Workers start a gang only if all its tasks have one attempt number; the scheduler numbers each.
	//mutation:gang-unsupported
	if job.Gang() && job.Tasks > 1 {
		return errGangUnsupported
	}
	if len(types) == 0 {
		return errMachineTypesUnknown
	}
	if !slices.ContainsFunc(types, func(t wire.MachineType) bool { return canRunOn(job, &t) }) {
		return errNoMachineType
	}
	return nil
}

// checkQuota checks that the team exists and that its limit covers the tasks that must run at the
// same time: all tasks of a service or a gang, and one task of any other job.
func checkQuota(job *wire.Job, teams []config.Team) error {
	concurrentTasks := 1.0
	if job.Service() || job.Gang() {
		concurrentTasks = float64(job.Tasks)
	}
	teamKnown := false
	for _, team := range teams {
		if team.Name != job.Team {
			continue
		}
		teamKnown = true
		if concurrentTasks*job.CPUs > team.MaxCPUs+quotaTolerance || concurrentTasks*job.GPUs > team.MaxGPUs+quotaTolerance {
			return errOverQuotaLimit
		}
	}
	if !teamKnown {
		return errUnknownTeam
	}
	return nil
}

// canRunOn reports whether a task of the job fits the machine type, the job allows the type, and
// the type is offered in the job's zone, if it has one.
func canRunOn(job *wire.Job, machineType *wire.MachineType) bool {
	return machineType.Fits(job) &&
		(job.MachineTypes == nil || slices.Contains(job.MachineTypes, machineType.Name)) &&
		(job.Zone == "" || slices.Contains(machineType.Zones, job.Zone))
}
