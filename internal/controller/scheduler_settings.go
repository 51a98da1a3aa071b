package controller

import (
	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/scheduler"
)

// schedulerSettings returns the settings of a term's scheduler, from the controller's settings and
// the circumstances of its election. Called with the lock held.
func (c *Controller) schedulerSettings() scheduler.Settings {
	deployment := &c.cfg.Deployment
	return scheduler.Settings{
		Teams:                 teamQuotas(deployment.Teams),
		HeartbeatInterval:     config.Seconds(deployment.Workers.HeartbeatS),
		WorkerLease:           config.Seconds(deployment.Workers.LeaseS),
		CancellationBound:     config.Seconds(deployment.Workers.CancellationS),
		MaxTransactionOps:     deployment.Store.TxnOps,
		MaxValueBytes:         deployment.Store.MaxValueBytes(),
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

// coldRestart reports whether no controller, this one included, is known to have survived the
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

// Kinds of objectives in the settings that the scheduler uses.
const (
	objectiveDeadline = "deadline"
	objectiveFinished = "finished"
)

// objectives groups the configured objectives by job class.
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
