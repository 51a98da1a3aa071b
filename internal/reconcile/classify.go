package reconcile

// Class is the one class that an attempt from before the term falls into.
type Class uint8

// Classes of attempts. None is that of attempts of the term itself.
const (
	None Class = iota
	// MissingUnproven is recorded, and nothing shows yet whether it is there.
	MissingUnproven
	// MissingProven is recorded, and proven to be gone.
	MissingProven
	// Confirmed is recorded, and its worker lists it.
	Confirmed
	// Failed is recorded, and has ended without completing.
	Failed
	// FinishedUnrecorded has completed, and its task was not recorded as done.
	FinishedUnrecorded
	// Unrecorded is listed by a worker, and no record names it.
	Unrecorded
	// Superseded is listed beside another attempt of its task.
	Superseded
	// Obsolete is recorded or listed although its job has ended, or its task is recorded
	// as done.
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

// ParseClass finds a class by its name. There is none for None.
func ParseClass(name string) (Class, bool) {
	for c, n := range classNames {
		if n == name && Class(c) != None {
			return Class(c), true
		}
	}
	return None, false
}

// Action is what a leader has to do about an attempt.
type Action uint8

// Actions. Only Replace and Stop lead to operations on machines.
const (
	// Keep leaves the attempt as it is.
	Keep Action = iota
	// Await waits for a heartbeat, or for the release of the machine.
	Await
	// Replace starts the task again, as a new attempt.
	Replace
	// Drop forgets the attempt, which is not needed any more.
	Drop
	// Adopt keeps and records an attempt that runs without a record.
	Adopt
	// Stop ends the attempt on its machine.
	Stop
	// RecordDone records that the task is done.
	RecordDone

	actionCount
)

var actionNames = [actionCount]string{
	Keep: "keep", Await: "await", Replace: "replace", Drop: "drop", Adopt: "adopt", Stop: "stop", RecordDone: "record-done",
}

func (a Action) String() string { return actionNames[a] }

// Observation is how a worker's heartbeat lists an attempt.
type Observation uint8

// Observations.
const (
	// Unreported means that there was no heartbeat of the worker yet.
	Unreported Observation = iota
	// Absent means that a heartbeat, or the machine's release, proves that it is gone.
	Absent
	// Active means that it fetches its image, runs or writes a checkpoint.
	Active
	// Completed means that it has ended, and its task is done.
	Completed
	// Ended means that it has ended otherwise.
	Ended

	observationCount
)

// Evidence is what is known of an attempt from before the term.
type Evidence struct {
	Observation    Observation
	Recorded       bool // a record names the attempt
	JobIsLive      bool // its job has a live record and is not cancelled
	TaskIsDone     bool // its task is recorded as done
	HasDuplicate   bool // another attempt of its task has the better claim
	MachineAllowed bool // its job allows the machine
	OverQuota      bool // its team's quota limit leaves no space for it
}

// Verdict is an attempt's class and what follows from it.
type Verdict struct {
	Class  Class
	Action Action
}

// Classify gives the one verdict on an attempt. It never starts a task again while an
// attempt of it may still be there: Replace needs the proof that Absent and Ended are.
func Classify(e Evidence) Verdict {
	switch e.Observation {
	case Unreported:
		if !e.JobIsLive {
			return Verdict{Obsolete, Stop} // the record alone says so
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

// taskIsNeeded reports whether the task still has to be run to completion.
func (e *Evidence) taskIsNeeded() bool { return e.JobIsLive && !e.TaskIsDone }

// replaceOrDrop is what follows from an attempt that is proven to be gone.
func (e *Evidence) replaceOrDrop() Action {
	if e.taskIsNeeded() && !e.HasDuplicate {
		return Replace
	}
	return Drop
}

func classifyActive(e Evidence) Verdict {
	switch {
	case !e.taskIsNeeded():
		return Verdict{Obsolete, Stop}
	case e.HasDuplicate:
		return Verdict{Superseded, Stop}
	case e.Recorded:
		return Verdict{Confirmed, Keep}
	case e.MachineAllowed && !e.OverQuota:
		return Verdict{Unrecorded, Adopt}
	}
	return Verdict{Unrecorded, Stop}
}
