package core_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/store"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Changes of leadership, outages and cuts that meet cancellations, with generated
// times. No rule is broken, and once the troubles are over everything accepted runs,
// or is gone if it was cancelled. internal/guards takes out what keeps the rules.
func TestLeadershipMeetings(t *testing.T) {
	for _, m := range []struct {
		name string
		meet func(w *world)
	}{
		{"controllers_away", func(w *world) {
			// All controllers are away for about a lease or longer, ended or at a
			// standstill, while machines hang or are cut off beyond that.
			away := w.between(9000, 20_000)
			w.cancelSome() // at the end of the last, which has no time for the stops
			for range 2 {
				name := w.names[w.rng.IntN(len(w.names))]
				w.hung[name] = w.now + w.between(3000, 11_000)
			}
			still := w.rng.IntN(3) == 0
			w.after(w.between(0, 20), func() {
				for _, n := range w.nodes {
					if still {
						n.frozen = w.now + away + w.between(0, 1500)
					} else {
						n.crash(away + w.between(0, 1500))
					}
				}
			})
			w.after(away-w.between(0, 4000), func() {
				for range 2 {
					w.cut[w.names[w.rng.IntN(len(w.names))]] = w.now + w.between(4000, 25_000)
				}
			})
			w.after(away+w.between(100, 4000), w.cancelSome)
		}},
		{"slow_then_refused", func(w *world) {
			// Answers to watches take seconds, and jobs are cancelled right after they
			// were accepted, before the state service refuses the leader alone and then
			// everybody.
			w.slowWatch = w.now + 10*time.Second
			for i := range 30 {
				id := fmt.Sprintf("run-%06d", 500+i)
				w.after(w.between(0, 6000), func() {
					w.submit(w.service(id, 1))
					w.after(w.between(50, 900), func() { w.cancel(id) })
				})
			}
			w.after(w.between(3000, 5000), func() { w.refuseThenOut(w.between(100, 2000)) })
		}},
		{"refused_then_out", func(w *world) {
			// Cancelled at the moment of the refusal, a second later nobody is served;
			// the confirming node may fail, and answers to cancellations may be lost.
			w.refuseThenOut(w.between(900, 1100))
			w.after(w.between(1, 100), w.cancelSome)
		}},
		{"refused_then_out_and_confirmer_fails", func(w *world) {
			apart := w.between(100, 5000)
			w.refuseThenOut(apart)
			fate := w.rng.IntN(8) // half of the time it lives
			for range 6 {
				id := fmt.Sprintf("run-%06d", w.rng.IntN(8))
				w.after(w.between(0, int(apart/time.Millisecond)), func() {
					n := w.cancelLosing(id)
					if n == nil || n.leader != nil {
						return
					}
					w.after(w.between(1, 1500), func() {
						switch fate {
						case 0:
							n.crash(w.between(1, 1000))
						case 1:
							n.crash(100 * time.Second)
						case 2:
							n.frozen = w.now + w.between(1000, 60_000)
						case 3:
							n.cut = w.now + w.between(1000, 90_000)
						}
					})
				})
			}
			if w.rng.IntN(3) == 0 {
				// The outage ends for a moment, and another begins.
				w.after(apart+w.between(5000, 50_000), func() {
					w.state.SetDown(w.now, false)
					w.after(w.between(50, 3000), func() { w.refuseThenOut(w.between(0, 1000)) })
					w.after(w.between(1, 3000), w.cancelOne)
				})
			}
		}},
		{"handover", func(w *world) {
			// Cancelled in the seconds in which the work changes hands: the leader
			// ends, or stands still, or loses its lease.
			for i := range 5 {
				w.after(time.Duration(i)*w.between(3500, 9000), func() {
					n := w.leading()
					if n == nil {
						return
					}
					switch w.rng.IntN(3) {
					case 0:
						n.crash(w.between(1, 5000))
					case 1:
						n.frozen = w.now + w.between(2600, 9000)
					case 2:
						n.refused = w.now + w.between(2600, 5000)
					}
					for range 2 {
						w.after(w.between(0, 3500), w.cancelOne)
					}
				})
			}
		}},
		{"back_and_forth", func(w *world) {
			// Two lead by turns, all end, and one returns, also within a second; what
			// they wrote may be carried out late.
			w.lose, w.hold, w.repeat, w.copies = 0.05, 0.1, 0.2, 0.2
			for i := range 4 {
				w.after(time.Duration(i)*w.between(2700, 5000), func() {
					if n := w.leading(); n != nil {
						n.crash(w.between(1, 3000))
					}
					w.after(w.between(0, 1000), w.cancelOne)
				})
			}
			w.after(22*time.Second, func() {
				first := w.rng.IntN(len(w.nodes))
				for i, n := range w.nodes {
					n.crash(w.between(8000, 20_000))
					if i == first {
						n.dead = w.now + w.between(50, 1500)
						n.born = n.dead
					}
				}
				w.after(w.between(0, 1000), w.cancelOne)
			})
			w.after(60*time.Second, func() { w.lose, w.hold, w.repeat, w.copies = 0, 0, 0, 0 })
		}},
		{"ten_leaders", func(w *world) {
			// Ten leaders in two minutes; an outage falls among them.
			w.lose, w.hold, w.repeat, w.copies = 0.03, 0.05, 0.1, 0.2
			for i := range 10 {
				w.after(time.Duration(i)*11*time.Second+w.between(0, 5000), func() {
					if n := w.leading(); n != nil {
						n.crash(w.between(1, 4000))
					}
					w.after(w.between(0, 3000), w.cancelOne)
					w.cut[w.names[w.rng.IntN(len(w.names))]] = w.now + w.between(1000, 15_000)
				})
			}
			w.after(w.between(10_000, 40_000), func() {
				w.state.SetDown(w.now, true)
				w.after(w.between(5000, 50_000), func() { w.state.SetDown(w.now, false) })
			})
			w.after(118*time.Second, func() { w.lose, w.hold, w.repeat, w.copies = 0, 0, 0, 0 })
		}},
		{"zone_cut", func(w *world) {
			// A zone with workers and controllers is cut off for longer than a lease,
			// with the leader in it or not, while jobs are cancelled on either side.
			zone := []string{"a", "b"}[w.rng.IntN(2)]
			if w.rng.IntN(4) > 0 {
				w.cloudMute = w.now + 60*time.Second // what is given back is not proven gone
			}
			for range 3 {
				w.after(w.between(0, 25_000), w.cancelOne)
			}
			w.after(w.between(0, 2000), func() {
				until := w.now + w.between(13_000, 70_000)
				w.zoneCut[zone] = until
				for _, n := range w.nodes {
					if w.zoneOf(n.name) == zone {
						n.cut = until
					}
				}
			})
			if w.rng.IntN(2) == 0 {
				w.after(w.between(3000, 20_000), func() {
					if n := w.leading(); n != nil && n.stateOK() {
						n.crash(w.between(1, 2000))
					}
				})
			}
		}},
		{"leader_cut", func(w *world) {
			// The leader is cut from the state service and the others, not from workers
			// and users; jobs are cancelled through its successor.
			n := w.leading()
			n.cut = w.now + w.between(15_000, 70_000)
			for range 3 {
				w.after(w.between(0, 3000), w.cancelOne)
			}
			w.after(w.between(3000, 20_000), w.cancelOne)
		}},
		{"given_back_without_an_answer", func(w *world) {
			// Machines hang until they are given back, and go on within their lease;
			// the cloud does not answer, and the leader's lease falls in doubt.
			w.cloudMute = w.now + 75*time.Second
			for _, i := range w.rng.Perm(len(w.names))[:max(1, len(w.names)/4)] {
				w.hung[w.names[i]] = w.now + w.between(8000, 11_000)
			}
			w.after(w.between(8000, 9000), func() {
				w.refuseThenOut(w.between(500, 1500))
				w.after(w.between(1, 400), w.cancelSome)
			})
		}},
	} {
		t.Run(m.name, func(t *testing.T) {
			broken := 0
			for seed := range uint64(leadershipWorlds) {
				w := newWorld(100 + seed)
				for i := range 8 {
					w.after(time.Duration(i)*100*time.Millisecond, func() { w.submit(w.service(fmt.Sprintf("run-%06d", i), 3)) })
				}
				w.submitArrays(120 * time.Second)
				w.after(20*time.Second+w.between(0, 2000), func() { m.meet(w) })
				w.after(150*time.Second, func() {
					w.trouble = false
					w.every(5*time.Second, func() { w.pollAll() })
				})
				w.run(210 * time.Second)
				if fault := w.fault(); fault != "" {
					broken++
					t.Errorf("seed %d: %s", seed, fault)
				}
			}
			if broken > 0 {
				t.Logf("%d of %d worlds", broken, leadershipWorlds)
			}
		})
	}
}

