package restartsim

import (
	"net/http"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

func (c *cluster) schedulerNow() scheduler.Now {
	return scheduler.Now{Mono: c.now, Wall: c.now.Milliseconds()}
}

// startTerm starts a scheduler in a new term, as after a cold restart, with the state in the
// key-value store.
func (c *cluster) startTerm() {
	_, reply := c.kvStore.Commit(c.now, wire.Txn{Then: []wire.Op{{Set: records.LeaderKey, Value: records.Leader{Node: controllerName}}}})
	c.replica = scheduler.NewReplica()
	c.replica.Reset(c.readPrefix(records.LiveJobPrefix), c.kvStore.Revision)
	settings := c.settings
	settings.ColdRestart = true
	bitmaps, batches := c.readPrefix(records.BitmapPrefix), c.readPrefix(records.BatchPrefix)
	c.scheduler = scheduler.New(c.schedulerNow(), settings, reply.Revision, c.replica, bitmaps, batches, []wire.MachineType{c.machineType})
	c.scheduler.ExtendLease(c.now + leaderLeaseExtension)
	c.applyEffects()
}

// readPrefix reads all keys with a prefix, page by page.
func (c *cluster) readPrefix(prefix string) []wire.KeyValue {
	var items []wire.KeyValue
	from := ""
	for {
		c.counts.kvStoreCalls++
		page := c.kvStore.Range(c.now, prefix, from, tuning.StorePageSize)
		items = append(items, page.Items...)
		if !page.More {
			return items
		}
		from = page.Items[len(page.Items)-1].Key
	}
}

// applyChanges passes the changes of jobs in the key-value store to the scheduler.
func (c *cluster) applyChanges() {
	changes, _ := c.kvStore.Changes(c.now, records.JobsPrefix, c.replica.Revision)
	changedJobs, _ := c.replica.Apply(changes)
	c.scheduler.JobsChanged(c.schedulerNow(), changedJobs)
	c.applyEffects()
}

func (c *cluster) tick() {
	if c.scheduler == nil {
		return
	}
	c.scheduler.ExtendLease(c.now + leaderLeaseExtension)
	c.scheduler.Tick(c.schedulerNow())
	c.applyEffects()
}

// deliverIfCurrent passes an input to the target scheduler and performs the resulting effects,
// unless the scheduler's term has ended.
func (c *cluster) deliverIfCurrent(target *scheduler.Scheduler, input func()) {
	if c.scheduler == target {
		input()
		c.applyEffects()
	}
}

// applyEffects calls Settle, which must follow every input, and performs the effects that the
// scheduler returns.
func (c *cluster) applyEffects() {
	issuer := c.scheduler
	issuer.Settle(c.schedulerNow())
	effects := issuer.TakeEffects()
	for _, commit := range effects.Commits {
		c.commit(issuer, commit)
	}
	for _, call := range effects.DirectCalls {
		c.callMachine(issuer, call)
	}
	for _, provisioning := range effects.Provision {
		c.provision(issuer, provisioning.Request)
	}
	for _, names := range effects.Release {
		c.release(issuer, names)
	}
}

func (c *cluster) commit(issuer *scheduler.Scheduler, commit scheduler.Commit) {
	c.counts.kvStoreCalls++
	c.after(c.randomLatency(), func() {
		status, reply := c.kvStore.Commit(c.now, commit.Txn)
		result := scheduler.CommitDone
		if status != http.StatusOK {
			result = scheduler.CommitConflict
		}
		c.after(c.randomLatency(), func() {
			c.deliverIfCurrent(issuer, func() { issuer.CommitEnded(c.schedulerNow(), commit.ID, result, reply.Revision, reply.FailedKeys) })
		})
	})
}

// callMachine makes a direct call to a machine. The result of the call is the answer or the timeout,
// whichever comes first.
func (c *cluster) callMachine(issuer *scheduler.Scheduler, call scheduler.DirectCall) {
	c.counts.directCalls++
	c.counts.countCommands(c.now, call.Machine, call.Body.Commands)
	finished := false
	finish := func(result scheduler.CallResult, heartbeat *wire.Heartbeat) {
		if !finished {
			finished = true
			c.deliverIfCurrent(issuer, func() { issuer.CallDone(c.schedulerNow(), call.ID, result, heartbeat) })
		}
	}
	c.after(c.randomLatency(), func() {
		m := c.machines[call.Machine]
		if !m.reachable(c.now) {
			return
		}
		status, heartbeat := m.HandleCommands(c.now, call.Body)
		result := scheduler.CallExecuted
		if status != http.StatusOK {
			result = scheduler.CallRefused
		}
		m.recordAnswer(c.now)
		c.after(c.randomLatency(), func() { finish(result, &heartbeat) })
	})
	c.after(tuning.CommandTimeout, func() { finish(scheduler.CallLost, nil) })
}

func (c *cluster) provision(issuer *scheduler.Scheduler, request wire.ProvisionRequest) {
	c.counts.cloudCalls++
	c.after(c.randomLatency(), func() {
		names := c.machinesByRequest[request.RequestID]
		for range request.Count {
			names = append(names, c.bootMachine(request.Zone, c.randomAround(bootTime, bootTime/4)))
		}
		c.machinesByRequest[request.RequestID] = names
		c.counts.operations.CountProvisioned(len(names))
		c.deliverIfCurrent(issuer, func() { issuer.ProvisionEnded(c.schedulerNow(), request.RequestID, scheduler.ProvisionDone, names) })
	})
}

func (c *cluster) release(issuer *scheduler.Scheduler, names []string) {
	c.counts.cloudCalls++
	c.after(c.randomLatency(), func() {
		for _, name := range names {
			c.terminate(name)
			c.counts.operations.CountRelease(name)
		}
		c.deliverIfCurrent(issuer, func() { issuer.ReleaseEnded(c.schedulerNow(), names, scheduler.ReleaseDone) })
	})
}
