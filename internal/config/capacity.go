package config

import (
	"fmt"
	"math"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// SocketLimits divides the platform's sockets: how many may be for connections of users and
// workers, and how many for direct calls to workers.
func (s *Settings) SocketLimits() (listener, workerCalls int) {
	limit := s.Deployment.Quota.FDLimit
	if limit == 0 {
		limit = math.MaxInt32 // the platform sets none
	}
	listener = max(tuning.MinConns, int(float64(limit)*tuning.ListenerSocketShare))
	return listener, max(tuning.MinWorkerCalls, limit-listener-tuning.ReservedSockets)
}

// MaxConnections is how many connections of users and workers are accepted at once: as many
// as there are sockets for, and as fit into the memory that is left for them, with what the
// collector lets the heap grow by between two collections.
func (s *Settings) MaxConnections() int {
	connections, _ := s.SocketLimits()
	if mem := s.Deployment.Quota.MemMB; mem > 0 {
		//mutation:connections-by-memory
		connections = min(connections, connectionsInMemory(mem))
	}
	return max(tuning.MinConns, connections)
}

// connectionsInMemory is how many connections fit under a memory limit.
func connectionsInMemory(limitMB float64) int {
	const heapGrowth = 1 + tuning.GCPercent/100.0
	return int(limitMB * (1 << 20) * tuning.ConnMemoryShare / (tuning.BytesPerConn * heapGrowth))
}

// Capacity is how many machines a leading controller can serve, by each of its limits.
// What the platform does not limit is 0.
type Capacity struct {
	ByConnections int // sockets and memory, see MaxConnections
	ByCPU         int
}

// Capacity estimates how many machines this controller can serve when it leads.
func (s *Settings) Capacity() Capacity {
	var capacity Capacity
	quota := &s.Deployment.Quota
	if quota.FDLimit > 0 || quota.MemMB > 0 {
		capacity.ByConnections = s.MaxConnections()
	}
	if quota.CPUShare > 0 {
		perMachine := tuning.HeartbeatCPUCost.Seconds() * tuning.HeartbeatsPerInterval / s.Deployment.Workers.HeartbeatS
		capacity.ByCPU = int(quota.CPUShare / perMachine)
	}
	return capacity
}

// FleetShortfalls names the limits that are too small for a number of machines, and what
// follows.
func (s *Settings) FleetShortfalls(machines int) []string {
	var shortfalls []string
	capacity := s.Capacity()
	if capacity.ByConnections > 0 && machines > capacity.ByConnections {
		shortfalls = append(shortfalls, fmt.Sprintf("sockets or memory: connections for %d of %d machines, the other workers are refused",
			capacity.ByConnections, machines))
	}
	if capacity.ByCPU > 0 && machines > capacity.ByCPU {
		shortfalls = append(shortfalls, fmt.Sprintf("processor: %v of a core serves the heartbeats of %d of %d machines, the others are answered late",
			s.Deployment.Quota.CPUShare, capacity.ByCPU, machines))
	}
	return shortfalls
}

// Shortfall is a setting that is too small to work well with. The service runs all the
// same, as well as it can.
type Shortfall struct {
	Field       string
	Value       float64
	Minimum     float64
	Consequence string
}

// String names the field, both numbers and the consequence.
func (s Shortfall) String() string {
	return fmt.Sprintf("%s is %v, under %.4g: %s", s.Field, s.Value, s.Minimum, s.Consequence)
}

// Shortfalls lists the settings that are too small to work well with.
func (s *Settings) Shortfalls() []Shortfall {
	var shortfalls []Shortfall
	for _, candidate := range s.recommendations() {
		if candidate.Value < candidate.Minimum {
			shortfalls = append(shortfalls, candidate)
		}
	}
	return shortfalls
}

// recommendations are the settings with the least values that work well. A limit that the
// platform does not set is not among them.
func (s *Settings) recommendations() []Shortfall {
	const (
		bitmapKiB                  = float64(tuning.TasksPerBitmap) / 6 / 1024 // in base64
		minValueKB                 = (tuning.JobRecordKiB + bitmapKiB) / (1 - tuning.ValueSizeMargin)
		minWriteRPS                = 1 / tuning.BatchWriteShare
		requestsPerNode            = 4.0
		heartbeatsPerLease         = 2
		minSockets                 = (tuning.ReservedSockets + tuning.MinWorkerCalls) / (1 - tuning.ListenerSocketShare)
		minMemoryMB        float64 = tuning.MinMemoryMB
	)
	d := &s.Deployment
	nodes := float64(1 + len(s.Peers))
	minCancelS := d.Workers.LeaseS + tuning.KeepaliveMargin.Seconds()
	list := []Shortfall{
		{"deployment.state.value_kb", d.Store.ValueKB, minValueKB, "records of large jobs do not fit and are refused"},
		{"deployment.state.write_rps", d.Store.WriteRPS, minWriteRPS, "starts wait for their records for over a second"},
		{"deployment.state.rps", d.Store.RPS, requestsPerNode * nodes, "leases, watches and queries of all nodes do not fit"},
		{"deployment.workers.lease_s", d.Workers.LeaseS, heartbeatsPerLease * d.Workers.HeartbeatS, "a late heartbeat costs a worker its tasks"},
		{"deployment.workers.cancel_s", d.Workers.CancellationS, minCancelS, "workers of an isolated zone cannot be kept alive"},
	}
	if d.Quota.FDLimit > 0 {
		list = append(list, Shortfall{"deployment.quota.fd_limit", float64(d.Quota.FDLimit), minSockets, "too few sockets for the controller's own calls"})
	}
	if d.Quota.MemMB > 0 {
		list = append(list, Shortfall{"deployment.quota.mem_mb", d.Quota.MemMB, minMemoryMB, "the state of hundreds of machines does not fit"})
	}
	return list
}
