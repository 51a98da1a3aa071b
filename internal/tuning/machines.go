package tuning

import "time"

// Health of machines, by their heartbeats.
const (
	// WorkerHeartbeatTimeout and WorkerRetryDelay are set by the protocol: how long a worker
	// waits for the answer to a heartbeat, and how long it then pauses before it tries the next
	// controller.
	WorkerHeartbeatTimeout = 4 * time.Second
	WorkerRetryDelay       = 1 * time.Second
	// HeartbeatGrace is how much later than the protocol allows a heartbeat may arrive before the
	// machine is probed. UnansweredProbeThreshold is the number of consecutive unanswered direct
	// calls since the last heartbeat after which a machine with tasks is released before its lease
	// expires.
	HeartbeatGrace           = 500 * time.Millisecond
	UnansweredProbeThreshold = 2
	// EarlyReleaseMargin is how long before the certain expiry of its lease a machine without
	// heartbeats is released: about the duration of the release call. The machine's tasks end
	// by themselves at that expiry in any case, and the answer to the call proves it.
	EarlyReleaseMargin = 300 * time.Millisecond
	// ZonePartitionLeaseMultiple is how long a whole zone may be without heartbeats before its
	// machines are released, as a multiple of the workers' lease. A controller inside the zone
	// may keep the machines alive meanwhile.
	ZonePartitionLeaseMultiple = 2.5
	// ZonePartitionShare is the share of a zone's machines that must miss heartbeats for the
	// zone to count as partitioned. Spot interruptions affect a smaller share.
	ZonePartitionShare = 2.0 / 3
	// FirstHeartbeatGrace is how long a new leader waits for the heartbeat of a machine that,
	// by its age, should already be up.
	FirstHeartbeatGrace = 20 * time.Second
	// KeepaliveMargin shortens the time for which a controller renews workers' leases without
	// learning of new cancellations (see KeepaliveBound in package controller), such as a follower
	// in a partitioned zone, to allow for clock drift and timers that fire late. Cancellations that
	// were not yet enforced when the partition began need no margin, because the time counts from
	// before them.
	KeepaliveMargin = 1 * time.Second
)
