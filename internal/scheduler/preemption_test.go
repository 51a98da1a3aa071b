package scheduler

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// Ranks of the priorities between production and idle.
const urgentRank, normalRank = 1, 2

// compareVictims orders each attempt before the next one in the list.
func TestPreemptionOrder(t *testing.T) {
	const now = time.Hour
	late := func(j *job) { j.plan = deadlinePlan{deadlines: []float64{60}, firstFeasible: 1} }
	tight := func(j *job) {
		j.plan = deadlinePlan{deadlines: []float64{60}}
		j.createdAt, j.spec.EstimatedRunS = now, 55
	}
	victim := func(number uint64, rank int, placedAt time.Duration, change func(*job)) *attempt {
		j := &job{rank: rank}
		if change != nil {
			change(j)
		}
		return &attempt{job: j, number: number, placedAt: placedAt}
	}
	ordered := []*attempt{
		victim(1, idleRank, 0, nil),
		victim(2, normalRank, 0, late),
		victim(4, normalRank, 2*time.Second, nil), // placed last
		victim(5, normalRank, time.Second, nil),
		victim(3, normalRank, time.Second, nil),
		victim(6, normalRank, 2*time.Second, tight),
		victim(7, urgentRank, 0, nil),
		victim(8, idleRank, 0, func(j *job) { j.queueStatus.starved = true }),
	}
	search := &preemptionSearch{round: &placementRound{termContext: &termContext{now: Now{Mono: now}}}}
	for i, a := range ordered {
		for k, b := range ordered {
			if got, want := search.compareVictims(a, b), cmp.Compare(i, k); got != want {
				t.Errorf("attempt %d against %d: %d, want %d", a.number, b.number, got, want)
			}
		}
	}
}

// An attempt may be preempted for a job of higher priority and, if its team exceeds its
// guarantee, for a job within the guarantee of another team.
func TestMayPreempt(t *testing.T) {
	guaranteed := jobQueueStatus{withinGuarantee: true}
	for _, tc := range []struct {
		name        string
		job, victim job
		start       startState
		stop        stopRequest
		want        bool
	}{
		{name: "lower priority", job: job{rank: urgentRank}, victim: job{rank: normalRank}, want: true},
		{name: "same priority and team", job: job{rank: normalRank, queueStatus: guaranteed}, victim: job{rank: normalRank}},
		{name: "higher priority", job: job{rank: normalRank}, victim: job{rank: urgentRank}},
		{
			name: "beyond another team's guarantee", want: true,
			job: job{rank: normalRank, queueStatus: guaranteed}, victim: job{rank: urgentRank, spec: wire.Job{Team: "blue", CPUs: 2}},
		},
		{
			name: "within another team's guarantee",
			job:  job{rank: normalRank, queueStatus: guaranteed}, victim: job{rank: urgentRank, spec: wire.Job{Team: "blue", CPUs: 2}, queueStatus: guaranteed},
		},
		{
			name: "needed to fill another team's guarantee",
			job:  job{rank: normalRank, queueStatus: guaranteed}, victim: job{rank: urgentRank, spec: wire.Job{Team: "blue", CPUs: 3}},
		},
		{
			name: "both beyond their guarantees",
			job:  job{rank: normalRank}, victim: job{rank: urgentRank, spec: wire.Job{Team: "blue", CPUs: 2}},
		},
		{
			name: "production",
			job:  job{rank: normalRank, queueStatus: guaranteed}, victim: job{rank: productionRank, spec: wire.Job{Team: "blue", CPUs: 2}},
		},
		{name: "starved job, for urgent work", job: job{rank: urgentRank}, victim: job{rank: idleRank, queueStatus: jobQueueStatus{starved: true}}},
		{name: "starved job, for production", job: job{rank: productionRank}, victim: job{rank: idleRank, queueStatus: jobQueueStatus{starved: true}}, want: true},
		{name: "unacknowledged start", job: job{rank: urgentRank}, victim: job{rank: normalRank}, start: startState{sent: true}},
		{name: "acknowledged start", job: job{rank: urgentRank}, victim: job{rank: normalRank}, start: startState{sent: true, acknowledged: true}, want: true},
		{name: "being stopped", job: job{rank: urgentRank}, victim: job{rank: normalRank}, stop: stopRequest{requested: true}},
	} {
		s := newEmptyScheduler(Now{}, Settings{Teams: map[string]TeamQuota{"blue": {CPUs: 8, MaxCPUs: 16}}}, 1)
		s.cluster.usageOf("blue").CPUs = 10
		a := &attempt{job: &tc.victim, start: tc.start, stop: tc.stop}
		if got := s.cluster.mayPreempt(&tc.job, a); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

// Idle-priority attempts may be preempted at once, other attempts only for production and for jobs
// that have waited within their team's guarantee.
func TestPreemptionScope(t *testing.T) {
	within := jobQueueStatus{withinGuarantee: true}
	const now = time.Hour
	for _, tc := range []struct {
		name            string
		job             job
		idlePreemptable bool
		want            preemptionScope
	}{
		{"production", job{rank: productionRank, createdAt: now}, false, preemptAllowed},
		{"within its guarantee, just submitted", job{rank: normalRank, createdAt: now, queueStatus: within}, true, preemptIdle},
		{"within its guarantee, submitted long ago", job{rank: normalRank, queueStatus: within}, false, preemptAllowed},
		{"beyond its guarantee", job{rank: normalRank}, true, preemptIdle},
		{"beyond its guarantee, without idle attempts", job{rank: normalRank}, false, preemptNothing},
		{"idle", job{rank: idleRank}, true, preemptNothing},
	} {
		context := &termContext{now: Now{Mono: now}, settings: Settings{GuaranteedStartWithin: 10 * time.Second}}
		round := &placementRound{termContext: context, idlePreemptable: tc.idlePreemptable}
		if got := round.preemptionScope(&tc.job); got != tc.want {
			t.Errorf("%s: %d, want %d", tc.name, got, tc.want)
		}
	}
}

// An option has no more victims than one task needs, chosen in the order of compareVictims.
func TestChooseVictimsStopsNoMoreThanNeeded(t *testing.T) {
	m := &machine{name: "n-1", images: []cachedImage{{"img", 1}}, machineSpec: &wire.MachineType{CPUs: 8, MemoryGB: 8}, used: resources{cpus: 8}}
	var victims []*attempt
	for i, rank := range []int{normalRank, idleRank, normalRank, idleRank} {
		victims = append(victims, &attempt{machine: m, number: uint64(i), job: &job{rank: rank, spec: wire.Job{CPUs: 2}}})
	}
	search := &preemptionSearch{round: &placementRound{termContext: &termContext{}}, job: &job{spec: wire.Job{CPUs: 3, Image: "img"}}}
	option, ok := search.chooseVictims(&projectedUsage{m, m.used}, slices.Clone(victims))
	if want := []*attempt{victims[3], victims[1]}; !ok || !slices.Equal(option.victims, want) {
		t.Errorf("%v, %d victims", ok, len(option.victims))
	}
	search.job.spec.CPUs = 9
	if _, ok := search.chooseVictims(&projectedUsage{m, m.used}, slices.Clone(victims)); ok {
		t.Error("an option was found for a task that is larger than the machine")
	}
}
