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

// startTerm starts a scheduler from the stored records.
func (c *cluster) startTerm() {
	_, reply := c.kvStore.Commit(c.now, wire.Txn{Then: []wire.Op{{Set: records.LeaderKey, Value: records.Leader{Node: controllerName}}}})
	c.replica = scheduler.NewReplica()
	c.replica.Reset(c.readAll(records.LiveJobPrefix), c.kvStore.Revision)
	settings := c.settings
	settings.ColdRestart = true
	bitmaps, batches := c.readAll(records.BitmapPrefix), c.readAll(records.BatchPrefix)
	c.scheduler = scheduler.New(c.schedulerNow(), settings, reply.Revision, c.replica, bitmaps, batches, []wire.MachineType{c.machineType})
	c.scheduler.ExtendLease(c.now + storeLeaseExtension)
	c.applyEffects()
}

// readAll reads the keys with a prefix page by page.
func (c *cluster) readAll(prefix string) []wire.KeyValue {
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

// applyChanges brings the scheduler's jobs up to date with the store.
func (c *cluster) applyChanges() {
	changes, _ := c.kvStore.Changes(c.now, records.JobsPrefix, c.replica.Revision)
	touched, _ := c.replica.Apply(changes)
	c.scheduler.JobsChanged(c.schedulerNow(), touched)
	c.applyEffects()
}

func (c *cluster) tick() {
	if c.scheduler == nil {
		return
	}
	c.scheduler.ExtendLease(c.now + storeLeaseExtension)
	c.scheduler.Tick(c.schedulerNow())
	c.applyEffects()
}

// inTerm gives an input to the scheduler of a term, unless that term is over.
func (c *cluster) inTerm(term *scheduler.Scheduler, input func()) {
	if c.scheduler == term {
		input()
		c.applyEffects()
	}
}

// applyEffects settles the scheduler and carries out its decisions.
func (c *cluster) applyEffects() {
	term := c.scheduler
	term.Settle(c.schedulerNow())
	effects := term.TakeEffects()
	for _, commit := range effects.Commits {
		c.commit(term, commit)
	}
	for _, call := range effects.DirectCalls {
		c.callMachine(term, call)
	}
	for _, provisioning := range effects.Provision {
		c.provision(term, provisioning.Request)
	}
	for _, names := range effects.Release {
		c.release(term, names)
	}
}

func (c *cluster) commit(term *scheduler.Scheduler, commit scheduler.Commit) {
	c.counts.kvStoreCalls++
	c.after(c.latency(), func() {
		status, reply := c.kvStore.Commit(c.now, commit.Txn)
		result := scheduler.CommitDone
		if status != http.StatusOK {
			result = scheduler.CommitConflict
		}
		c.after(c.latency(), func() {
			c.inTerm(term, func() { term.CommitEnded(c.schedulerNow(), commit.ID, result, reply.Revision, reply.FailedKeys) })
		})
	})
}

// callMachine makes a direct call. Whichever comes first, the answer or the timeout, is
// its result.
func (c *cluster) callMachine(term *scheduler.Scheduler, call scheduler.DirectCall) {
	c.counts.directCalls++
	c.counts.countCommands(c.now, call.Machine, call.Body.Commands)
	finished := false
	finish := func(result scheduler.CallResult, heartbeat *wire.Heartbeat) {
		if !finished {
			finished = true
			c.inTerm(term, func() { term.CallDone(c.schedulerNow(), call.ID, result, heartbeat) })
		}
	}
	c.after(c.latency(), func() {
		m := c.machines[call.Machine]
		if !m.reachable(c.now) {
			return
		}
		status, heartbeat := m.HandleCommands(c.now, call.Body)
		result := scheduler.CallExecuted
		if status != http.StatusOK {
			result = scheduler.CallRefused
		}
		m.noteAnswer(c.now)
		c.after(c.latency(), func() { finish(result, &heartbeat) })
	})
	c.after(tuning.CommandTimeout, func() { finish(scheduler.CallLost, nil) })
}

func (c *cluster) provision(term *scheduler.Scheduler, request wire.ProvisionRequest) {
	c.counts.cloudCalls++
	c.after(c.latency(), func() {
		names := c.machinesByRequest[request.RequestID]
		for range request.Count {
			names = append(names, c.bootMachine(request.Zone, c.randomAround(bootTime, bootTime/4)))
		}
		c.machinesByRequest[request.RequestID] = names
		c.counts.orders.CountProvisioned(len(names))
		c.inTerm(term, func() { term.ProvisionEnded(c.schedulerNow(), request.RequestID, scheduler.ProvisionDone, names) })
	})
}

func (c *cluster) release(term *scheduler.Scheduler, names []string) {
	c.counts.cloudCalls++
	c.after(c.latency(), func() {
		for _, name := range names {
			c.terminate(name)
			c.counts.orders.CountRelease(name)
		}
		c.inTerm(term, func() { term.ReleaseEnded(c.schedulerNow(), names, scheduler.ReleaseDone) })
	})
}
