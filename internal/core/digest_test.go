package core_test

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

	"github.com/yarrowgap/yarrowgap/internal/core"
	"github.com/yarrowgap/yarrowgap/internal/policy"
	"github.com/yarrowgap/yarrowgap/wire"
)

// printDigest has TestDecisionDigest play all digest worlds and print what it found:
//
//	go test ./internal/core -run TestDecisionDigest -decision-digest -v
//
// A change that is to leave behaviour alone leaves the total as it is.
var printDigest = flag.Bool("decision-digest", false, "play all digest worlds and print a digest of all decisions")

const (
	digestWorlds      = 60 // that are played with the flag
	quickDigestWorlds = 4  // that are played twice without it
)

// decisionDigest hashes what leaders decide: direct calls, transactions, rentals, releases,
// answers to reports, and when leadership is given up. Log lines, texts of reasons and Go
// names have no part in it.
type decisionDigest struct {
	hash     hash.Hash
	encoding cbor.EncMode
	count    int
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

// encodeSorted encodes the parts of a transaction in an order of their own: each concerns
// another key, and the leader lists some of them in the order of a map.
func encodeSorted[T any](d *decisionDigest, parts []T) [][]byte {
	var out [][]byte
	for _, part := range parts {
		out = append(out, d.encode(part))
	}
	slices.SortFunc(out, bytes.Compare)
	return out
}

// addEffects hashes what a leader decided after one input, in the order of its decisions.
func (d *decisionDigest) addEffects(now time.Duration, node string, e core.Effects) {
	for _, call := range e.Direct {
		d.add(now, node, "direct", call.ID, call.Machine, call.Addr, call.Body)
	}
	for _, commit := range e.Commits {
		d.add(now, node, "commit", commit.ID, encodeSorted(d, commit.Txn.If), encodeSorted(d, commit.Txn.Apply))
	}
	for _, rental := range e.Rent {
		d.add(now, node, "rent", rental.Request)
	}
	for _, names := range e.Release {
		d.add(now, node, "release", names)
	}
	if e.Resign != "" {
		d.add(now, node, "resign")
	}
}

// addReply hashes a leader's answer to a worker.
func (d *decisionDigest) addReply(now time.Duration, node, machine string, reply wire.CheckinReply, ok bool) {
	d.add(now, node, "reply", machine, reply, ok)
}

func (d *decisionDigest) String() string { return hex.EncodeToString(d.hash.Sum(nil)) }

// digestWorld prepares world number i: its settings, users and troubles follow from the
// number, so that all settings meet all kinds of trouble. It returns the world's end.
func digestWorld(i int) (*world, time.Duration) {
	w := newWorld(uint64(1000 + i))
	w.decisions = newDecisionDigest()
	pick := func(step int, values ...float64) float64 { return values[i/step%len(values)] }
	w.lose = pick(1, 0, 0.02, 0.1)
	w.hold = pick(2, 0, 0.1, 0.02)
	w.repeat = pick(3, 0.05, 0, 0.3)
	w.copies = pick(4, 0, 0.02, 0.2)
	w.settings.Thrifty = i%4 == 1
	w.settings.Policy = policy.Defaults(w.settings.Thrifty)
	w.settings.Policy.Recovery = i%2 == 0
	w.settings.Policy.UseSpot = i%7 != 3
	w.settings.Policy.Preempt = i%9 != 4
	w.settings.Policy.MaxMachines = int(pick(5, 0, 0, 9))
	w.settings.Policy.SpareShare += pick(3, 0, 0.3)
	w.settings.CloudRate = pick(2, 0, 5)
	w.settings.CPUShare = pick(6, 0, 0.25)
	w.settings.GuaranteeWithin = time.Duration(pick(8, 0, 2)) * time.Second
	w.writeLag = int(pick(10, 0, 400))
	w.callLag = int(pick(12, 0, 300))
	if i%3 == 2 {
		return w, digestRestarts(w, i)
	}
	w.users(120 * time.Second)
	w.troubles(130 * time.Second)
	return w, 260 * time.Second
}

// digestRestarts has all controllers end and come back while services and arrays run.
func digestRestarts(w *world, i int) (end time.Duration) {
	for k := range 6 {
		w.after(time.Duration(k)*200*time.Millisecond, func() { w.submit(w.service(fmt.Sprintf("run-%06d", k), 2)) })
	}
	w.submitArrays(70 * time.Second)
	w.every(time.Second, w.pollAll)
	w.after(20*time.Second+w.between(0, 3000), func() {
		away := w.between(200, 9000)
		for _, n := range w.nodes {
			n.crash(away + w.between(0, 1+int(away/time.Millisecond)/4))
		}
		switch i / 3 % 4 {
		case 0:
			w.killLeaderAfter(away + w.between(50, 7000))
		case 1:
			w.muteSome(away + w.between(6000, 60_000))
		case 2:
			w.cloudDown = true
			w.after(away+50*time.Second, func() { w.cloudDown = false })
		case 3:
			for k, name := range w.names {
				if k%2 == 0 {
					w.workers[name].Kill()
				}
			}
		}
	})
	w.after(100*time.Second, func() { w.trouble = false })
	return 170 * time.Second
}

// playDigestWorld plays world number i to its end.
func playDigestWorld(i int) *decisionDigest {
	w, end := digestWorld(i)
	w.run(end)
	for _, j := range w.jobs {
		w.decisions.add("job", j.ID, w.poll(j.ID))
	}
	return w.decisions
}

// Decisions follow from the inputs alone: a world that is played twice is decided the same
// way. With -decision-digest it prints the digests of many worlds, to be compared with
// those of another version.
func TestDecisionDigest(t *testing.T) {
	if !*printDigest {
		for i := range quickDigestWorlds {
			first, second := playDigestWorld(i), playDigestWorld(i)
			if first.count == 0 || first.String() != second.String() {
				t.Errorf("world %d: %d decisions with digest %s, then %d with %s", i, first.count, first, second.count, second)
			}
		}
		return
	}
	var digests [digestWorlds]*decisionDigest
	t.Run("worlds", func(t *testing.T) {
		for i := range digests {
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				digests[i] = playDigestWorld(i)
			})
		}
	})
	total := sha256.New()
	for i, d := range digests {
		fmt.Printf("world %2d: %7d decisions %s\n", i, d.count, d)
		fmt.Fprintln(total, d)
	}
	fmt.Printf("decision digest: %x\n", total.Sum(nil))
}
