package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/wire"
)

const (
	sigStop     = syscall.SIGSTOP
	sigContinue = syscall.SIGCONT

	leaderQueryTimeout = 500 * time.Millisecond
	maxStoreDelay      = 800 * time.Millisecond
	maxLateness        = 12 * time.Second // of late writes, heartbeats and commands
)

// activeFaults counts the faults of each kind and target that are active, since faults of one kind
// may overlap: the effect ends with the last of them.
type activeFaults map[string]int

func (a activeFaults) begin(name string) { a[name]++ }

// end reports whether no fault of that name is active any more.
func (a activeFaults) end(name string) bool {
	a[name]--
	return a[name] == 0
}

// injector injects the faults of a schedule. It is used by one goroutine.
type injector struct {
	cluster *cluster
	rng     *rand.Rand
	log     func(format string, args ...any)
	active  activeFaults
}

// run injects the faults until all have ended.
func (in *injector) run(ctx context.Context, schedule []Fault) error {
	startedAt := time.Now()
	type ending struct {
		at   time.Duration
		undo func() error
	}
	var endings []ending
	for len(schedule) > 0 || len(endings) > 0 {
		now := time.Since(startedAt)
		for len(schedule) > 0 && schedule[0].At <= now {
			fault := schedule[0]
			schedule = schedule[1:]
			undo, err := in.begin(ctx, fault)
			if err != nil {
				return err
			}
			endings = append(endings, ending{fault.End(), undo})
		}
		remaining := endings[:0]
		for _, e := range endings {
			if e.at > now {
				remaining = append(remaining, e)
			} else if err := e.undo(); err != nil {
				return err
			}
		}
		endings = remaining
		if !simulator.Sleep(ctx, faultTick) {
			return ctx.Err()
		}
	}
	return nil
}

// faultTick is how often faults begin and end.
const faultTick = 20 * time.Millisecond

// begin begins a fault and returns the function that ends it.
func (in *injector) begin(ctx context.Context, fault Fault) (undo func() error, err error) {
	target := fault.Controller
	if target == atLeader {
		target = in.cluster.leader(ctx)
	}
	in.log("begin %s at controller %d", fault, target)
	name := fmt.Sprint(fault.Kind, target)
	if fault.Kind == FaultRefusePeers {
		name = string(fault.Kind) // concerns all controllers
	}
	in.active.begin(name)
	effect := in.controllerEffect(ctx, fault, target)
	return func() error {
		in.log("end   %s at controller %d", fault, target)
		if !in.active.end(name) {
			return nil
		}
		return effect.end()
	}, effect.begin()
}

// effect is what a fault changes and how that is undone.
type effect struct{ begin, end func() error }

// infallible returns an effect that cannot fail.
func infallible(begin, end func()) effect {
	return effect{
		begin: func() error { begin(); return nil },
		end:   func() error { end(); return nil },
	}
}

// controllerEffect returns the effect of a fault at a controller, or of a fault elsewhere.
func (in *injector) controllerEffect(ctx context.Context, fault Fault, target int) effect {
	c := in.cluster
	switch fault.Kind {
	case FaultKill:
		return kill(ctx, c.processes[target])
	case FaultKillAll:
		return kill(ctx, c.processes...)
	case FaultPause:
		return infallible(func() { c.processes[target].signal(sigStop) }, func() { c.processes[target].signal(sigContinue) })
	case FaultCutPeers:
		return cut(c.linksToPeers(target), simulator.Requests, simulator.Replies)
	case FaultCutPeersOneWay:
		return cut(c.linksToPeers(target), simulator.Replies)
	case FaultRefusePeers:
		return refuseConnections(c.allPeerLinks())
	case FaultCutStore:
		return cut(c.storeLinks[target:target+1], simulator.Requests, simulator.Replies)
	case FaultCutStoreReplies:
		return cut(c.storeLinks[target:target+1], simulator.Replies)
	case FaultCutWorkers:
		return cut(c.workerLinks[target:target+1], simulator.Requests, simulator.Replies)
	case FaultCutReplies:
		return cut(c.workerLinks[target:target+1], simulator.Replies)
	case FaultDelayStore:
		delay := time.Duration(fault.Share * float64(maxStoreDelay))
		return infallible(
			func() { c.storeLinks[target].SetDelay(simulator.Requests, delay) },
			func() { c.storeLinks[target].SetDelay(simulator.Requests, 0) })
	}
	return in.serviceEffect(fault, target)
}

// serviceEffect returns the effect of a fault of the key-value store, of messages or of machines.
func (in *injector) serviceEffect(fault Fault, target int) effect {
	simulation := in.cluster.simulation
	late := in.drawLateness(fault.Share)
	switch fault.Kind {
	case FaultRefuse:
		return infallible(
			func() { simulation.RefuseController(controllerName(target), true) },
			func() { simulation.RefuseController(controllerName(target), false) })
	case FaultOutage:
		return infallible(simulation.StartKVStoreOutage, simulation.EndKVStoreOutage)
	case FaultLowerLimits:
		return infallible(
			func() { simulation.SetKVStoreLimits(lowerLimits(fault.Share)) },
			func() { simulation.SetKVStoreLimits(simulator.DefaultKVStoreLimits()) })
	case FaultLostReplies, FaultLateWrites:
		return infallible(
			func() { simulation.InjectTransactionFaults(transactionFault(fault.Kind, late)) },
			func() { simulation.InjectTransactionFaults(nil) })
	case FaultLateHeartbeats:
		return infallible(func() { simulation.RepeatHeartbeats(late) }, func() { simulation.RepeatHeartbeats(nil) })
	case FaultLateCommands:
		return infallible(func() { simulation.DelayCommands(late) }, func() { simulation.DelayCommands(nil) })
	case FaultHang:
		return in.onMachines(fault, simulation.HangMachine)
	case FaultPartition:
		return in.onMachines(fault, simulation.PartitionMachine)
	}
	panic("unknown fault: " + fault.Kind)
}

