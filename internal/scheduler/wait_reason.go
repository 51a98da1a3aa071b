package scheduler

// WaitReason is the reason why tasks of a job wait, as of the last placement round.
type WaitReason int

// Reasons for tasks to wait.
const (
	NotWaiting           WaitReason = iota
	WaitForRecords                  // an unreadable assignment record may contain its tasks
	WaitForHeartbeats               // unconfirmed machines may run tasks of it that have no record
	WaitFailedEverywhere            // it is likely invalid: only one task at a time is placed
	WaitForGangStop                 // tasks of its gang are being stopped
	WaitForQuota                    // its team is at its quota limit
	WaitForCapacity                 // no machine has enough free capacity for one of its tasks
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
