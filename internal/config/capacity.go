package config

import (
	"fmt"
	"math"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// SocketLimits divides the platform's socket limit. It returns the number of sockets for
// connections from users and workers, and the number for direct calls to workers.
func (s *Settings) SocketLimits() (listener, workerCalls int) {
	limit := s.Deployment.Quota.FDLimit
	if limit == 0 {
		limit = math.MaxInt32 // the platform sets no limit
	}
	listener = max(tuning.MinConns, int(float64(limit)*tuning.ListenerSocketShare))
	return listener, max(tuning.MinWorkerCalls, limit-listener-tuning.ReservedSockets)
}

// MaxConnections returns how many connections from users and workers are accepted at once. It
// is bounded by the sockets and by the memory for connections, which includes the heap's
// growth between two garbage collections.
func (s *Settings) MaxConnections() int {
	connections, _ := s.SocketLimits()
	if memoryMB := s.Deployment.Quota.MemMB; memoryMB > 0 {
		//mutation:connections-by-memory
		connections = min(connections, connectionsInMemory(memoryMB))
	}
	return max(tuning.MinConns, connections)
}

// connectionsInMemory returns how many connections fit under a memory limit.
func connectionsInMemory(limitMB float64) int {
	const heapGrowth = 1 + tuning.GCPercent/100.0
	return int(limitMB * (1 << 20) * tuning.ConnMemoryShare / (tuning.BytesPerConn * heapGrowth))
}

// Capacity is the number of machines that a leader can serve within each of the platform's
// limits; 0 means that the platform sets no limit.
type Capacity struct {
	ByConnections int // machines within the socket and memory limits, see MaxConnections
	ByCPU         int // machines within the CPU limit
}

// Capacity estimates how many machines this controller can serve as the leader.
func (s *Settings) Capacity() Capacity {
	var capacity Capacity
	quota := &s.Deployment.Quota
	if quota.FDLimit > 0 || quota.MemMB > 0 {
		capacity.ByConnections = s.MaxConnections()
	}
	if quota.CPUShare > 0 {
		cpuPerMachine := tuning.HeartbeatCPUCost.Seconds() * tuning.HeartbeatsPerInterval / s.Deployment.Workers.HeartbeatS
		capacity.ByCPU = int(quota.CPUShare / cpuPerMachine)
	}
	return capacity
}

// FleetShortfalls describes the limits that are too low for a number of machines, and the
// consequence of each.
func (s *Settings) FleetShortfalls(machines int) []string {
	var shortfalls []string
	capacity := s.Capacity()
	if capacity.ByConnections > 0 && machines > capacity.ByConnections {
		shortfalls = append(shortfalls, fmt.Sprintf("sockets or memory: connections for %d of %d machines, workers connect again for each heartbeat",
			capacity.ByConnections, machines))
	}
	if capacity.ByCPU > 0 && machines > capacity.ByCPU {
		shortfalls = append(shortfalls, fmt.Sprintf("processor: %v of a core serves the heartbeats of %d of %d machines, the others are answered late",
			s.Deployment.Quota.CPUShare, capacity.ByCPU, machines))
	}
	return shortfalls
}

// Shortfall is a setting below its recommended minimum. The service runs nevertheless, with
// the stated consequence.
type Shortfall struct {
	Field       string // path in the settings file
	Value       float64
	Minimum     float64
	Consequence string
}

// String states the field, its value, the minimum and the consequence.
func (s Shortfall) String() string {
	return fmt.Sprintf("%s is %v, under %.4g: %s", s.Field, s.Value, s.Minimum, s.Consequence)
}

// Shortfalls lists the settings below their recommended minimums.
func (s *Settings) Shortfalls() []Shortfall {
	var shortfalls []Shortfall
	for _, candidate := range s.recommendedMinimums() {
		if candidate.Value < candidate.Minimum {
			shortfalls = append(shortfalls, candidate)
		}
	}
	return shortfalls
}

// recommendedMinimums lists settings with their values and recommended minimums, including
// values that are not below the minimum. It leaves out limits that the platform does not set.
func (s *Settings) recommendedMinimums() []Shortfall {
	const (
		bitmapKiB                  = float64(tuning.TasksPerBitmap) / 6 / 1024 // base64 has 6 bits a byte
		minValueKB                 = (tuning.JobRecordKiB + bitmapKiB) / (1 - tuning.ValueSizeMargin)
		minWriteRPS                = 1 / tuning.BatchWriteShare
		requestsPerNode            = 4.0
		heartbeatsPerLease         = 2
		minSockets                 = (tuning.ReservedSockets + tuning.MinWorkerCalls) / (1 - tuning.ListenerSocketShare)
		minMemoryMB        float64 = tuning.MinMemoryMB
	)
	deployment := &s.Deployment
	nodes := float64(1 + len(s.Peers))
	minCancelS := deployment.Workers.LeaseS + tuning.KeepaliveMargin.Seconds()
	list := []Shortfall{
		{"deployment.state.value_kb", deployment.Store.ValueKB, minValueKB, "records of large jobs do not fit and are refused"},
		{"deployment.state.write_rps", deployment.Store.WriteRPS, minWriteRPS, "starts wait for their records for over a second"},
		{"deployment.state.rps", deployment.Store.RPS, requestsPerNode * nodes, "leases, watches and queries of all nodes do not fit"},
		{"deployment.workers.lease_s", deployment.Workers.LeaseS, heartbeatsPerLease * deployment.Workers.HeartbeatS, "a late heartbeat costs a worker its tasks"},
		{"deployment.workers.cancel_s", deployment.Workers.CancellationS, minCancelS, "workers of an isolated zone cannot be kept alive"},
	}
	if deployment.Quota.FDLimit > 0 {
		list = append(list, Shortfall{"deployment.quota.fd_limit", float64(deployment.Quota.FDLimit), minSockets, "too few sockets for the controller's own calls"})
	}
	if deployment.Quota.MemMB > 0 {
		list = append(list, Shortfall{"deployment.quota.mem_mb", deployment.Quota.MemMB, minMemoryMB, "the state of hundreds of machines does not fit"})
	}
	return list
}
