package config

import (
	"fmt"
	"math"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// SocketLimits divides the platform's sockets: how many may be for connections of users and
// workers, and how many for direct calls to machines.
func (s *Settings) SocketLimits() (listener, workerCalls int) {
	limit := s.Deployment.Quota.FDLimit
	if limit == 0 {
		limit = math.MaxInt32 // the platform sets none
	}
	listener = max(tuning.MinConns, int(float64(limit)*tuning.ListenerSocketShare))
	return listener, max(tuning.MinWorkerCalls, limit-listener-tuning.ReservedSockets)
}

// MaxConnections is how many connections of users and workers are taken at once: as many as
// there are sockets for, and as the memory that is left for them holds, with what the
// collector lets the heap grow by between two collections.
func (s *Settings) MaxConnections() int {
	taken, _ := s.SocketLimits()
	if mem := s.Deployment.Quota.MemMB; mem > 0 {
		//mutation:connections-by-memory
		taken = min(taken, int(mem*(1<<20)*tuning.ConnMemoryShare/(tuning.BytesPerConn*(1+tuning.GCPercent/100.0))))
	}
	return max(tuning.MinConns, taken)
}

// Capacity is for how many machines a controller that leads has room, by each of its
// limits. What the platform does not limit is 0.
type Capacity struct {
	ByConnections int // sockets and memory, see Connections
	ByCPU         int
}

// Capacity estimates for how many machines this controller has room when it leads.
func (s *Settings) Capacity() Capacity {
	var c Capacity
	q := &s.Deployment.Quota
	if q.FDLimit > 0 || q.MemMB > 0 {
		c.ByConnections = s.MaxConnections()
	}
	if q.CPUShare > 0 {
		perMachine := tuning.HeartbeatCPUCost.Seconds() * tuning.HeartbeatsPerInterval / s.Deployment.Workers.ReportS
		c.ByCPU = int(q.CPUShare / perMachine)
	}
	return c
}

// FleetShortfalls names what is too small for so many machines, and by how much.
func (s *Settings) FleetShortfalls(machines int) []string {
	var out []string
	c := s.Capacity()
	if c.ByConnections > 0 && machines > c.ByConnections {
		out = append(out, fmt.Sprintf("sockets or memory: connections for %d of %d machines, the other workers are sent away", c.ByConnections, machines))
	}
	if c.ByCPU > 0 && machines > c.ByCPU {
		out = append(out, fmt.Sprintf("processor: %v of a core does for the reports of %d of %d machines, the others are answered late", s.Deployment.Quota.CPUShare, c.ByCPU, machines))
	}
	return out
}

// Shortfalls names what of the settings is too small to work well with, and by how
// much. The service runs all the same, as well as it can.
func (s *Settings) Shortfalls() []string {
	d := &s.Deployment
	var out []string
	short := func(field string, have, need float64, why string) {
		if have < need {
			out = append(out, fmt.Sprintf("deployment.%s is %v, under %.4g: %s", field, have, need, why))
		}
	}
	bits := float64(tuning.TasksPerBitmap) / 6 / 1024 // in base64
	short("state.value_kb", d.State.ValueKB, (tuning.JobRecordKiB+bits)/(1-tuning.ValueSizeMargin), "records of large jobs do not fit and are refused")
	short("state.write_rps", d.State.WriteRPS, 1/tuning.BatchWriteShare, "starts wait for their records for over a second")
	short("state.rps", d.State.RPS, 4*float64(1+len(s.Peers)), "leases, watches and polls of all nodes do not fit")
	short("workers.lease_s", d.Workers.LeaseS, 2*d.Workers.ReportS, "a late report costs a worker its tasks")
	short("workers.cancel_s", d.Workers.CancelS, d.Workers.LeaseS+tuning.KeepaliveMargin.Seconds(), "a zone that is cut off cannot be kept alive")
	if d.Quota.FDLimit > 0 {
		short("quota.fd_limit", float64(d.Quota.FDLimit), (tuning.ReservedSockets+tuning.MinWorkerCalls)/(1-tuning.ListenerSocketShare), "too few sockets for our own calls")
	}
	if d.Quota.MemMB > 0 {
		short("quota.mem_mb", d.Quota.MemMB, tuning.MinMemoryMB, "a fleet of hundreds of machines does not fit")
	}
	return out
}
