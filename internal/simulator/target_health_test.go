package simulator

import (
	"testing"
	"time"
)

// feed records one health check a second and returns the times at which the controller became healthy
// or was removed.
func feed(health *TargetHealth, succeeded func(second int) bool, seconds int) (returned, removed []int) {
	for second := range seconds {
		now, before := time.Duration(second)*time.Second, health.Healthy()
		if succeeded(second) {
			health.CheckSucceeded(now)
		} else {
			health.CheckFailed(now)
		}
		switch {
		case health.Healthy() && !before:
			returned = append(returned, second)
		case before && !health.Healthy():
			removed = append(removed, second)
		}
	}
	return returned, removed
}

func TestOneHealthCheckSufficesForNewController(t *testing.T) {
	var health TargetHealth
	returned, _ := feed(&health, func(second int) bool { return second >= 2 }, 4)
	if len(returned) != 1 || returned[0] != 2 {
		t.Errorf("healthy at %v", returned)
	}
}

func TestRemovalsInARowAreLongerEachTime(t *testing.T) {
	var health TargetHealth
	failFor := 0
	succeeded := func(int) bool {
		if health.Healthy() {
			failFor = failuresInARow
		}
		failFor--
		return failFor < 0
	}
	returned, removed := feed(&health, succeeded, 400)
	var pauses []int
	for i, at := range returned[1:] {
		pauses = append(pauses, at-removed[i])
	}
	want := []int{3, 6, 12, 24, 48, 60, 60}
	if len(pauses) < len(want) {
		t.Fatalf("pauses %v", pauses)
	}
	for i, pause := range want {
		if pauses[i] != pause {
			t.Errorf("pause %d takes %d s, want %d s", i+1, pauses[i], pause)
		}
	}
}

func TestThreeFailuresAmongSixRemoveController(t *testing.T) {
	var health TargetHealth
	_, removed := feed(&health, func(second int) bool { return second%2 == 0 }, 10)
	if len(removed) == 0 || removed[0] != 5 {
		t.Errorf("removed at %v", removed)
	}
	health = TargetHealth{}
	_, removed = feed(&health, func(second int) bool { return second%3 != 2 }, 60)
	if len(removed) != 0 {
		t.Errorf("removed at %v for two failures among six", removed)
	}
}

func TestRemovalLongAfterTheLastIsShort(t *testing.T) {
	var health TargetHealth
	failing := func(second int) bool { return second != 10 && second != 11 && second != 140 && second != 141 }
	feed(&health, failing, 150)
	if health.Removal() != shortestRemoval {
		t.Errorf("removed for %v", health.Removal())
	}
}
