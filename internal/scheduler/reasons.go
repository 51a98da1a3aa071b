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
