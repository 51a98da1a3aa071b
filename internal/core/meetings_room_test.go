package core_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/core"
	"github.com/yarrowgap/yarrowgap/internal/store"
	"github.com/yarrowgap/yarrowgap/wire"
)

const (
	besideRoom = 90 * time.Second  // no job waits for longer while a machine that fits has room
	unanswered = 75 * time.Second  // a job about which no question is answered for that long is forgotten
	beginBy    = 240 * time.Second // the largest jobs begin within it
)

// takes reports whether the state service takes n more changes now.
func (w *world) takes(n int) bool {
	if w.writes == 0 {
		return true
	}
	w.budget = min(w.writes, w.budget+(w.now-w.budgeted).Seconds()*w.writes)
	w.budgeted = w.now
	if w.budget < float64(n) {
		return false
	}
	w.budget -= float64(n)
	return true
}

// watchWaiting checks from a moment on, once all troubles are over, that no job waits
// beside room and that each is known: those that hold no matter how others fare.
func (w *world) watchWaiting(from time.Duration) {
	since := map[string]map[string]time.Duration{} // by job and machine with room
	answer := map[string]time.Duration{}           // when a question about it was last answered
	type attempt struct {
		task   string
		number uint64
	}
	seen := map[attempt]bool{}
	over := map[string]bool{} // jobs
	w.after(from-w.now, func() {
		w.every(time.Second, func() {
			use, fresh := map[string]float64{}, map[string]bool{}
			taken := map[string]*wire.Job{} // by machine: what its tasks take
			on := map[string]string{}       // zones of tasks that are on a machine
			for _, name := range w.names {
				sum := &wire.Job{}
				w.workers[name].Each(func(task string, number uint64, exited bool) {
					j := w.rules.Spec(task)
					if a := (attempt{task, number}); !seen[a] {
						seen[a], fresh[j.ID] = true, true
					}
					if !exited {
						sum.CPUs, sum.MemoryGB = sum.CPUs+j.CPUs, sum.MemoryGB+j.MemoryGB
						use[j.Team] += j.CPUs
						on[task] = w.workers[name].Zone
					}
				})
				taken[name] = sum
			}
			for _, j := range w.jobs {
				if over[j.ID] {
					continue
				}
				state := w.poll(j.ID)
				over[j.ID] = state == wire.JobDone || state == wire.JobCancelled
				if state != "" {
					answer[j.ID] = w.now
				} else if w.now-max(from, answer[j.ID]) > unanswered {
					w.rules.Broken = append(w.rules.Broken, fmt.Sprintf("%v forgotten: %s", w.now, j.ID))
				}
				task, zones := "", map[string]int{}
				for i := range j.Tasks {
					name := wire.TaskName(j.ID, i)
					if z, there := on[name]; there {
						zones[z]++
					} else if !w.rules.Completed(name) && task == "" {
						task = name
					}
				}
				// The same machine all the time: under load some has room at any moment,
				// between the end of a task and the next one's start.
				var beside []string
				if state == wire.JobPending && task != "" && !fresh[j.ID] && use[j.Team]+j.CPUs <= w.rules.Limit(j.Team) {
					beside = w.fitting(j, zones, taken)
				}
				waits := map[string]time.Duration{}
				for _, name := range beside {
					waits[name] = w.now
					if at, ok := since[j.ID][name]; ok {
						waits[name] = at
					}
					if w.now-waits[name] > besideRoom {
						w.rules.LeftWaiting(w.now, task, name, waits[name])
						waits[name] = w.now
					}
				}
				since[j.ID] = waits
			}
		})
	})
}

// fitting lists machines that could take one more task of the job, which has tasks in
// the zones already.
func (w *world) fitting(j *wire.Job, zones map[string]int, taken map[string]*wire.Job) (out []string) {
	for _, name := range w.names {
		wk := w.workers[name]
		if wk.Gone || wk.Spot && !j.Spot || j.Zone != "" && j.Zone != wk.Zone || zones[wk.Zone] >= j.ZoneCap() {
			continue
		}
		if j.Together && len(zones) > 0 && zones[wk.Zone] == 0 {
			continue
		}
		if j.Gang() && len(zones) == 0 {
			continue // room for one task is not enough
		}
		if taken[name].CPUs+j.CPUs <= wk.MT.CPUs && taken[name].MemoryGB+j.MemoryGB <= wk.MT.MemoryGB {
			out = append(out, name)
		}
	}
	return out
}

