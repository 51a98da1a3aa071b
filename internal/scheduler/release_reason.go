package scheduler

// ReleaseReason says why a machine is released.
type ReleaseReason string

// Reasons for releases.
const (
	ReleaseBootFailed        ReleaseReason = "failed while booting"
	ReleaseNeverUp           ReleaseReason = "never came up"
	ReleaseFailed            ReleaseReason = "failed"
	ReleaseProbesUnanswered  ReleaseReason = "missed heartbeats and unanswered status probes"
	ReleaseNotListed         ReleaseReason = "missed heartbeats and no longer listed"
	ReleaseUnreachable       ReleaseReason = "unreachable"
	ReleaseLeaseExpired      ReleaseReason = "no heartbeat for its lease"
	ReleaseQuarantined       ReleaseReason = "quarantined: unrelated jobs fail on it"
	ReleaseZoneMissing       ReleaseReason = "its zone has missed heartbeats for too long"
	ReleaseZoneTasksPlacable ReleaseReason = "its zone misses heartbeats and its tasks fit elsewhere"
	ReleaseIdle              ReleaseReason = "idle"
)
