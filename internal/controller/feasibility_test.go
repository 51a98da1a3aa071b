package controller

import (
	"errors"
	"testing"

	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/wire"
)

func TestCheckFeasible(t *testing.T) {
	teams := []config.Team{{Name: "red", MaxCPUs: 16, MaxGPUs: 2}}
	types := []wire.MachineType{
		{Name: "small", CPUs: 2, MemoryGB: 8, Zones: []string{"a", "b"}},
		{Name: "gpu", CPUs: 8, GPUs: 2, MemoryGB: 64, Zones: []string{"a"}},
	}
	job := func(change func(*wire.Job)) *wire.Job {
		j := &wire.Job{Team: "red", Shape: wire.ShapeArray, Tasks: 100, CPUs: 1, MemoryGB: 1}
		change(j)
		return j
	}
	for _, test := range []struct {
		name  string
		job   *wire.Job
		types []wire.MachineType
		want  error
	}{
		{"array larger than the limit", job(func(*wire.Job) {}), types, nil},
		{"unknown team", job(func(j *wire.Job) { j.Team = "blue" }), types, errUnknownTeam},
		{"task over the limit", job(func(j *wire.Job) { j.CPUs = 17 }), types, errOverQuotaLimit},
		{"service over the limit", job(func(j *wire.Job) { j.Shape = wire.ShapeService }), types, errOverQuotaLimit},
		{"gang over the limit", job(func(j *wire.Job) { j.Shape, j.Tasks, j.GPUs = wire.ShapeGang, 3, 1 }), types, errOverQuotaLimit},
		{"gang of several tasks within the limit", job(func(j *wire.Job) { j.Shape, j.Tasks, j.GPUs = wire.ShapeGang, 2, 1 }), types, errGangUnsupported},
		{"gang of several tasks and no types known", job(func(j *wire.Job) { j.Shape, j.Tasks = wire.ShapeGang, 2 }), nil, errGangUnsupported},
		{"gang of one task", job(func(j *wire.Job) { j.Shape, j.Tasks, j.GPUs = wire.ShapeGang, 1, 1 }), types, nil},
		{"no types known", job(func(*wire.Job) {}), nil, errMachineTypesUnknown},
		{"unknown team and no types known", job(func(j *wire.Job) { j.Team = "blue" }), nil, errUnknownTeam},
		{"no type has the memory", job(func(j *wire.Job) { j.MemoryGB = 65 }), types, errNoMachineType},
		{"allowed type is too small", job(func(j *wire.Job) { j.GPUs, j.MachineTypes = 1, []string{"small"} }), types, errNoMachineType},
		{"no type allowed", job(func(j *wire.Job) { j.MachineTypes = []string{} }), types, errNoMachineType},
		{"type is not in the zone", job(func(j *wire.Job) { j.GPUs, j.Zone = 1, "b" }), types, errNoMachineType},
		{"type is in the zone", job(func(j *wire.Job) { j.GPUs, j.Zone = 1, "a" }), types, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			if err := checkFeasible(test.job, teams, test.types); !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}