// ended reports what became of a job for good; empty: it lives.
func (w *world) ended(id string) string {
	it := w.state.Get(w.now, store.EndedKey(id))
	if it.Stamp == 0 {
		return ""
	}
	var rec store.EndedRecord
	must(wire.Unmarshal(it.Value, &rec))
	return rec.State
}

func (w *world) broken(t *testing.T, seed uint64) {
	t.Helper()
	if n := len(w.rules.Broken); n > 0 {
		t.Fatalf("seed %d: %d broken:\n%s", seed, n, strings.Join(w.rules.Broken[:min(4, n)], "\n"))
	}
}

// The outage in which one-task jobs go on coming and ending.
const outageFrom, outageTo = 60 * time.Second, 85 * time.Second

// outUntil is when the outage ends that a moment falls into, or is shortly before.
func outUntil(at time.Duration) time.Duration {
	if at > outageFrom-5*time.Second && at < outageTo+5*time.Second {
		return outageTo
	}
	return 0
}

// One-task jobs come four a second for two minutes, a quarter of them cancelled, at a
// state service that takes twenty changes a second, and none for a while: the leader
// keeps its share of them, jobs are accepted, start, and end.
func TestManySmallJobs(t *testing.T) {
	for seed := range uint64(3) {
		size := smallWorld
		size.limit, size.writes, size.most = 200, 20, 12
		w := newWorldOf(seed, size)
		w.trouble, w.writes, w.budget = false, 20, 20
		begun, over := map[string]time.Duration{}, map[string]time.Duration{}
		came := map[string]time.Duration{}
		w.changes, w.acceptedAt = make([]int, 201), map[string]time.Duration{}
		cancelled := map[string]bool{}
		n := 0
		w.every(250*time.Millisecond, func() {
			if w.now < 10*time.Second || w.now > 130*time.Second {
				return
			}
			n++
			j := &wire.Job{ID: fmt.Sprintf("run-%06d", n), Class: "c", Team: []string{"red", "blue"}[n%2], Shape: wire.ShapeArray,
				Rank: wire.RankNormal, Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 0.1, EstimateS: 8}
			came[j.ID] = w.now
			if w.rng.IntN(4) == 0 {
				cancelled[j.ID] = true
				w.after(w.between(100, 12_000), func() { w.cancel(j.ID) })
			}
			w.submit(j)
		})
		w.every(500*time.Millisecond, func() {
			for _, name := range w.names {
				w.workers[name].Each(func(task string, _ uint64, _ bool) {
					id, _, _ := wire.SplitTask(task)
					if begun[id] == 0 {
						begun[id] = w.now
					}
				})
			}
			for _, j := range w.jobs {
				if over[j.ID] == 0 && w.ended(j.ID) != "" {
					over[j.ID] = w.now
				}
			}
		})
		// Jobs that ended in an outage are all written after it, and starts with them.
		w.after(outageFrom, func() { w.state.SetDown(w.now, true) })
		w.after(outageTo, func() { w.state.SetDown(w.now, false) })
		w.watchWaiting(100 * time.Second)
		w.run(200 * time.Second)
		w.broken(t, seed)
		late, slowest := 0, time.Duration(0)
		for id := range came {
			// No start can be written in the outage.
			if wait := begun[id] - max(w.acceptedAt[id], outUntil(w.acceptedAt[id])); !cancelled[id] {
				slowest = max(slowest, wait)
				if wait > 10*time.Second {
					late++
				}
			}
			if over[id] == 0 {
				t.Fatalf("seed %d: %s, which came at %v, has not ended; it began at %v", seed, id, came[id], begun[id])
			}
		}
		if late > n/100 {
			t.Errorf("seed %d: %d of %d jobs began later than 10 s after they could, the last %v", seed, late, n, slowest)
		}
		for at := range 190 {
			sum := 0
			for _, k := range w.changes[at : at+10] {
				sum += k
			}
			if sum > 10*16+16 { // its share of the rate, and of one second's burst
				t.Fatalf("seed %d: the leader makes %d changes in the 10 s from %d s on", seed, sum, at)
			}
		}
		for _, j := range w.jobs {
			wait := w.acceptedAt[j.ID] - came[j.ID]
			if out := outUntil(came[j.ID]) > 0; wait > 10*time.Second && !out || wait > 60*time.Second {
				t.Errorf("seed %d: %s was accepted after %v", seed, j.ID, wait)
			}
		}
		t.Logf("seed %d: %d jobs, %d late, the last after %v, the leader was refused %d times", seed, n, late, slowest, w.refused)
	}
}

