package tuning

import "time"

// The platform's limits on the process.
const (
	// ListenerSocketShare is the share of the platform's socket limit that the listener for
	// users and workers may hold, with one socket for each machine and user. The rest is for
	// the controller's own calls: ReservedSockets for the key-value store, the cloud and the
	// peers, and the remainder for direct calls to workers, with at least MinWorkerCalls and at
	// most MaxWorkerCalls of them at once.
	ListenerSocketShare = 0.8
	ReservedSockets     = 96
	MinWorkerCalls      = 32
	MaxWorkerCalls      = 1024
	// BytesPerConn is the memory of an open connection that waits for a request, in bytes: a
	// stack of 4 KiB, ConnReadBufferBytes, and about 2 KiB of the runtime and the server. A
	// test of package httpserver checks it.
	BytesPerConn = 8 << 10
	// ConnMemoryShare is the share of the platform's memory limit that all connections may
	// take, including the heap's growth between two collections. Thousands of workers may all
	// connect to one controller, which then needs as much memory again for its recovery.
	ConnMemoryShare = 0.5
	// MinConns is the number of connections that are accepted however low the limits are.
	MinConns = 16
	// HeartbeatCPUCost is the CPU time of a worker's heartbeat and all its consequences,
	// including system calls, packets, starts and placement rounds: a leader of 2150 machines
	// used 58 ms a second for 350 heartbeats. HeartbeatsPerInterval is how many heartbeats a
	// machine sends in a heartbeat interval, including those that report changes.
	HeartbeatCPUCost      = 150 * time.Microsecond
	HeartbeatsPerInterval = 1.6
	// MemoryLimitShare is the share of the platform's memory limit given to the Go runtime as
	// its soft limit. The rest covers memory that the runtime does not count.
	MemoryLimitShare = 0.7
	// GCPercent is the heap growth between two collections, in percent.
	GCPercent = 200
)

// Minimum values of settings. Lower ones are logged at startup.
const (
	// MinMemoryMB is the memory needed for hundreds of machines, in MB.
	MinMemoryMB = 64
	// JobRecordKiB is the size of a job's record without its bitmap of completed tasks, in KiB.
	JobRecordKiB = 1.5
)
