package tuning

import "time"

// Sizes of records in the key-value store.
const (
	// ValueSizeMargin is the share of the store's value limit that records leave unused, because
	// the store may measure a value's size differently.
	ValueSizeMargin = 0.1
	// TasksPerBitmap is the number of tasks whose completion bits one value holds. 8192 bits
	// take 1.4 KB in base64, which fits the smallest value limit together with the job.
	TasksPerBitmap = 8192
	// MaxTxnBytes is the maximum size of a transaction of the leader in JSON, in bytes; the store's
	// limit is 64 KiB. MaxTxnKeyBytes is what the keys and conditions of a transaction with a
	// single record take of it. MaxBatchBytes is the maximum size of one batch of assignments.
	MaxTxnBytes    = 60 << 10
	MaxTxnKeyBytes = 1 << 10
	MaxBatchBytes  = 24 << 10
	// MaxRecordedImages is the maximum number of a machine's images that its record holds.
	MaxRecordedImages = 6
)

// The leader's write budget.
const (
	// BatchWriteShare is the largest share of the deployment's write rate at which batches of
	// assignments are written. Each batch also costs a delete later. Tasks placed between two
	// batches share the next one.
	BatchWriteShare = 0.3
	// ProgressWriteShare is the largest share of the write rate at which the completed tasks of
	// unfinished jobs are written. StartWriteReserve is the share of a second's writes that
	// these writes leave for starts.
	ProgressWriteShare = 0.25
	StartWriteReserve  = 0.25
	// DoneFlushDelay is how long the completed tasks of an unfinished job wait to share one write.
	// They wait longer if ProgressWriteShare does not allow the writes of all such jobs. A crash
	// meanwhile loses nothing: workers list completed tasks until they are told to forget them.
	DoneFlushDelay = 1200 * time.Millisecond
)

// Compaction of batches.
const (
	// BatchCompactionThreshold is the number of batches above which the assignments of old batches
	// that are still needed are written again, if they are at most a quarter of a batch.
	// MaxCompactedAttempts bounds how many are queued for that at a time.
	BatchCompactionThreshold = 32
	MaxCompactedAttempts     = 100
	// BatchRewriteAge is the minimum age of a batch before it is written again without the
	// assignments that have ended. The rewrite only spares a new leader the wait for a
	// heartbeat.
	BatchRewriteAge = 4 * time.Second
)
