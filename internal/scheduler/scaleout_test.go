package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// After the cloud had no capacity of an offer, the backoff is as short as the rate limit allows
// for requesting all offers again: four offers here, at three tenths of the rate.
func TestScaleOutRetriesAfterCapacityBackoff(t *testing.T) {
	for _, tc := range []struct {
		rate    float64 // the cloud's limit in requests per second; 0: unknown
		backoff time.Duration
	}{
		{0, tuning.MaxCapacityBackoff},
		{0.1, tuning.MaxCapacityBackoff},
		{4, time.Second * 10 / 3},
		{1000, tuning.MinCapacityBackoff},
	} {
		t.Run(fmt.Sprintf("rate=%v", tc.rate), func(t *testing.T) {
			h := newHarness(t)
			h.scheduler.autoscaler.listReceived, h.scheduler.settings.CloudRate = true, tc.rate
			h.submit(wire.Job{ID: "run-000001", Tasks: 1, CPUs: 8})
			if len(h.provisionRequests) == 0 {
				t.Fatal("no machine was requested")
			}
			first := h.provisionRequests[0].Request
			for _, other := range h.provisionRequests[1:] {
				h.scheduler.ProvisionEnded(h.clock(), other.Request.RequestID, ProvisionRefused, nil)
			}

			h.scheduler.ProvisionEnded(h.clock(), first.RequestID, ProvisionNoCapacity, nil)

			backoff := h.scheduler.autoscaler.unavailableUntil[offer{first.Type, first.Zone, first.Spot}] - h.now
			if backoff.Round(time.Millisecond) != tc.backoff.Round(time.Millisecond) {
				t.Errorf("requested again after %v, want %v", backoff, tc.backoff)
			}
		})
	}
}

// A leader whose lease may have expired releases and provisions nothing: after a pause of
// minutes, every machine seems to have missed its heartbeats, although a successor works with
// them. If the lease turns out to hold, as after an outage, a machine is released only if it
// then misses heartbeats for as long as usual.
func TestNoScalingAfterLeaseExpiry(t *testing.T) {
	h := newHarness(t)
	h.scheduler.autoscaler.listReceived = true
	h.bringUp("n-000001", "n-000002")
	h.advance(tuning.TickInterval, "n-000001", "n-000002")
	h.provisionRequests = nil

	h.scheduler.leaseHeldUntil = h.now + tuning.LeaderLeaseTTL
	h.now += time.Minute
	h.submit(wire.Job{ID: "run-000001", Tasks: 9, CPUs: 8})
	h.scheduler.Tick(h.clock())
	h.settle()
	if len(h.releases)+len(h.provisionRequests) != 0 {
		t.Fatalf("without the lease: released %v, requested %v", h.releases, h.provisionRequests)
	}

	h.scheduler.ExtendLease(h.now + time.Hour)
	h.advance(5*time.Second, "n-000001")
	if len(h.releases) != 0 || len(h.provisionRequests) == 0 {
		t.Errorf("with the lease renewed: released %v, requested %v", h.releases, h.provisionRequests)
	}
	h.advance(12*time.Second, "n-000001")
	if len(h.releases) != 1 || len(h.releases[0]) != 1 || h.releases[0][0] != "n-000002" {
		t.Errorf("released after a worker lease: %v", h.releases)
	}
}

// Machines that are late to boot are replaced before their boot times out, unless hardly any
// boot: then boots are slow everywhere, and scaling out would not end. Machines that never come
// up are released when their boot has timed out.
func TestDelayedBootsAreReplaced(t *testing.T) {
	const requested = 6 // machines, for six tasks that fill one each
	for _, tc := range []struct{ up, replaced int }{{5, 1}, {4, 2}, {3, 3}, {2, 0}, {0, 0}} {
		t.Run(fmt.Sprintf("up=%d", tc.up), func(t *testing.T) {
			h := newHarness(t)
			h.scheduler.autoscaler.listReceived = true
			h.scheduler.settings.Policy.HeadroomShare = 0
			h.scheduler.settings.Teams["red"] = TeamQuota{CPUs: 48, MaxCPUs: 48}
			h.submit(wire.Job{ID: "run-000001", Tasks: requested, CPUs: 8, EstimatedRunS: 1000})
			provisioned := 0
			for len(h.provisionRequests) > 0 {
				provisioned += h.provisionAll(provisioned)
			}
			if provisioned != requested {
				t.Fatalf("%d machines for %d tasks that fill one each", provisioned, requested)
			}
			var up []string
			for i := range tc.up {
				up = append(up, numberedMachineName(i+1))
			}

			h.advance(10*time.Second, up...)
			if provisioned += h.provisionAll(provisioned); provisioned != requested {
				t.Fatalf("%d machines although no boot is delayed yet", provisioned)
			}
			for range 20 {
				h.advance(time.Second, up...)
				provisioned += h.provisionAll(provisioned)
			}
			if provisioned-requested != tc.replaced {
				t.Errorf("%d replacements requested, want %d", provisioned-requested, tc.replaced)
			}

			h.advance(40*time.Second, up...)
			released := 0
			for _, names := range h.releases {
				released += len(names)
			}
			if released != requested-tc.up {
				t.Errorf("%d machines released, want %d", released, requested-tc.up)
			}
		})
	}
}

// provisionAll answers the provisioning requests in flight with new machines, numbered from
// last+1, and returns how many there are.
func (h *harness) provisionAll(last int) (count int) {
	h.t.Helper()
	for _, request := range h.provisionRequests {
		var names []string
		for range request.Request.Count {
			count++
			names = append(names, numberedMachineName(last+count))
		}
		h.scheduler.ProvisionEnded(h.clock(), request.Request.RequestID, ProvisionDone, names)
	}
	h.provisionRequests = nil
	h.settle()
	return count
}