// Bounds of the limits that the key-value store has during FaultLowerLimits.
const (
	minTransactionOps, maxTransactionOps = 2, 8
	minValueBytes, maxValueBytes         = 600, 2000
	minWriteRate, maxWriteRate           = 10.0, 60.0
)

// lowerLimits returns limits between those bounds; share 0 gives the lowest ones.
func lowerLimits(share float64) simulator.KVStoreLimits {
	between := func(lowest, highest float64) float64 { return lowest + share*(highest-lowest) }
	return simulator.KVStoreLimits{
		MaxTxnOps:     int(between(minTransactionOps, maxTransactionOps)),
		MaxValueBytes: int(between(minValueBytes, maxValueBytes)),
		WriteRate:     between(minWriteRate, maxWriteRate),
	}
}

// kill returns the effect of killing processes and starting them again.
func kill(ctx context.Context, processes ...*process) effect {
	return effect{
		begin: func() error {
			for _, p := range processes {
				p.kill()
			}
			return nil
		},
		end: func() error {
			var errs []error
			for _, p := range processes {
				errs = append(errs, p.start(ctx))
			}
			return errors.Join(errs...)
		},
	}
}

// cut returns the effect of cutting links in the given directions.
func cut(links []*simulator.Link, directions ...simulator.Direction) effect {
	set := func(isCut bool) func() {
		return func() {
			for _, link := range links {
				for _, direction := range directions {
					link.SetCut(direction, isCut)
				}
			}
		}
	}
	return infallible(set(true), set(false))
}

// refuseConnections returns the effect of links that refuse connections.
func refuseConnections(links []*simulator.Link) effect {
	return effect{
		begin: func() error {
			for _, link := range links {
				link.RefuseConnections()
			}
			return nil
		},
		end: func() error {
			var errs []error
			for _, link := range links {
				errs = append(errs, link.AcceptConnections())
			}
			return errors.Join(errs...)
		},
	}
}

// lateness draws whether a message is affected by a fault and how late it is.
type lateness = func() (delay time.Duration, affected bool)

// transactionFault returns the function that chooses the fault of each transaction.
func transactionFault(kind FaultKind, late lateness) func(wire.Txn) simulator.TransactionFault {
	return func(wire.Txn) simulator.TransactionFault {
		delay, affected := late()
		switch {
		case !affected:
			return simulator.TransactionFault{}
		case kind == FaultLostReplies:
			return simulator.TransactionFault{ReplyLost: true}
		}
		return simulator.TransactionFault{Delay: delay}
	}
}

// drawLateness returns a function that affects a share of the messages. The simulation calls it
// with its lock held.
func (in *injector) drawLateness(share float64) lateness {
	rng := rand.New(rand.NewPCG(in.rng.Uint64(), 0)) //nolint:gosec // a seeded generator
	return func() (time.Duration, bool) {
		return time.Duration(rng.Float64() * float64(maxLateness)), rng.Float64() < share
	}
}

// onMachines returns the effect of a fault with a duration on a share of the machines. It ends by
// itself.
func (in *injector) onMachines(fault Fault, apply func(machine string, duration time.Duration)) effect {
	begin := func() {
		for _, machine := range in.cluster.simulation.MachineNames() {
			if in.rng.Float64() < fault.Share {
				apply(machine, fault.For)
			}
		}
	}
	return infallible(begin, func() {})
}

// linksToPeers returns the links in both directions between a controller and its peers.
func (c *cluster) linksToPeers(controller int) []*simulator.Link {
	var links []*simulator.Link
	for i, peers := range c.peerLinks {
		for k, link := range peers {
			if link != nil && (i == controller || k == controller) {
				links = append(links, link)
			}
		}
	}
	return links
}

// leader returns the index of the controller that leads, or 0 if none says so.
func (c *cluster) leader(ctx context.Context) int {
	client := &http.Client{Timeout: leaderQueryTimeout}
	answers := make(chan int, len(c.userAddrs))
	for i, addr := range c.userAddrs {
		go func() {
			if leads(ctx, client, addr) {
				answers <- i
			} else {
				answers <- 0
			}
		}()
	}
	leader := 0
	for range c.userAddrs {
		leader = max(leader, <-answers)
	}
	return leader
}

func leads(ctx context.Context, client *http.Client, addr string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+leaderPath, nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var view struct {
		Leading bool `json:"leading"`
	}
	return json.NewDecoder(response.Body).Decode(&view) == nil && view.Leading
}
