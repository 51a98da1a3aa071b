package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"reflect"
	"slices"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/cloud"
	"github.com/yarrowgap/yarrowgap/internal/kvstore"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// refreshMachineTypes reads the machine types periodically until ctx ends. At the leader it also
// keeps a copy of them in the key-value store.
func (c *Controller) refreshMachineTypes(ctx context.Context) {
	source := machineTypeSource{cloud: c.cloud, store: c.store, log: c.log, retryDelay: tuning.CloudRetryDelay}
	for wait := time.Millisecond; sleep(ctx, jitter(wait)); wait = tuning.CloudRetryDelay {
		if source.fetchDue() {
			c.setMachineTypes(source.fetch(ctx, c.knownMachineTypes()))
		}
		if c.isLeader() {
			source.saveCopy(ctx, c.knownMachineTypes())
		}
	}
}

func (c *Controller) knownMachineTypes() []wire.MachineType {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machineTypes
}

func (c *Controller) setMachineTypes(types []wire.MachineType) {
	c.update(func() {
		c.machineTypes = types
		if c.leadership.leading() {
			c.leadership.scheduler.SetMachineTypes(c.now(), types)
		}
	})
}

func (c *Controller) isLeader() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leadership.leading()
}

// machineTypeSource reads the machine types from the cloud or, while the cloud is unavailable, from
// the leader's copy in the key-value store. It is used by one goroutine.
type machineTypeSource struct {
	cloud *cloud.Client
	store *kvstore.Client
	log   *slog.Logger

	nextFetchAt time.Time
	retryDelay  time.Duration      // doubles with each failure, up to MaxCloudRetryDelay
	fetched     bool               // whether the cloud has answered at least once
	storedTypes []wire.MachineType // the copy in the store, as last read or written
}

// fetchDue reports whether it is time to read the machine types from the cloud.
func (s *machineTypeSource) fetchDue() bool { return !time.Now().Before(s.nextFetchAt) }

// fetch reads the machine types from the cloud. If that fails it returns the known ones or, if
// there are none, the copy in the store.
func (s *machineTypeSource) fetch(ctx context.Context, known []wire.MachineType) []wire.MachineType {
	types, err := s.cloud.MachineTypes(ctx)
	if err == nil {
		s.retryDelay, s.fetched = tuning.CloudRetryDelay, true
		s.nextFetchAt = time.Now().Add(tuning.MachineTypeInterval)
		return types
	}
	logCallFailure(s.log, "machine types not read", err)
	s.retryDelay = min(s.retryDelay*2, tuning.MaxCloudRetryDelay)
	s.nextFetchAt = time.Now().Add(s.retryDelay)
	if len(known) > 0 {
		return known
	}
	s.storedTypes = s.readCopy(ctx)
	return s.storedTypes
}

// readCopy reads the copy in the store. If that fails it returns nil: the machine types stay
// unknown, and the next fetch tries again.
func (s *machineTypeSource) readCopy(ctx context.Context) []wire.MachineType {
	stored, err := s.store.RangeAll(ctx, kvstore.PriorityUser, records.MachineTypePrefix)
	if err != nil {
		logCallFailure(s.log, "stored machine types not read", err)
		return nil
	}
	var types []wire.MachineType
	for _, item := range stored.Items {
		var machineType wire.MachineType
		if err := wire.Unmarshal(item.Value, &machineType); err != nil || machineType.Name == "" {
			s.log.Error("stored machine type unreadable", "key", item.Key)
			continue
		}
		types = append(types, machineType)
	}
	return types
}

// saveCopy writes the types to the store, unless they are not from the cloud or the copy in the
// store is up to date.
func (s *machineTypeSource) saveCopy(ctx context.Context, types []wire.MachineType) {
	if !s.fetched || slices.EqualFunc(s.storedTypes, types, equalExceptPrices) {
		return
	}
	if err := s.writeCopy(ctx, types); err != nil {
		logCallFailure(s.log, "machine types not stored", err)
		return
	}
	s.storedTypes = types
}

func (s *machineTypeSource) writeCopy(ctx context.Context, types []wire.MachineType) error {
	for i, machineType := range types {
		// The types are written one at a time, with pauses and at low priority, to leave the
		// write rate to dispatch.
		_, _, err := s.store.Commit(ctx, kvstore.PriorityBackground, wire.Txn{
			Then: []wire.Op{{Set: records.MachineTypeKey(machineType.Name), Value: machineType}},
		})
		//mutation:rejected-machine-type
		if errors.Is(err, kvstore.ErrRejected) {
			// It would be rejected again, and the other types help a controller that starts while
			// the cloud is down.
			continue
		}
		if err != nil {
			return fmt.Errorf("store machine type %s: %w", machineType.Name, err)
		}
		if i > 0 && !sleep(ctx, tuning.StoreRetryDelay) {
			return ctx.Err()
		}
	}
	return nil
}

// equalExceptPrices reports whether two machine types are equal except for their prices, which
// change all the time.
func equalExceptPrices(a, b wire.MachineType) bool {
	a.Price, a.SpotPrice, b.Price, b.SpotPrice = 0, 0, 0, 0
	return reflect.DeepEqual(a, b)
}
