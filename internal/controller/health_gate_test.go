package controller

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// maxOutOfService is half of the minute within which every accepted job must be answered again after
// the last fault.
const maxOutOfService = 30 * time.Second

// interval is a time in which a fault is active, since the beginning of a test.
type interval struct{ from, until time.Duration }

// drawOutages draws outages of the key-value store, long enough for an isolation or too short.
func drawOutages(t *rapid.T) []interval {
	seconds := func(name string, least, most int) time.Duration {
		return time.Duration(rapid.IntRange(least, most).Draw(t, name)) * time.Second
	}
	var outages []interval
	at := time.Duration(0)
	for range rapid.IntRange(1, 10).Draw(t, "outages") {
		from := at + seconds("pause", 2, 40)
		at = from + seconds("duration", 2, 30)
		outages = append(outages, interval{from, at})
	}
	return outages
}

// isolatedDuring reports whether a controller that reaches no peer is isolated by one of the outages.
func isolatedDuring(outages []interval, now time.Duration) bool {
	for _, outage := range outages {
		if now >= outage.from+tuning.IsolatedAfter && now < outage.until {
			return true
		}
	}
	return false
}

// fatalTest is the part of testing.T and rapid.T that checkReturnsToService needs.
type fatalTest interface {
	Helper()
	Fatalf(format string, args ...any)
}

// checkReturnsToService checks that a load balancer has a controller in service maxOutOfService after
// the last outage.
func checkReturnsToService(t fatalTest, outages []interval) {
	t.Helper()
	lastEnd := outages[len(outages)-1].until
	start := time.Now()
	var gate healthGate
	var health simulator.TargetHealth
	for now := time.Duration(0); now < lastEnd+maxOutOfService; now += tuning.TickInterval {
		if isolatedDuring(outages, now) {
			gate.beginIsolation(start.Add(now))
		} else {
			gate.endIsolation()
		}
		switch {
		case now%simulator.HealthCheckInterval != 0:
		case gate.inService():
			health.CheckSucceeded(now)
		default:
			health.CheckFailed(now)
		}
	}
	if !health.Healthy() {
		t.Fatalf("out of service %v after the last of %v, removed for %v", maxOutOfService, outages, health.Removal())
	}
}

func TestIsolationsInSeriesKeepControllerOutOfService(t *testing.T) {
	var outages []interval
	for from := 10 * time.Second; from < 200*time.Second; from += 20 * time.Second {
		outages = append(outages, interval{from, from + 11*time.Second})
	}
	checkReturnsToService(t, outages)
}

func TestDrawnIsolationsKeepControllerOutOfService(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkReturnsToService(t, drawOutages(t)) })
}

func TestLongIsolationTakesControllerOutOfServiceOnce(t *testing.T) {
	var gate healthGate
	start := time.Now()
	for second := range 300 {
		gate.beginIsolation(start.Add(time.Duration(second) * time.Second))
		if gate.inService() {
			t.Fatalf("in service %d s after the isolation began", second)
		}
	}
	if gate.endIsolation(); !gate.inService() {
		t.Error("out of service after the isolation")
	}
	if gate.beginIsolation(start.Add(time.Hour)); gate.inService() || gate.withdrawals != 1 {
		t.Errorf("in service %t in an isolation an hour later, the %d. in a row", gate.inService(), gate.withdrawals)
	}
}
