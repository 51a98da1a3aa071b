package scheduler

import (
	"math"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Each condition contributes its own cost, in addition to the cost of free CPUs.
func TestPlacementCost(t *testing.T) {
	const now = time.Hour
	withImage := machine{images: []cachedImage{{"img", 2}}}
	fetching := func(images ...string) machine {
		sizes := map[string]float64{}
		for _, image := range images {
			sizes[image] = 1
		}
		return machine{taskSummary: &taskSummary{fetching: sizes}}
	}
	withServices := machine{images: withImage.images, taskSummary: &taskSummary{services: 3}}
	spot := machine{images: withImage.images, spot: true}
	array := job{spec: wire.Job{CPUs: 2, Image: "img", ImageGB: 2, EstimatedRunS: 10}}
	failed := array
	failed.retry.failedMachines = map[string]bool{"n-1": true}
	service := array
	service.service = true
	for _, tc := range []struct {
		name         string
		job          job
		minimizeCost bool
		machine      machine
		spread       taskSpread
		want         float64
	}{
		{name: "image on the machine", job: array, machine: withImage, want: 0},
		{name: "image to fetch at 0.5 GB/s", job: array, want: 4},
		{name: "image to fetch while another is being fetched", job: array, machine: fetching("other"), want: 8},
		{name: "image that is being fetched", job: array, machine: fetching("img", "other"), want: 2},
		{name: "image of a service that is being fetched", job: service, machine: fetching("img", "other"), want: 8},
		{name: "quarantined machine", job: array, machine: machine{images: withImage.images, quarantine: quarantineState{until: now + 1}}, want: quarantineCost},
		{name: "machine on which a task of the job failed", job: failed, machine: withImage, want: failedMachineCost},
		{name: "replicas in the zone", job: service, machine: withImage, spread: taskSpread{byZone: map[string]int{"a": 2}}, want: 2 * replicaZoneCost},
		{name: "other services on the machine", job: service, machine: withServices, want: 3 * serviceTaskCost},
		{name: "other services on the machine when minimizing cost", job: service, minimizeCost: true, machine: withServices, want: 0},
		{name: "machine without services when minimizing cost", job: service, minimizeCost: true, machine: withImage, want: firstServiceCost},
		{name: "service on a spot machine", job: service, machine: spot, want: serviceSpotCost},
		{name: "array on a spot machine", job: array, machine: spot, want: 10 * tuning.ExpectedSpotLoss},
		{name: "array on a spot machine when minimizing cost", job: array, minimizeCost: true, machine: spot, want: -spotDiscount},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := tc.machine
			m.name, m.zone, m.machineSpec = "n-1", "a", &wire.MachineType{CPUs: 8, FetchGBPerS: 0.5}
			costs := costModel{now: now, minimizeCost: tc.minimizeCost}
			free := costs.freeCapacityCost(&tc.job, &m)
			if got := costs.cost(&tc.job, &m, tc.spread) - free; math.Abs(got-tc.want) > epsilon {
				t.Errorf("cost %v, want %v", got, tc.want)
			}
		})
	}
}

// Another replica on the same machine costs replicaCost more than one on another machine in the
// same zone.
func TestReplicasAreSpreadOverMachines(t *testing.T) {
	j := &job{service: true, spec: wire.Job{CPUs: 1}}
	spec := &wire.MachineType{CPUs: 8}
	occupied, free := &machine{name: "n-1", zone: "a", machineSpec: spec}, &machine{name: "n-2", zone: "a", machineSpec: spec}
	spread := taskSpread{byZone: map[string]int{}, byMachine: map[*machine]int{}}
	spread.add(occupied)
	costs := costModel{}
	if difference := costs.cost(j, occupied, spread) - costs.cost(j, free, spread); math.Abs(difference-replicaCost) > epsilon {
		t.Errorf("a second replica on the machine costs %v more, want %v", difference, replicaCost)
	}
}

// A machine with less free capacity costs less, so that tasks fill machines one by one.
func TestFullerMachinesCostLess(t *testing.T) {
	j := &job{spec: wire.Job{CPUs: 2}}
	spec := &wire.MachineType{CPUs: 8, MemoryGB: 8}
	empty, half := &machine{machineSpec: spec}, &machine{machineSpec: spec, used: resources{cpus: 4}}
	for _, minimizeCost := range []bool{false, true} {
		costs := costModel{minimizeCost: minimizeCost}
		if full, free := costs.cost(j, half, taskSpread{}), costs.cost(j, empty, taskSpread{}); full >= free {
			t.Errorf("minimizing cost: %v: a half-full machine costs %v, an empty one %v", minimizeCost, full, free)
		}
	}
}
