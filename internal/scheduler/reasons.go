package scheduler

import "github.com/yarrowgap/yarrowgap/internal/reconcile"

// StopReason says why a task is stopped.
type StopReason string

// Reasons for stops. Attempts from an earlier term are also stopped for what
// reconciliation finds, see stopReasonOf.
const (
	StopJobEnded          StopReason = "job ended"
	StopJobCancelled      StopReason = "job cancelled"
	StopTaskDone          StopReason = "task already done"
	StopGangMemberEnded   StopReason = "gang member ended"
	StopSpotInterruption  StopReason = "spot interruption"
	StopNeverAcknowledged StopReason = "start never acknowledged"
	StopPreempted         StopReason = "preempted"
)

// stopReasonOf gives the reason for the stop of an attempt of a reconciliation class.
func stopReasonOf(class reconcile.Class) StopReason {
	return StopReason("reconciliation: " + class.String())
}

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

// ResignReason says why a leader has to give up leadership. The empty one: it does not.
type ResignReason string

// Reasons of the scheduler for resigning.
const (
	ResignHigherToken       ResignReason = "a worker has seen a higher fencing token"
	ResignCountersExhausted ResignReason = "this term's fencing counters or attempt numbers are nearly used up"
	ResignLeaderKeyChanged  ResignReason = "another leader holds the key"
	ResignBitmapChanged     ResignReason = "a job's done bitmap was changed by another leader"
	// ResignNoHeartbeats is that of a leader that no worker reaches.
	ResignNoHeartbeats ResignReason = "no worker reaches this controller"
)
