package scheduler

import "github.com/yarrowgap/yarrowgap/internal/reconcile"

// StopReason says why a task is stopped.
type StopReason string

// Reasons for stops. Reconciliation also stops attempts of earlier terms, see stopReasonOf.
const (
	StopJobEnded          StopReason = "job ended"
	StopJobCancelled      StopReason = "job cancelled"
	StopTaskDone          StopReason = "task already done"
	StopGangMemberEnded   StopReason = "gang member ended"
	StopSpotInterruption  StopReason = "spot interruption"
	StopNeverAcknowledged StopReason = "start never acknowledged"
	StopPreempted         StopReason = "preempted"
)

// stopReasonOf returns the reason for stopping an attempt of the given reconciliation class.
func stopReasonOf(class reconcile.Class) StopReason {
	return StopReason("reconciliation: " + class.String())
}

// ResignReason says why the scheduler gives up leadership.
type ResignReason string

// Reasons for giving up leadership.
const (
	ResignNoHeartbeats       ResignReason = "no worker reaches this controller"
	ResignHigherFencingToken ResignReason = "a worker has seen a higher fencing token"
	ResignLeaderKeyLost      ResignReason = "another leader holds the key"
	ResignBitmapConflict     ResignReason = "a job's done bitmap was changed by another leader"
	ResignCountersExhausted  ResignReason = "this term's fencing counters or attempt numbers are nearly used up"
)

// ReleaseReason says why a machine is released.
type ReleaseReason string

// Reasons for releasing machines.
const (
	ReleaseBootFailed       ReleaseReason = "failed while booting"
	ReleaseNeverUp          ReleaseReason = "never came up"
	ReleaseFailed           ReleaseReason = "failed"
	ReleaseProbesUnanswered ReleaseReason = "missed heartbeats and unanswered status probes"
	ReleaseNotListed        ReleaseReason = "missed heartbeats and no longer listed"
	ReleaseUnreachable      ReleaseReason = "unreachable"
	ReleaseLeaseExpired     ReleaseReason = "no heartbeat for its lease"
	ReleaseQuarantined      ReleaseReason = "quarantined: unrelated jobs fail on it"
	ReleaseZoneMissing      ReleaseReason = "its zone has missed heartbeats for too long"
	ReleaseZoneTasksMovable ReleaseReason = "its zone misses heartbeats and its tasks fit elsewhere"
	ReleaseIdle             ReleaseReason = "idle"
)
