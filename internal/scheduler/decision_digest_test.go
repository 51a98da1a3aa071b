package scheduler_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"hash"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/yarrowgap/yarrowgap/internal/policy"
	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/wire"
)

// printDigest makes TestDecisionDigest run all digest simulations and print their digests:
//
//	go test ./internal/scheduler -run TestDecisionDigest -decision-digest -v
//
// A change that is not meant to change behaviour must not change the total.
var printDigest = flag.Bool("decision-digest", false, "run all digest simulations and print a digest of all decisions")

const (
	digestSimulations      = 60 // simulations with the flag
	quickDigestSimulations = 4  // simulations without the flag; each runs twice
)

// decisionDigest hashes the decisions of leaders: direct calls, transactions, provisioning
// requests, releases, replies to heartbeats, and resignations. Log lines, texts of reasons and
// Go names do not affect the hash.
type decisionDigest struct {
	hash     hash.Hash
	encoding cbor.EncMode
	count    int // decisions
}

func newDecisionDigest() *decisionDigest {
	encoding, err := cbor.CanonicalEncOptions().EncMode()
	must(err)
	return &decisionDigest{hash: sha256.New(), encoding: encoding}
}

// add hashes one decision, encoded canonically.
func (d *decisionDigest) add(decision ...any) {
	d.hash.Write(d.encode(decision))
	d.count++
}

func (d *decisionDigest) encode(v any) []byte {
	encoded, err := d.encoding.Marshal(v)
	must(err)
	return encoded
}

// encodeSorted encodes the comparisons or changes of a transaction and sorts the encodings.
// Their order does not matter, as each concerns another key, and the leader lists some of them
// in the random order of a map.
func encodeSorted[T any](d *decisionDigest, elements []T) [][]byte {
	var encoded [][]byte
	for _, element := range elements {
		encoded = append(encoded, d.encode(element))
	}
	slices.SortFunc(encoded, bytes.Compare)
	return encoded
}

// addEffects hashes what a leader decided after one input, in the order of its decisions.
func (d *decisionDigest) addEffects(now time.Duration, controller string, e scheduler.Effects) {
	for _, call := range e.DirectCalls {
		d.add(now, controller, "direct", call.ID, call.Machine, call.Addr, call.Body)
	}
	for _, commit := range e.Commits {
		d.add(now, controller, "commit", commit.ID, encodeSorted(d, commit.Txn.If), encodeSorted(d, commit.Txn.Then))
	}
	for _, request := range e.Provision {
		d.add(now, controller, "rent", request.Request)
	}
	for _, names := range e.Release {
		d.add(now, controller, "release", names)
	}
	if e.Resign != "" {
		d.add(now, controller, "resign")
	}
}

// addReply hashes a leader's answer to a worker.
func (d *decisionDigest) addReply(now time.Duration, controller, machine string, reply wire.HeartbeatReply, ok bool) {
	d.add(now, controller, "reply", machine, reply, ok)
}

func (d *decisionDigest) String() string { return hex.EncodeToString(d.hash.Sum(nil)) }

// digestSimulation prepares a simulation and returns it with its end time. The number of the
// simulation determines its settings, users and faults, so that all settings are combined with
// all kinds of faults.
func digestSimulation(number int) (*simulation, time.Duration) {
	sim := newSimulation(uint64(1000 + number))
	sim.decisions = newDecisionDigest()
	pick := func(step int, values ...float64) float64 { return values[number/step%len(values)] }
	sim.lossRate = pick(1, 0, 0.02, 0.1)
	sim.delayRate = pick(2, 0, 0.1, 0.02)
	sim.duplicateRate = pick(3, 0.05, 0, 0.3)
	sim.heartbeatCopyRate = pick(4, 0, 0.02, 0.2)
	sim.settings.MinimizeCost = number%4 == 1
	sim.settings.Policy = policy.Defaults(policy.CostSensitivity(sim.settings.MinimizeCost))
	sim.settings.Policy.ReconcileRestarts = number%2 == 0
	sim.settings.Policy.UseSpot = number%7 != 3
	sim.settings.Policy.Preempt = number%9 != 4
	sim.settings.Policy.MaxMachines = int(pick(5, 0, 0, 9))
	sim.settings.Policy.HeadroomShare += pick(3, 0, 0.3)
	sim.settings.CloudRate = pick(2, 0, 5)
	sim.settings.CPUShare = pick(6, 0, 0.25)
	sim.settings.GuaranteedStartWithin = time.Duration(pick(8, 0, 2)) * time.Second
	sim.maxWriteDelayMS = int(pick(10, 0, 400))
	sim.maxCallDelayMS = int(pick(12, 0, 300))
	if number%3 == 2 {
		return sim, scheduleDigestRestarts(sim, number)
	}
	sim.runUsers(120 * time.Second)
	sim.injectFaults(130 * time.Second)
	return sim, 260 * time.Second
}

// scheduleDigestRestarts schedules a crash and restart of all controllers while services and
// arrays run, with one of four further faults. It returns the end time of the simulation.
func scheduleDigestRestarts(sim *simulation, number int) (end time.Duration) {
	for index := range 6 {
		sim.after(time.Duration(index)*200*time.Millisecond, func() { sim.submit(sim.serviceJob(fmt.Sprintf("run-%06d", index), 2)) })
	}
	sim.submitArrays(70 * time.Second)
	sim.every(time.Second, sim.pollAll)
	sim.after(20*time.Second+sim.randomDuration(0, 3000), func() {
		downFor := sim.randomDuration(200, 9000)
		for _, c := range sim.controllers {
			c.crash(downFor + sim.randomDuration(0, 1+int(downFor/time.Millisecond)/4))
		}
		switch number / 3 % 4 {
		case 0:
			sim.crashLeaderAfter(downFor + sim.randomDuration(50, 7000))
		case 1:
			sim.isolateMachines(downFor + sim.randomDuration(6000, 60_000))
		case 2:
			sim.cloudDown = true
			sim.after(downFor+50*time.Second, func() { sim.cloudDown = false })
		case 3:
			for index, name := range sim.machineNames {
				if index%2 == 0 {
					sim.workers[name].Terminate()
				}
			}
		}
	})
	sim.after(100*time.Second, func() { sim.faultsActive = false })
	return 170 * time.Second
}

// runDigestSimulation runs a simulation to its end.
func runDigestSimulation(number int) *decisionDigest {
	sim, end := digestSimulation(number)
	sim.run(end)
	for _, j := range sim.jobs {
		sim.decisions.add("job", j.ID, sim.pollJob(j.ID))
	}
	return sim.decisions
}

// Decisions depend on the inputs alone, so two runs of a simulation have the same digest. With
// -decision-digest the test prints the digests of many simulations, for a comparison with
// another version of the scheduler.
func TestDecisionDigest(t *testing.T) {
	if !*printDigest {
		for i := range quickDigestSimulations {
			first, second := runDigestSimulation(i), runDigestSimulation(i)
			if first.count == 0 || first.String() != second.String() {
				t.Errorf("simulation %d: %d decisions with digest %s, then %d with %s", i, first.count, first, second.count, second)
			}
		}
		return
	}
	var digests [digestSimulations]*decisionDigest
	t.Run("simulations", func(t *testing.T) {
		for i := range digests {
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				digests[i] = runDigestSimulation(i)
			})
		}
	})
	total := sha256.New()
	for i, d := range digests {
		fmt.Printf("simulation %2d: %7d decisions %s\n", i, d.count, d)
		fmt.Fprintln(total, d)
	}
	fmt.Printf("decision digest: %x\n", total.Sum(nil))
}
