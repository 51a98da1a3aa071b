package reconcile

// Class is the class of an attempt that was started before this term. Each such attempt is in
// exactly one class.
type Class uint8

// Classes of attempts.
const (
	// None is the class of attempts that were started in this term.
	None Class = iota
	// MissingUnproven means that the attempt is recorded, and it is not known yet whether its
	// worker has it.
	MissingUnproven
	// MissingProven means that the attempt is recorded, and proven to be gone.
	MissingProven
	// Confirmed means that the attempt is recorded, and its worker lists it.
	Confirmed
	// Failed means that the attempt is recorded, and has ended without completing its task.
	Failed
	// FinishedUnrecorded means that the attempt has completed its task, the job is live, and
	// the task is not recorded as done.
	FinishedUnrecorded
	// Unrecorded means that a worker lists the attempt, and no record names it.
	Unrecorded
	// Superseded means that a worker lists the attempt, and another attempt of its task is
	// kept instead.
	Superseded
	// Obsolete means that the attempt is active or has completed its task, but the task need
	// not run any more: the job has ended or been cancelled, or the task is recorded as done.
	// A recorded attempt that no heartbeat has reported on is Obsolete if its job has ended or
	// been cancelled. An attempt without a record that has ended without completing its task is
	// Obsolete, too.
	Obsolete

	classCount
)

var classNames = [classCount]string{
	None:               "none",
	MissingUnproven:    "missing-unproven",
	MissingProven:      "missing-proven",
	Confirmed:          "confirmed",
	Failed:             "failed",
	FinishedUnrecorded: "finished-unrecorded",
	Unrecorded:         "unrecorded",
	Superseded:         "superseded",
	Obsolete:           "obsolete",
}

func (c Class) String() string { return classNames[c] }

// ParseClass returns the class with the given name. It does not accept the name of None.
func ParseClass(name string) (Class, bool) {
	for c, n := range classNames {
		if n == name && Class(c) != None {
			return Class(c), true
		}
	}
	return None, false
}

// Action is what the leader does about an attempt.
type Action uint8

// Actions. Only Replace and Stop cause commands that start or stop tasks.
const (
	// Keep leaves the attempt as it is.
	Keep Action = iota
	// Await waits for a heartbeat from the machine, or for the machine's release.
	Await
	// Replace starts a new attempt of the task.
	Replace
	// Drop discards the attempt, which is gone, without starting its task again.
	Drop
	// Adopt keeps an active attempt that has no record, and records it.
	Adopt
	// Stop stops the attempt on its machine.
	Stop
	// RecordDone records that the task is done.
	RecordDone

	actionCount
)

var actionNames = [actionCount]string{
	Keep: "keep", Await: "await", Replace: "replace", Drop: "drop", Adopt: "adopt", Stop: "stop", RecordDone: "record-done",
}

func (a Action) String() string { return actionNames[a] }

// Observation is what is known about an attempt from its worker's heartbeats, or from the release
// of its machine.
type Observation uint8

// Observations.
const (
	// Unreported means that the worker has not sent a heartbeat yet.
	Unreported Observation = iota
	// Absent means that a heartbeat, or the machine's release, proves that the attempt is gone.
	Absent
	// Active means that the attempt is fetching its image, running or writing a checkpoint.
	Active
	// Completed means that the attempt has ended and completed its task.
	Completed
	// Ended means that the attempt has ended without completing its task.
	Ended

	observationCount
)

// Evidence is what is known about an attempt that was started before this term.
type Evidence struct {
	Observation           Observation
	Recorded              bool // a record names the attempt
	JobIsLive             bool // the job has a live record and is not cancelled
	TaskIsDone            bool // the task is recorded as done
	HasPreferredDuplicate bool // another attempt of the task takes precedence
	MachineAllowed        bool // the job allows the machine
	OverQuota             bool // adopting the attempt would exceed the team's quota limit
}

// Verdict is the class of an attempt and the resulting action.
type Verdict struct {
	Class  Class
	Action Action
}

// Classify determines the class of an attempt and the resulting action. It never starts a task
// again while an attempt of the task may still be running: it returns Replace only for Absent
// and Ended, which prove that the attempt is gone.
func Classify(e Evidence) Verdict {
	switch e.Observation {
	case Unreported:
		if !e.JobIsLive {
			return Verdict{Obsolete, Stop} // the records alone show it
		}
		return Verdict{MissingUnproven, Await}
	case Absent:
		return Verdict{MissingProven, e.replaceOrDrop()}
	case Completed:
		if e.taskIsNeeded() {
			return Verdict{FinishedUnrecorded, RecordDone}
		}
		return Verdict{Obsolete, Drop}
	case Ended:
		if e.Recorded {
			return Verdict{Failed, e.replaceOrDrop()}
		}
		return Verdict{Obsolete, Drop}
	}
	return classifyActive(e)
}

// taskIsNeeded reports whether the task still has to run to completion.
func (e *Evidence) taskIsNeeded() bool { return e.JobIsLive && !e.TaskIsDone }

// replaceOrDrop returns the action for an attempt that is proven to be gone.
func (e *Evidence) replaceOrDrop() Action {
	if e.taskIsNeeded() && !e.HasPreferredDuplicate {
		return Replace
	}
	return Drop
}

func classifyActive(e Evidence) Verdict {
	switch {
	case !e.taskIsNeeded():
		return Verdict{Obsolete, Stop}
	case e.HasPreferredDuplicate:
		return Verdict{Superseded, Stop}
	case e.Recorded:
		return Verdict{Confirmed, Keep}
	case e.MachineAllowed && !e.OverQuota:
		return Verdict{Unrecorded, Adopt}
	}
	return Verdict{Unrecorded, Stop}
}