// There is more work than room, urgent and not, over slow links: the largest jobs begin
// within four minutes, and of each class, team and of the largest at least half is served.
func TestMoreWorkThanRoom(t *testing.T) {
	for seed := range uint64(3) {
		size := smallWorld
		size.limit, size.most = 60, 2
		w := newWorldOf(seed, size)
		w.trouble, w.slowLinks = false, 400*time.Millisecond
		served, all := map[string]int{}, map[string]int{}
		of := map[string][]string{}
		begun, came := map[string]time.Duration{}, map[string]time.Duration{}
		n := 0
		w.every(2*time.Second, func() {
			if w.now < 5*time.Second || w.now > 300*time.Second {
				return
			}
			n++
			due := float64(30 + w.rng.IntN(60))
			j := &wire.Job{ID: fmt.Sprintf("run-%06d", n), Class: []string{"train", "sweep"}[n%2], Team: []string{"red", "blue"}[n/2%2], Shape: wire.ShapeArray,
				Rank: []string{wire.RankUrgent, wire.RankUrgent, wire.RankNormal}[n%3], Tasks: 1 + w.rng.IntN(9), CPUs: float64(1 + w.rng.IntN(3)), MemoryGB: 1,
				Image: fmt.Sprintf("img-%d", n%3), ImageGB: 1, EstimateS: 8, DueS: &due}
			groups := []string{j.Class, j.Team}
			if n%12 == 4 {
				j.Tasks, j.Rank = 30, wire.RankNormal
				groups = append(groups, "largest")
			}
			of[j.ID], came[j.ID] = groups, w.now
			w.submit(j)
		})
		w.every(500*time.Millisecond, func() {
			for _, name := range w.names {
				w.workers[name].Each(func(task string, _ uint64, _ bool) {
					if id, _, _ := wire.SplitTask(task); begun[id] == 0 {
						begun[id] = w.now
					}
				})
			}
		})
		w.watchWaiting(20 * time.Second)
		w.run(640 * time.Second)
		w.broken(t, seed)
		for id, groups := range of {
			for _, g := range groups {
				all[g]++
				if w.ended(id) != "" {
					served[g]++
				}
				if g == "largest" && (begun[id] == 0 || begun[id]-came[id] > beginBy) {
					t.Errorf("seed %d: %s, one of the largest, came at %v and began at %v", seed, id, came[id], begun[id])
				}
			}
		}
		for g := range all {
			if 2*served[g] < all[g] {
				t.Errorf("seed %d: %d of %d of %s are served", seed, served[g], all[g], g)
			}
		}
		t.Logf("seed %d: served %v of %v", seed, served, all)
	}
}

// Teams are at their limits when the leader changes, while some machines cannot be
// asked, or hang, and jobs are cancelled: what may still be there counts.
func TestLimitsAcrossLeaders(t *testing.T) {
	for seed := range uint64(6) {
		w := newWorld(seed)
		w.lose, w.hold = 0.02, 0.02
		n := 0
		w.every(700*time.Millisecond, func() {
			if w.now > 100*time.Second {
				return
			}
			n++
			j := &wire.Job{ID: fmt.Sprintf("run-%06d", n), Class: "c", Team: []string{"red", "blue"}[w.rng.IntN(2)], Shape: wire.ShapeArray,
				Rank: wire.RankNormal, Tasks: 2 + w.rng.IntN(6), CPUs: float64(2 + w.rng.IntN(3)), MemoryGB: 1, Image: "img", ImageGB: 0.5, EstimateS: 8, Spot: true}
			if n%4 == 0 {
				j.Shape, j.Rank, j.Tasks, j.EstimateS = wire.ShapeService, wire.RankProduction, 1+w.rng.IntN(2), 0
				w.after(w.between(20_000, 40_000), func() { w.cancel(j.ID) })
			}
			w.submit(j)
		})
		for i := range 5 {
			w.after(time.Duration(15+18*i)*time.Second+w.between(0, 3000), func() {
				long := w.between(4000, 20_000)
				for _, name := range w.names {
					switch w.rng.IntN(4) {
					case 0:
						w.hung[name] = w.now + long
					case 1:
						w.cut[name] = w.now + long
					}
				}
				w.after(w.between(0, 4000), func() {
					for _, node := range w.nodes {
						if node.leader != nil {
							node.crash(w.between(500, 6000))
						}
					}
				})
				for range 4 {
					w.after(w.between(0, 6000), func() { w.cancel(w.jobs[len(w.jobs)-1-w.rng.IntN(min(len(w.jobs), 12))].ID) })
				}
			})
		}
		w.after(125*time.Second, func() { w.trouble = false })
		w.watchWaiting(160 * time.Second)
		w.run(330 * time.Second)
		w.broken(t, seed)
	}
}

