package scheduler

// WaitReason is the reason why tasks of a job wait, as of the last placement round that included
// the job.
type WaitReason int

// Reasons for tasks to wait.
const (
	NotWaiting           WaitReason = iota // no task waits, or no round has found a reason yet
	WaitForRecords                         // an unreadable record may contain the job's assignments
	WaitForHeartbeats                      // unconfirmed machines may run unrecorded attempts of the job
	WaitFailedEverywhere                   // the job is likely invalid: its tasks run one at a time
	WaitForGangStop                        // tasks of the gang are being stopped
	// WaitForQuota means that the team's quota limit allows no more tasks, or that the job is
	// starved and the tasks that it may place ahead of other jobs are used up.
	WaitForQuota
	// WaitForCapacity means that a round found no machine for one of the tasks: usually none has
	// enough free capacity, or the task waits for a machine that has its image.
	WaitForCapacity
)

// String returns the text that users and operators see; empty if no task waits.
func (r WaitReason) String() string {
	switch r {
	case WaitForRecords:
		return "a record that may be about it cannot be read"
	case WaitForHeartbeats:
		return "machines that may run it without a record have yet to report"
	case WaitFailedEverywhere:
		return "it has failed on every machine so far"
	case WaitForGangStop:
		return "its gang is being stopped"
	case WaitForQuota:
		return "its team is at its limit"
	case WaitForCapacity:
		return "no machine has room"
	}
	return ""
}
