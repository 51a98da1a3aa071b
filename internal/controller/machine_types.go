package controller

import (
	"context"
	"reflect"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/kvstore"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// refreshMachineTypes keeps the machine types: from the cloud, or, while that is down,
// from the state service, where the leader keeps a copy.
func (c *Controller) refreshMachineTypes(ctx context.Context) {
	var stored []wire.MachineType // what the state service has, as far as known
	var nextFetchAt time.Time     // when the cloud is to be asked
	pause, fromCloud := tuning.CloudRetryDelay, false
	for wait := time.Millisecond; sleep(ctx, jitter(wait)); wait = tuning.CloudRetryDelay {
		if !time.Now().Before(nextFetchAt) {
			types, err := c.cloud.MachineTypes(ctx)
			if err != nil {
				c.logCallFailure("machine types", err)
				pause = min(pause*2, tuning.MaxCloudRetryDelay)
				nextFetchAt = time.Now().Add(pause)
				if types = c.knownMachineTypes(); len(types) == 0 {
					types, _ = c.storedMachineTypes(ctx) // an error leaves them unknown: asked again
					stored = types
				}
			} else {
				pause, fromCloud = tuning.CloudRetryDelay, true
				nextFetchAt = time.Now().Add(tuning.MachineTypeInterval)
			}
			c.update(func() {
				c.machineTypes = types
				if c.leadership.scheduler != nil {
					c.leadership.scheduler.SetMachineTypes(c.now(), types)
				}
			})
		}
		types := c.knownMachineTypes()
		c.mu.Lock()
		leading := c.leadership.scheduler != nil
		c.mu.Unlock()
		if leading && fromCloud && !sameMachineTypes(stored, types) && c.storeMachineTypes(ctx, types) == nil {
			stored = types
		}
	}
}

func (c *Controller) knownMachineTypes() []wire.MachineType {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machineTypes
}

func (c *Controller) storedMachineTypes(ctx context.Context) ([]wire.MachineType, error) {
	items, _, err := c.store.RangeAll(ctx, kvstore.PriorityUser, records.MachineTypePrefix)
	if err != nil {
		return nil, err
	}
	var types []wire.MachineType
	for _, it := range items {
		var t wire.MachineType
		if err := wire.Unmarshal(it.Value, &t); err != nil || t.Name == "" {
			c.log.Error("stored machine type unreadable", "key", it.Key)
			continue
		}
		types = append(types, t)
	}
	return types, nil
}

func (c *Controller) storeMachineTypes(ctx context.Context, types []wire.MachineType) error {
	for i, t := range types {
		// One at a time and unhurried: starts have the writes' rate first.
		_, _, err := c.store.Commit(ctx, kvstore.PriorityBackground, wire.Txn{Then: []wire.Op{{Set: records.MachineTypePrefix + t.Name, Value: t}}})
		if err != nil {
			return err
		}
		if i > 0 && !sleep(ctx, tuning.StoreRetryDelay) {
			return ctx.Err()
		}
	}
	return nil
}

// sameMachineTypes compares all but prices, which move.
func sameMachineTypes(a, b []wire.MachineType) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		x, y := a[i], b[i]
		x.Price, x.SpotPrice, y.Price, y.SpotPrice = 0, 0, 0, 0
		if !reflect.DeepEqual(x, y) {
			return false
		}
	}
	return true
}
