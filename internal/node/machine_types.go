package node

import (
	"context"
	"reflect"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/store"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// learnTypes keeps the machine types: from the cloud, or, while that is down,
// from the state service, where the leader keeps a copy.
func (n *Node) learnTypes(ctx context.Context) {
	var stored []wire.MachineType // what the state service has, as far as known
	var due time.Time             // when the cloud is to be asked
	pause, fromCloud := tuning.CloudRetry, false
	for wait := time.Millisecond; sleep(ctx, jitter(wait)); wait = tuning.CloudRetry {
		if !time.Now().Before(due) {
			types, err := n.cloud.Types(ctx)
			if err != nil {
				n.trouble("machine types", err)
				pause = min(pause*2, tuning.CloudRetryMax)
				due = time.Now().Add(pause)
				if types = n.knownTypes(); len(types) == 0 {
					types, _ = n.storedTypes(ctx) // an error leaves them unknown: asked again
					stored = types
				}
			} else {
				pause, fromCloud = tuning.CloudRetry, true
				due = time.Now().Add(tuning.TypesEvery)
			}
			n.do(func() {
				n.types = types
				if n.leader != nil {
					n.leader.SetTypes(n.now(), types)
				}
			})
		}
		types := n.knownTypes()
		n.mu.Lock()
		lead := n.leader != nil
		n.mu.Unlock()
		if lead && fromCloud && !sameTypes(stored, types) && n.storeTypes(ctx, types) == nil {
			stored = types
		}
	}
}

func (n *Node) knownTypes() []wire.MachineType {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.types
}

func (n *Node) storedTypes(ctx context.Context) ([]wire.MachineType, error) {
	items, _, err := n.state.All(ctx, store.Second, store.TypesPrefix)
	if err != nil {
		return nil, err
	}
	var types []wire.MachineType
	for _, it := range items {
		var t wire.MachineType
		if err := wire.Unmarshal(it.Value, &t); err != nil || t.Name == "" {
			n.log.Error("stored machine type unreadable", "key", it.Key)
			continue
		}
		types = append(types, t)
	}
	return types, nil
}

func (n *Node) storeTypes(ctx context.Context, types []wire.MachineType) error {
	for i, t := range types {
		// One at a time and unhurried: starts have the writes' rate first.
		_, _, err := n.state.Commit(ctx, store.Third, wire.Txn{Apply: []wire.Change{{Set: store.TypesPrefix + t.Name, Value: t}}})
		if err != nil {
			return err
		}
		if i > 0 && !sleep(ctx, tuning.StateRetry) {
			return ctx.Err()
		}
	}
	return nil
}

// sameTypes compares all but prices, which move.
func sameTypes(a, b []wire.MachineType) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		x, y := a[i], b[i]
		x.Price, x.SpotCost, y.Price, y.SpotCost = 0, 0, 0, 0
		if !reflect.DeepEqual(x, y) {
			return false
		}
	}
	return true
}
