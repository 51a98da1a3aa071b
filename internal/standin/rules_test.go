package standin

import (
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

var ruleTypes = []wire.MachineType{
	{Name: "small", CPUs: 8, MemoryGB: 32, FetchGBs: 1, Zones: []string{"a", "b"}},
	{Name: "gpu", CPUs: 8, GPUs: 4, MemoryGB: 32, FetchGBs: 1, Zones: []string{"a"}},
}

// scene is a checker with an accepted job of three tasks, and machines.
type scene struct {
	*Rules
	job     *wire.Job
	a, b, g *Worker
}

const ruleCancel = 40 * time.Second

func newScene() *scene {
	s := &scene{Rules: NewRules(map[string]float64{"red": 8}, ruleCancel)}
	s.Types(ruleTypes)
	s.job = &wire.Job{ID: "run-000001", Class: "c", Team: "red", Shape: wire.ShapeArray, Rank: wire.RankNormal, Tasks: 3, CPUs: 2, MemoryGB: 1, Image: "img", ImageGB: 1}
	s.Submit(s.job)
	machine := func(name, zone string, mt wire.MachineType) *Worker {
		return NewWorker(0, time.Hour, name, mt, zone, false, s.Rules, func(string) time.Duration { return time.Second }, func(string) bool { return false })
	}
	s.a, s.b, s.g = machine("n-000001", "a", ruleTypes[0]), machine("n-000002", "b", ruleTypes[0]), machine("n-000003", "a", ruleTypes[1])
	s.Accepted(0, s.job.ID, sent(s.job, nil))
	return s
}

// sent is a submission as its user sends it, with some fields changed.
func sent(j *wire.Job, change map[string]any) map[string]any {
	f := map[string]any{"uid": j.ID, "docket": j.Class, "crew": j.Team, "shape": j.Shape, "rank": j.Rank, "shifts": j.Tasks,
		"cpus": j.CPUs, "gpus": j.GPUs, "memory_gb": j.MemoryGB, "kit": j.Image, "pull_gb": j.ImageGB, "breeds": nil, "pasture": nil,
		"together": false, "scatter": false, "loaners": false, "reckon_s": 0.0, "tally_s": 0.0, "stow_s": 0.0, "due_s": nil}
	maps.Copy(f, change)
	return f
}

func (s *scene) task(i int) string { return wire.TaskName(s.job.ID, i) }

// second submits another job and has it accepted.
func (s *scene) second(change func(j *wire.Job)) *wire.Job {
	j := *s.job
	j.ID = "run-000002"
	change(&j)
	s.Submit(&j)
	s.Accepted(0, j.ID, sent(&j, nil))
	return &j
}

// polls asks about jobs every five seconds; fails says which questions fail.
func (s *scene) poll(from, to time.Duration, fails func(id string) bool, ids ...string) {
	for now := from; now <= to; now += 5 * time.Second {
		for _, id := range ids {
			s.Polled(now, id, !fails(id))
		}
	}
}

func (s *scene) wait(from, to time.Duration, placed bool, free ...Room) {
	for now := from; now <= to; now += 3 * time.Second {
		s.Waiting(now, free, func(string) bool { return placed })
	}
}

// Every check can fail: a run that is broken on purpose is seen, as that and nothing
// else, and its neighbour, which the page allows, is not.
func TestEveryCheckCanFail(t *testing.T) {
	const second = time.Second
	room := Room{Type: "small", Zone: "a", CPUs: 4, MemoryGB: 8}
	other := func(id string) func(string) bool { return func(i string) bool { return i == id } }
	all := func(string) bool { return true }
	for _, c := range []struct {
		rule    string
		name    string
		broken  func(s *scene)
		allowed func(s *scene)
	}{
		{"ran_twice", "a task starts while it is on another machine",
			func(s *scene) { s.Started(0, s.task(0), s.a); s.Started(1, s.task(0), s.b) },
			func(s *scene) {
				s.Started(0, s.task(0), s.a)
				s.Left(s.task(0), s.a.Name)
				s.Started(1, s.task(0), s.b)
			}},
		{"ran_twice", "a machine hangs past its lease and its task starts elsewhere",
			func(s *scene) { s.hang(false) }, func(s *scene) { s.hang(true) }},
		{"quota", "a team uses more than its limit",
			func(s *scene) {
				j := s.second(func(j *wire.Job) { j.CPUs = 3 })
				for i := range 3 {
					s.Started(0, s.task(i), s.a)
				}
				s.Started(1, wire.TaskName(j.ID, 0), s.b)
			},
			func(s *scene) {
				j := s.second(func(j *wire.Job) { j.CPUs = 2 })
				for i := range 3 {
					s.Started(0, s.task(i), s.a)
				}
				s.Started(1, wire.TaskName(j.ID, 0), s.b)
			}},
		{"wrong_place", "another type than the job allows",
			func(s *scene) { s.job.Types = []string{"gpu"}; s.Started(0, s.task(0), s.a) },
			func(s *scene) { s.job.Types = []string{"gpu"}; s.Started(0, s.task(0), s.g) }},
		{"wrong_place", "another zone",
			func(s *scene) { s.job.Zone = "a"; s.Started(0, s.task(0), s.b) },
			func(s *scene) { s.job.Zone = "a"; s.Started(0, s.task(0), s.a) }},
		{"wrong_place", "a spot machine",
			func(s *scene) { s.a.Spot = true; s.Started(0, s.task(0), s.a) },
			func(s *scene) { s.a.Spot, s.job.Spot = true, true; s.Started(0, s.task(0), s.a) }},
		{"wrong_place", "tasks that belong together are apart",
			func(s *scene) { s.job.Together = true; s.Started(0, s.task(0), s.a); s.Started(0, s.task(1), s.b) },
			func(s *scene) { s.job.Together = true; s.Started(0, s.task(0), s.a); s.Started(0, s.task(1), s.g) }},
		{"wrong_place", "more than half of the tasks in a zone",
			func(s *scene) {
				s.job.Scatter = true
				for i := range 3 {
					s.Started(0, s.task(i), s.a)
				}
			},
			func(s *scene) {
				s.job.Scatter = true
				s.Started(0, s.task(0), s.a)
				s.Started(0, s.task(1), s.a)
				s.Started(0, s.task(2), s.b)
			}},
		{"ran_cancelled", "a task is on a machine when the time is over",
			func(s *scene) { s.Started(0, s.task(0), s.a); s.cancel(second); s.Check(second + ruleCancel + 1) },
			func(s *scene) { s.Started(0, s.task(0), s.a); s.cancel(second); s.Check(second + ruleCancel) }},
		{"ran_cancelled", "a task starts when the time is over",
			func(s *scene) { s.cancel(second); s.Started(second+ruleCancel+1, s.task(0), s.a) },
			func(s *scene) { s.cancel(second); s.Started(second+ruleCancel, s.task(0), s.a) }},
		{"ran_cancelled", "a machine hangs for longer than a cancellation has",
			func(s *scene) {
				s.Started(0, s.task(0), s.a)
				s.cancel(second)
				s.a.Stand(2 * second)
				s.a.Stand(second + ruleCancel)
				s.Check(second + ruleCancel + 1)
			},
			func(s *scene) {
				s.Started(0, s.task(0), s.a)
				s.cancel(second)
				s.a.Stand(2 * second)
				s.Left(s.task(0), s.a.Name) // it was given back
				s.Check(second + ruleCancel + 1)
			}},
		{"forgotten", "an accepted job gets 404",
			func(s *scene) { s.Answered(second, 2*second, s.job.ID, "") },
			func(s *scene) { s.Told(second, "run-000009", "") }},
		{"forgotten", "an ended job gets 404",
			func(s *scene) { s.cancel(second); s.Answered(2*second, 2*second, s.job.ID, "") },
			func(s *scene) { s.cancel(second) }},
		{"forgotten", "a repeated submission gets 400",
			func(s *scene) { s.Refused(second, s.job.ID, 400) },
			func(s *scene) { s.Refused(second, "run-000009", 400) }},
		{"forgotten", "a repeated submission gets 422",
			func(s *scene) { s.Refused(second, s.job.ID, 422) },
			func(s *scene) { s.Refused(second, s.job.ID, 503) }},
		{"forgotten", "all polls fail for 90 s while most others are answered",
			func(s *scene) { s.poll(0, 90*second, other(s.job.ID), s.job.ID, "run-000009", "run-000010") },
			func(s *scene) { s.poll(0, 85*second, other(s.job.ID), s.job.ID, "run-000009", "run-000010") }},
		{"forgotten", "all polls fail for 90 s while the only other job is answered, not while it fails too",
			func(s *scene) { s.poll(0, 90*second, other(s.job.ID), s.job.ID, "run-000009") },
			func(s *scene) { s.poll(0, 200*second, all, s.job.ID, "run-000009") }},
		{"forgotten", "no answer for 75 s once the troubles are over",
			func(s *scene) { s.TroublesOver(10 * second); s.poll(10*second, 85*second, all, s.job.ID) },
			func(s *scene) { s.TroublesOver(10 * second); s.poll(10*second, 80*second, all, s.job.ID) }},
		{"invented", "nobody submitted the job",
			func(s *scene) { s.Told(second, "run-000009", wire.JobPending) },
			func(s *scene) { s.Told(second, s.job.ID, wire.JobPending) }},
		{"not_done", "a job is called done before all of its tasks are",
			func(s *scene) { s.done(2) }, func(s *scene) { s.done(3) }},
		{"went_back", "a job that was done is running",
			func(s *scene) { s.done(3); s.Answered(2*second, 2*second, s.job.ID, wire.JobRunning) },
			func(s *scene) { s.done(3); s.Answered(0, 2*second, s.job.ID, wire.JobRunning) }}, // asked before
		{"went_back", "a job that was cancelled is done",
			func(s *scene) { s.cancel(second); s.done(3) },
			func(s *scene) { s.CancelAsked(s.job.ID); s.done(3) }},
		{"went_back", "a cancelled job is pending at another node",
			func(s *scene) { s.cancel(second); s.Answered(second, 2*second, s.job.ID, wire.JobPending) },
			func(s *scene) { s.cancel(second); s.Answered(second-1, 2*second, s.job.ID, wire.JobPending) }},
		{"went_back", "a job is cancelled that its user has not cancelled",
			func(s *scene) { s.Told(second, s.job.ID, wire.JobCancelled) },
			func(s *scene) { s.CancelAsked(s.job.ID); s.Told(second, s.job.ID, wire.JobCancelled) }},
		{"nothing_ran", "no task was started",
			func(s *scene) { s.Finish(second) },
			func(s *scene) { s.Started(0, s.task(0), s.a); s.Finish(second) }},
		{"left_waiting", "a job waits for 90 s beside room that fits",
			func(s *scene) { s.TroublesOver(0); s.wait(0, 90*second, false, room) },
			func(s *scene) { s.TroublesOver(0); s.wait(0, 87*second, false, room) }},
		{"left_waiting", "troubles go on",
			func(s *scene) { s.TroublesOver(0); s.wait(0, 90*second, false, room) },
			func(s *scene) { s.wait(0, 200*second, false, room) }},
		{"left_waiting", "room of a kind, type and size that the job allows",
			func(s *scene) {
				s.TroublesOver(0)
				s.job.Types, s.job.Zone, s.job.Spot = []string{"small"}, "a", true
				s.wait(0, 90*second, false, Room{Type: "small", Zone: "a", Spot: true, CPUs: 2, MemoryGB: 1})
			},
			func(s *scene) {
				s.TroublesOver(0)
				s.job.Types, s.job.Zone = []string{"small"}, "a"
				s.wait(0, 200*second, false, Room{Type: "gpu", Zone: "a", CPUs: 8, MemoryGB: 9}, Room{Type: "small", Zone: "b", CPUs: 8, MemoryGB: 9},
					Room{Type: "small", Zone: "a", Spot: true, CPUs: 8, MemoryGB: 9}, Room{Type: "small", Zone: "a", CPUs: 1, MemoryGB: 9}, Room{Type: "small", Zone: "a", CPUs: 8, MemoryGB: 0.5})
			}},
		{"left_waiting", "the team is under its limit",
			func(s *scene) { s.TroublesOver(0); s.fill(6); s.wait(0, 90*second, false, room) },
			func(s *scene) { s.TroublesOver(0); s.fill(7); s.wait(0, 200*second, false, room) }},
		{"left_waiting", "nothing of it is on a machine",
			func(s *scene) { s.TroublesOver(0); s.wait(0, 90*second, false, room) },
			func(s *scene) { s.TroublesOver(0); s.wait(0, 200*second, true, room) }},
		{"left_waiting", "a gang has room as a whole",
			func(s *scene) {
				s.TroublesOver(0)
				s.job.Shape = wire.ShapeGang
				s.wait(0, 90*second, false, room, room)
			},
			func(s *scene) { s.TroublesOver(0); s.job.Shape = wire.ShapeGang; s.wait(0, 200*second, false, room) }},
		{"accepted", "a field is missing",
			func(s *scene) { s.Accepted(second, s.job.ID, sent(s.job, map[string]any{"loaners": nil})) },
			func(s *scene) { s.Accepted(second, s.job.ID, sent(s.job, map[string]any{"due_s": nil})) }},
		{"accepted", "no machine type fits",
			func(s *scene) { s.second(func(j *wire.Job) { j.GPUs, j.Zone = 1, "b" }) },
			func(s *scene) { s.second(func(j *wire.Job) { j.GPUs, j.Zone = 1, "a" }) }},
		{"accepted", "no type is allowed",
			func(s *scene) { s.second(func(j *wire.Job) { j.Types = []string{} }) },
			func(s *scene) { s.second(func(j *wire.Job) { j.Types = nil }) }},
		{"accepted", "a service above its team's limit",
			func(s *scene) { s.second(func(j *wire.Job) { j.Shape, j.Tasks = wire.ShapeService, 5 }) },
			func(s *scene) { s.second(func(j *wire.Job) { j.Tasks = 5 }) }}, // an array: one task counts
		{"accepted", "an unknown team",
			func(s *scene) { s.second(func(j *wire.Job) { j.Team = "green" }) },
			func(s *scene) { s.second(func(*wire.Job) {}) }},
	} {
		t.Run(c.rule+": "+c.name, func(t *testing.T) {
			s := newScene()
			c.broken(s)
			if len(s.Broken) == 0 {
				t.Error("the broken run went unnoticed")
			}
			for _, b := range s.Broken {
				if !strings.Contains(b, " "+c.rule) {
					t.Errorf("the broken run is seen as %q", b)
				}
			}
			s = newScene()
			c.allowed(s)
			if len(s.Broken) > 0 {
				t.Errorf("what is allowed is seen as %q", s.Broken)
			}
		})
	}
}

// Starts after a confirmed cancellation are counted, and broken is only what comes too
// late: a start that was in flight may still be carried out.
func TestStartsAfterCancellationAreCounted(t *testing.T) {
	s := newScene()
	s.cancel(time.Second)
	s.Started(time.Second, s.task(0), s.a) // at the same moment
	if len(s.LateStarts) > 0 {
		t.Error("counted: ", s.LateStarts)
	}
	s.Started(2*time.Second, s.task(1), s.a)
	if len(s.LateStarts) != 1 || len(s.Broken) > 0 {
		t.Errorf("counted %v, broken %q", s.LateStarts, s.Broken)
	}
}

func (s *scene) cancel(now time.Duration) {
	s.CancelAsked(s.job.ID)
	s.Told(now, s.job.ID, wire.JobCancelled)
}

// done completes some tasks and calls the job done.
func (s *scene) done(tasks int) {
	for i := range tasks {
		s.Complete(s.task(i))
	}
	s.Told(time.Second, s.job.ID, wire.JobDone)
}

// fill has the team use an amount of its limit, which is 8.
func (s *scene) fill(cpus float64) {
	j := s.second(func(j *wire.Job) { j.CPUs, j.Tasks = cpus, 1 })
	s.Started(0, wire.TaskName(j.ID, 0), s.b)
}

// hang lets a machine hang past its lease, and starts its task elsewhere while it hangs
// or after it resumed.
func (s *scene) hang(resumes bool) {
	s.job.Shape = wire.ShapeService
	wk := NewWorker(0, 12*time.Second, "n-000007", ruleTypes[0], "a", false, s.Rules, nil, func(string) bool { return false })
	wk.Commands(0, wire.DirectCommands{Token: 1, Session: 1, Commands: []wire.Command{{Verb: wire.VerbRun, Task: s.task(0), Attempt: 1}}})
	wk.Advance(2 * time.Second)
	wk.Stand(20 * time.Second)
	if resumes {
		wk.Advance(21 * time.Second)
	}
	s.Started(22*time.Second, s.task(0), s.b)
}
