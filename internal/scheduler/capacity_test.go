package scheduler

import (
	"math"
	"testing"
)

func TestTasksThatFit(t *testing.T) {
	for _, tc := range []struct {
		name       string
		free, task resources
		want       float64
	}{
		{"limited by CPUs", resources{7, 0, 100}, resources{cpus: 2, memoryGB: 1}, 3},
		{"limited by memory", resources{100, 0, 7}, resources{cpus: 2, memoryGB: 2}, 3},
		{"limited by GPUs", resources{100, 1, 100}, resources{1, 1, 1}, 1},
		{"no GPUs", resources{100, 0, 100}, resources{1, 1, 1}, 0},
		{"rounding in sums", resources{cpus: 0.3 - epsilon/100}, resources{cpus: 0.1}, 3},
		{"overcommitted", resources{-1, 0, 100}, resources{cpus: 2}, -1},
		{"a task that uses no resources", resources{1, 1, 1}, resources{}, math.Inf(1)},
	} {
		if got := tasksThatFit(tc.free, tc.task); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

func TestHasCapacityFor(t *testing.T) {
	for _, tc := range []struct {
		name       string
		used, task resources
		want       bool
	}{
		{"exactly the free resources", resources{6, 1, 12}, resources{2, 1, 4}, true},
		{"too many CPUs", resources{7, 0, 0}, resources{2, 0, 0}, false},
		{"too many GPUs", resources{0, 2, 0}, resources{0, 1, 0}, false},
		{"too much memory", resources{0, 0, 13}, resources{0, 0, 4}, false},
	} {
		total := resources{8, 2, 16}
		if got := tc.used.plus(tc.task).within(total); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}
