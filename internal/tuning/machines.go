package tuning

import "time"

// Health of machines, by their heartbeats.
const (
	// WorkerHeartbeatTimeout and WorkerRetryDelay are the protocol's: after how long a worker
	// gives up a heartbeat that is not answered, and when it then tries the next controller.
	WorkerHeartbeatTimeout = 4 * time.Second
	WorkerRetryDelay       = 1 * time.Second
	// HeartbeatGrace is how much later than the protocol allows a heartbeat may come before the
	// machine is probed, and UnansweredProbeThreshold how many status probes in a row it has
	// to leave unanswered before it is released ahead of its lease's expiry.
	HeartbeatGrace           = 500 * time.Millisecond
	UnansweredProbeThreshold = 2
	// EarlyReleaseMargin is how long before its lease must have expired a machine without
	// heartbeats is released: about as long as the call takes. Its tasks end themselves then in
	// any case; the answer proves it.
	EarlyReleaseMargin = 300 * time.Millisecond
	// ZonePartitionLeases is how many leases long a zone may be without heartbeats as a whole
	// before its machines are released; a controller in it may keep them alive.
	ZonePartitionLeases = 2.5
	// ZonePartitionShare is which share of a zone's machines has to miss heartbeats for that.
	// Spot interruptions stay below it.
	ZonePartitionShare = 2.0 / 3
	// FirstHeartbeatGrace is how long a new leader waits for the heartbeat of a machine that,
	// by its age, should have come up before.
	FirstHeartbeatGrace = 20 * time.Second
	// KeepaliveMargin is taken off the time for which a follower keeps the workers of a
	// partitioned zone alive, see controller.KeepaliveBound: for clocks that drift and timers
	// that fire late. Cancellations that were not enforced when the partition began need none,
	// since that time counts from before them.
	KeepaliveMargin = 1 * time.Second
)
