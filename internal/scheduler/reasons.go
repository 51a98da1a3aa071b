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

// ResignReason says why a leader has to give up leadership. The empty one: it does not.
type ResignReason string

// Reasons of the scheduler for resigning.
const (
	ResignHigherToken       ResignReason = "a worker has seen a higher fencing token"
	ResignCountersExhausted ResignReason = "this term's fencing counters or attempt numbers are nearly used up"
	ResignLeaderKeyChanged  ResignReason = "another leader holds the key"
	ResignBitmapChanged     ResignReason = "a job's done bitmap was changed by another leader"
)