// leadershipWorlds is how many worlds a meeting is tried in.
const leadershipWorlds = 12

// service is a job of replicas for both teams by turns.
func (w *world) service(id string, tasks int) *wire.Job {
	return &wire.Job{ID: id, Class: "c", Team: []string{"red", "blue"}[int(id[len(id)-1])%2], Shape: wire.ShapeService,
		Rank: wire.RankProduction, Tasks: tasks, CPUs: 1, MemoryGB: 2, Image: "img", ImageGB: 1}
}

// submitArrays submits small arrays until the given time.
func (w *world) submitArrays(until time.Duration) {
	i := 1000
	w.every(4*time.Second, func() {
		if w.now > until {
			return
		}
		i++
		w.submit(&wire.Job{ID: fmt.Sprintf("run-%06d", i), Class: "c", Team: []string{"red", "blue"}[i%2], Shape: wire.ShapeArray,
			Rank: wire.RankNormal, Tasks: 1 + w.rng.IntN(4), CPUs: 1, MemoryGB: 2, Image: "img", ImageGB: 1, Spot: true, EstimateS: 8})
	})
}

// leading is the node that leads as far as the state service knows, or any that
// believes so.
func (w *world) leading() *simNode {
	var out *simNode
	for _, n := range w.nodes {
		if n.leader != nil && (out == nil || n.term > out.term) {
			out = n
		}
	}
	return out
}

