package controller

import (
	"errors"
	"slices"

	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Why a job is not accepted. Users are told the text.
var (
	errOverQuotaLimit      = errors.New("needs more than the team's limit")
	errUnknownTeam         = errors.New("unknown team")
	errNoMachineType       = errors.New("a task fits no allowed machine type")
	errMachineTypesUnknown = errors.New("machine types not known yet")
)

// quotaTolerance allows for sums of amounts that are not exact.
const quotaTolerance = 1e-6

// checkFeasible returns why a job can never run, or errMachineTypesUnknown where that
// cannot be told yet.
func checkFeasible(job *wire.Job, teams []config.Team, types []wire.MachineType) error {
	if err := checkQuota(job, teams); err != nil {
		return err
	}
	if len(types) == 0 {
		return errMachineTypesUnknown
	}
	if !slices.ContainsFunc(types, func(t wire.MachineType) bool { return allowed(job, &t) }) {
		return errNoMachineType
	}
	return nil
}

// checkQuota compares what has to run at the same time with the team's limit.
func checkQuota(job *wire.Job, teams []config.Team) error {
	concurrentTasks := 1.0
	if job.Service() || job.Gang() {
		concurrentTasks = float64(job.Tasks)
	}
	known := false
	for _, team := range teams {
		if team.Name != job.Team {
			continue
		}
		known = true
		if concurrentTasks*job.CPUs > team.MaxCPUs+quotaTolerance || concurrentTasks*job.GPUs > team.MaxGPUs+quotaTolerance {
			return errOverQuotaLimit
		}
	}
	if !known {
		return errUnknownTeam
	}
	return nil
}

// allowed reports whether the job's tasks fit the machine type and may run on it.
func allowed(job *wire.Job, machineType *wire.MachineType) bool {
	return machineType.Fits(job) &&
		(job.MachineTypes == nil || slices.Contains(job.MachineTypes, machineType.Name)) &&
		(job.Zone == "" || slices.Contains(machineType.Zones, job.Zone))
}
