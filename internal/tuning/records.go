package tuning

import "time"

// Records in the state service.
const (
	// ValueSizeMargin is the part of the value limit that records leave unused, for
	// the difference between our measure and the service's.
	ValueSizeMargin = 0.1
	// TasksPerBitmap is how many tasks' done bits one value holds: base64 of 8192
	// bits takes 1.4 KB, which fits the smallest value limit with the job.
	TasksPerBitmap = 8192
	// MaxTxnBytes is up to where a transaction of the leader is filled, and
	// MaxBatchBytes the most that one batch of assigned attempts takes, in JSON: both
	// together stay under the service's 64 KiB.
	MaxTxnBytes   = 36 << 10
	MaxBatchBytes = 24 << 10
	// BatchWriteShare is the share of the deployment's change rate at which batches
	// are written at the most; each is deleted once too. What is placed between
	// two of them shares the next.
	BatchWriteShare = 0.3
	// ProgressWriteShare is the same for the done tasks of unfinished jobs, and
	// StartWriteReserve how much of a second's changes these leave for starts.
	ProgressWriteShare = 0.25
	StartWriteReserve  = 0.25
	// BatchCompactionThreshold is how many batches there may be before what is left of old
	// ones is written again; MaxCompactedAttempts bounds how much at a time.
	BatchCompactionThreshold = 32
	MaxCompactedAttempts     = 100
	// MaxTasksPerMachine is how many tasks a machine may have to list, ended ones that it
	// has not been told to forget included: a report and its answer, at some hundred
	// bytes a task, have to stay under the protocol's 64 KiB.
	MaxTasksPerMachine = 400
	// MaxRecordedImages is how many of a machine's images are recorded with it.
	MaxRecordedImages = 6
	// DoneFlushDelay is how long done tasks of an unfinished job may wait for their
	// write, to share one. A crash in between costs nothing: workers list done
	// tasks until they are told to forget them.
	DoneFlushDelay = 1200 * time.Millisecond
	// BatchRewriteAge is how old a batch has to be before it is written again without
	// what is over. That only spares a new leader waiting for a report.
	BatchRewriteAge = 4 * time.Second
)