// refuseThenOut has the state service refuse the leader alone for that long, and then
// everybody for longer than a cancellation has.
func (w *world) refuseThenOut(alone time.Duration) {
	if n := w.leading(); n != nil {
		n.refused = w.now + alone + time.Second
	}
	w.after(alone, func() {
		w.state.SetDown(w.now, true)
		w.after(w.size.cancel+w.between(5000, 25_000), func() { w.state.SetDown(w.now, false) })
	})
}

// cancelOne cancels one of the services.
func (w *world) cancelOne() { w.cancel(fmt.Sprintf("run-%06d", w.rng.IntN(8))) }

// cancelLosing cancels a job at a node, which it returns. In half of the cases only
// the answer of the state service is lost, and the user is told by a repeated request.
func (w *world) cancelLosing(id string) *simNode {
	if w.rng.IntN(2) == 0 {
		if it := w.state.Get(w.now, store.JobKey(id)); it.Stamp != 0 && w.server() != nil {
			rec, err := store.DecodeJob(it)
			must(err)
			rec.Cancelled = true
			w.state.Commit(w.now, wire.Txn{If: []wire.Condition{{Key: it.Key, Stamp: it.Stamp}}, Apply: []wire.Change{{Set: it.Key, Value: rec}}})
			w.after(w.between(200, 2000), func() { w.cancel(id) })
		}
		return nil
	}
	n := w.server()
	if n != nil {
		w.cancelAt(n, id)
	}
	return n
}

func (w *world) pollAll() {
	for _, j := range w.jobs {
		w.poll(j.ID)
	}
}

// fault says which rule is broken, or what is left undone.
func (w *world) fault() string {
	if len(w.rules.Broken) > 0 {
		return strings.Join(w.rules.Broken[:min(3, len(w.rules.Broken))], "\n")
	}
	for _, j := range w.jobs {
		on := w.rules.On(j.ID)
		switch state := w.poll(j.ID); {
		case state == wire.JobCancelled && on == 0, state == wire.JobDone && !j.Service(),
			state == wire.JobPending && j.Service() && on == j.Tasks:
		default:
			return fmt.Sprintf("%s is %s with %d of %d tasks on machines\n%s", j.ID, state, on, j.Tasks, w.explain(j.ID))
		}
	}
	return ""
}
