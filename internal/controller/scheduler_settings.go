package controller

import (
	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/scheduler"
)

// schedulerSettings returns what the scheduler needs of the settings, and of how this
// controller came to lead. Called with the lock held.
func (c *Controller) schedulerSettings() scheduler.Settings {
	deployment := &c.cfg.Deployment
	return scheduler.Settings{
		Teams:                 teamQuotas(deployment.Teams),
		HeartbeatInterval:     config.Seconds(deployment.Workers.HeartbeatS),
		WorkerLease:           config.Seconds(deployment.Workers.LeaseS),
		CancellationBound:     config.Seconds(deployment.Workers.CancellationS),
		MaxTransactionOps:     deployment.Store.TxnOps,
		MaxValueBytes:         int(deployment.Store.ValueKB * 1024),
		WriteRate:             deployment.Store.WriteRPS,
		ColdRestart:           c.coldRestart(),
		TraceOperations:       c.tracer.Enabled(),
		Objectives:            objectives(deployment.Objectives),
		MinimizeCost:          c.cfg.CostSensitive(),
		GuaranteedStartWithin: c.cfg.GuaranteeStartTarget(),
		CloudRate:             deployment.Cloud.RPS,
		CPUShare:              deployment.Quota.CPUShare,
		CloudListLag:          config.Seconds(deployment.Cloud.ListLagS),
		Policy:                c.policy,
	}
}

// coldRestart reports whether no controller that this one has heard of survived the
// failover. Called with the lock held.
func (c *Controller) coldRestart() bool {
	workerLease := config.Seconds(c.cfg.Deployment.Workers.LeaseS)
	if c.leadership.survivedFailover(c.startedAt, workerLease) {
		return false
	}
	for _, p := range c.membership.peers {
		if c.leadership.survivedFailover(p.processStartedAt, workerLease) {
			return false
		}
	}
	return true
}

func teamQuotas(teams []config.Team) map[string]scheduler.TeamQuota {
	quotas := make(map[string]scheduler.TeamQuota, len(teams))
	for _, team := range teams {
		quotas[team.Name] = scheduler.TeamQuota{
			CPUs: team.GuaranteedCPUs, MaxCPUs: team.MaxCPUs,
			GPUs: team.GuaranteedGPUs, MaxGPUs: team.MaxGPUs,
		}
	}
	return quotas
}

// Kinds of objectives in the settings that the scheduler acts on.
const (
	objectiveDeadline = "deadline"
	objectiveFinished = "finished"
)

// objectives gathers the objectives of each class of jobs.
func objectives(configured []config.Objective) map[string]scheduler.Objective {
	byClass := map[string]scheduler.Objective{}
	for _, o := range configured {
		objective := byClass[o.Class]
		switch o.Kind {
		case objectiveDeadline:
			objective.DeadlineMultiples = append(objective.DeadlineMultiples, max(o.DeadlineMultiple, 1))
		case objectiveFinished:
			objective.WithinS = o.WithinS
		}
		byClass[o.Class] = objective
	}
	return byClass
}
