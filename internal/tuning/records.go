package tuning

import "time"

// Records in the state service.
const (
	// ValueSlack is the part of the value limit that records leave unused, for
	// the difference between our measure and the service's.
	ValueSlack = 0.1
	// BitmapTasks is how many tasks' done bits one value holds: base64 of 8192
	// bits takes 1.4 KB, which fits the smallest value limit with the job.
	BitmapTasks = 8192
	// TxnBytes is up to where a transaction of the leader is filled, and
	// BatchBytes the most that one batch of assigned attempts takes, in JSON: both
	// together stay under the service's 64 KiB.
	TxnBytes   = 36 << 10
	BatchBytes = 24 << 10
	// BatchShare is the share of the deployment's change rate at which batches
	// are written at the most; each is deleted once too. What is placed between
	// two of them shares the next.
	BatchShare = 0.3
	// ProgressShare is the same for the done tasks of unfinished jobs, and
	// WriteReserve how much of a second's changes these leave for starts.
	ProgressShare = 0.25
	WriteReserve  = 0.25
	// BatchesKept is how many batches there may be before what is left of old
	// ones is written again; FoldAttempts bounds how much at a time.
	BatchesKept  = 32
	FoldAttempts = 100
	// MachineTasks is how many tasks a machine may have to list, ended ones that it
	// has not been told to forget included: a report and its answer, at some hundred
	// bytes a task, have to stay under the protocol's 64 KiB.
	MachineTasks = 400
	// ImagesRecorded is how many of a machine's images are recorded with it.
	ImagesRecorded = 6
	// DoneFlush is how long done tasks of an unfinished job may wait for their
	// write, to share one. A crash in between costs nothing: workers list done
	// tasks until they are told to forget them.
	DoneFlush = 1200 * time.Millisecond
	// RecordFlush is how old a batch has to be before it is written again without
	// what is over. That only spares a new leader waiting for a report.
	RecordFlush = 4 * time.Second
)
