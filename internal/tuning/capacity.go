package tuning

import "time"

// The platform's limits on the process.
const (
	// ListenerSocketShare is the share of the platform's socket limit that the listener of
	// users and workers may hold, one for each machine and user; the rest is for the
	// controller's own calls. Of that, ReservedSockets are for the key-value store, the cloud
	// and the peers, and direct calls to workers get the others, at least MinWorkerCalls and
	// at most MaxWorkerCalls at once.
	ListenerSocketShare = 0.8
	ReservedSockets     = 96
	MinWorkerCalls      = 32
	MaxWorkerCalls      = 1024
	// BytesPerConn is what an open connection that waits for a request holds, in bytes: a stack
	// of 4 KiB, ConnReadBufferBytes, and some 2 KiB of the runtime's and the server's. A test
	// measures it.
	BytesPerConn = 8 << 10
	// ConnMemoryShare is the part of the platform's memory limit that connections may take
	// together, with the heap's growth between two collections: thousands of workers may all
	// come to one controller, and there must be as much left to recover in.
	ConnMemoryShare = 0.5
	// MinConns is how many connections are accepted however little there is.
	MinConns = 16
	// HeartbeatCPUCost is the processor time of a worker's heartbeat with all that follows from
	// it, system calls, packets, starts and placement rounds included, and
	// HeartbeatsPerInterval how many come from a machine in a heartbeat interval, those with
	// changes included: a leader of 2150 machines used 58 ms a second for 350 heartbeats.
	HeartbeatCPUCost      = 150 * time.Microsecond
	HeartbeatsPerInterval = 1.6
	// MemoryLimitShare is the share of the platform's memory limit given to the Go runtime as
	// its soft limit; the rest covers what it does not count.
	MemoryLimitShare = 0.7
	// GCPercent lets the heap grow by this much between collections.
	GCPercent = 200
)

// Settings below these are logged at the start.
const (
	// MinMemoryMB is the memory for hundreds of machines, in MB.
	MinMemoryMB = 64
	// JobRecordKiB is the size of a job's record beside its bitmap of completed tasks.
	JobRecordKiB = 1.5
)
