package tuning

import "time"

// Sizes of records in the key-value store.
const (
	// ValueSizeMargin is the part of the value limit that records leave unused, for the
	// difference between our measure and the store's.
	ValueSizeMargin = 0.1
	// TasksPerBitmap is how many tasks' completion bits one value holds: base64 of 8192 bits
	// takes 1.4 KB, which fits the smallest value limit with the job.
	TasksPerBitmap = 8192
	// MaxTxnBytes is up to where a transaction of the leader is filled, and MaxBatchBytes the
	// most that one batch of assignments takes, in JSON: both together stay under the store's
	// 64 KiB.
	MaxTxnBytes   = 36 << 10
	MaxBatchBytes = 24 << 10
	// MaxRecordedImages is how many of a machine's images are recorded with it.
	MaxRecordedImages = 6
)

// The leader's write budget.
const (
	// BatchWriteShare is the largest share of the deployment's write rate at which batches of
	// assignments are written; each is deleted once too. What is placed between two of them
	// shares the next.
	BatchWriteShare = 0.3
	// ProgressWriteShare is the same for the completed tasks of unfinished jobs, and
	// StartWriteReserve how much of a second's writes these leave for starts.
	ProgressWriteShare = 0.25
	StartWriteReserve  = 0.25
	// DoneFlushDelay is how long completed tasks of an unfinished job may wait for their write,
	// to share one. A crash in between costs nothing: workers list completed tasks until they
	// are told to forget them.
	DoneFlushDelay = 1200 * time.Millisecond
)

// Compaction of batches.
const (
	// BatchCompactionThreshold is how many batches there may be before what is left of old
	// ones is written again; MaxCompactedAttempts bounds how much at a time.
	BatchCompactionThreshold = 32
	MaxCompactedAttempts     = 100
	// BatchRewriteAge is how old a batch has to be before it is written again without what is
	// over. That only spares a new leader waiting for a heartbeat.
	BatchRewriteAge = 4 * time.Second
)
