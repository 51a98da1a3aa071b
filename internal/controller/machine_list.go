package controller

import (
	"context"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// pollMachineList reads the cloud's list of machines periodically until ctx ends, and passes it to
// the scheduler.
func (t *leaderTerm) pollMachineList(ctx context.Context, sched *scheduler.Scheduler) {
	c := t.controller
	wait := time.Duration(0)
	for sleep(ctx, wait) {
		list, err := c.cloud.ListMachines(ctx)
		if err != nil {
			wait = min(max(wait, tuning.CloudRetryDelay)*2, tuning.MaxCloudRetryDelay)
			logCallFailure(c.log, "machine list not read", err)
			continue
		}
		wait = machineListInterval(c.cfg, len(list))
		c.updateScheduler(sched, func(now scheduler.Now) { sched.MachinesListed(now, list) })
		t.logFleetShortfalls(len(list))
	}
}

// machineListInterval returns the interval between reads of the machine list. It grows with the
// list, which takes one call per page, so that most of the cloud's request rate is left to
// provisioning and releases.
func machineListInterval(cfg *config.Settings, machines int) time.Duration {
	pages := float64(1 + machines/tuning.MachineListPageSize)
	rate := cfg.Deployment.Cloud.RPS * tuning.MachineListRateShare
	return max(tuning.MachineListInterval, config.Seconds(pages/rate))
}

// logFleetShortfalls logs which settings are too small for the number of machines, and logs them
// again once the number has more than doubled.
func (t *leaderTerm) logFleetShortfalls(machines int) {
	c := t.controller
	shortfalls := c.cfg.FleetShortfalls(machines)
	if len(shortfalls) == 0 || machines <= c.shortfallLogThreshold {
		return
	}
	c.shortfallLogThreshold = 2 * machines
	c.log.Error("settings fall short of the fleet", "shortfalls", shortfalls)
}