// Jobs that are bound to a zone lose machines, some in every zone and once all of one
// zone, and leaders change: they start again where they may, and only there.
func TestZonesLoseMachines(t *testing.T) {
	for seed := range uint64(6) {
		w := newWorld(seed)
		w.lose, w.hold = 0.02, 0.02
		w.settings.Teams = map[string]core.Team{"red": {CPUs: 12, CPUsMax: 24}, "blue": {CPUs: 12, CPUsMax: 24}}
		n := 0
		w.every(1500*time.Millisecond, func() {
			if w.now > 110*time.Second {
				return
			}
			n++
			j := &wire.Job{ID: fmt.Sprintf("run-%06d", n), Class: "c", Team: []string{"red", "blue"}[w.rng.IntN(2)], Shape: wire.ShapeArray,
				Rank: wire.RankNormal, Tasks: 2 + w.rng.IntN(5), CPUs: float64(1 + w.rng.IntN(2)), MemoryGB: 1, Image: "img", ImageGB: 0.5, EstimateS: 8, Spot: w.rng.IntN(2) == 0}
			switch n % 3 {
			case 0:
				j.Together = true
			case 1:
				j.Scatter = true
			default:
				j.Zone = []string{"a", "b"}[w.rng.IntN(2)]
			}
			if w.rng.IntN(6) == 0 {
				j.Shape, j.Tasks, j.EstimateS = wire.ShapeService, 1+w.rng.IntN(4), 0
				w.after(w.between(60_000, 100_000), func() { w.cancel(j.ID) })
			}
			w.submit(j)
		})
		for i := range 6 {
			w.after(time.Duration(10+15*i)*time.Second+w.between(0, 3000), func() {
				zone := []string{"a", "b", ""}[w.rng.IntN(3)]
				for _, name := range w.names {
					if wk := w.workers[name]; wk.Zone == zone || w.rng.IntN(4) == 0 {
						switch w.rng.IntN(3) {
						case 0:
							wk.Kill() // taken without notice
						case 1:
							w.cut[name] = w.now + w.between(4000, 15_000)
						}
					}
				}
				if w.rng.IntN(2) == 0 {
					w.after(w.between(0, 4000), func() {
						for _, node := range w.nodes {
							if node.leader != nil {
								node.crash(w.between(500, 4000))
							}
						}
					})
				}
			})
		}
		w.after(130*time.Second, func() { w.trouble = false })
		w.watchWaiting(170 * time.Second)
		w.run(400 * time.Second)
		w.broken(t, seed)
		for _, j := range w.jobs {
			if w.poll(j.ID) == wire.JobPending && !j.Service() {
				t.Fatalf("seed %d: %s of %d tasks is not done\n%s", seed, j.ID, j.Tasks, w.explain(j.ID))
			}
		}
	}
}

// The checks of the added rules have to be able to fail: where leaders place nothing a
// job waits beside room, and with no node left no question about it is answered.
func TestWaitingIsSeen(t *testing.T) {
	for _, m := range []struct {
		name, want string
		spoil      func(w *world)
	}{
		{"leaders that take the team's limit for none", "left_waiting", func(w *world) {
			for _, n := range w.nodes {
				n.crash(time.Second)
			}
			w.settings.Teams = map[string]core.Team{}
		}},
		{"no node", "forgotten", func(w *world) {
			for _, n := range w.nodes {
				n.crash(time.Hour)
			}
		}},
	} {
		t.Run(m.name, func(t *testing.T) {
			w := newWorld(1)
			w.trouble = false
			w.after(20*time.Second, func() {
				m.spoil(w)
				w.jobs = append(w.jobs, &wire.Job{ID: "run-000001", Team: "red", Shape: wire.ShapeArray, Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img"})
				w.rules.Submit(w.jobs[0])
				_, _ = w.state.Commit(w.now, wire.Txn{Apply: []wire.Change{{Set: store.JobKey("run-000001"), Value: store.JobRecord{Job: *w.jobs[0]}}}})
			})
			w.watchWaiting(21 * time.Second)
			w.run(100 * time.Second)
			if len(w.rules.Broken) > 0 && m.want == "left_waiting" {
				t.Fatalf("too early: %v", w.rules.Broken)
			}
			w.run(140 * time.Second)
			if b := strings.Join(w.rules.Broken, "\n"); !strings.Contains(b, m.want) {
				t.Errorf("%s is not seen: %q", m.want, b)
			}
		})
	}
}
