package records

import (
	"fmt"
	"strings"
)

// Prefixes of keys. Live jobs, their further bitmap chunks, ended jobs, assignments, machine
// types and the leader have a prefix each, so that a failover reads only what is live.
const (
	JobsPrefix          = "job/" // of live and ended jobs: what a watch covers
	LiveJobPrefix       = "job/live/"
	EndedJobPrefix      = "job/ended/"
	BitmapPrefix        = "bits/"
	BatchPrefix         = "assigned/"
	LegacyMachinePrefix = "machine/" // the layout before batches: read, never written
	LeaderPrefix        = "lead/"
	MachineTypePrefix   = "type/" // a key each: together they may not fit into one value
)

// LeaderKey is the key of the leader's record. It is on the leader's lease, and its
// modification revision is the term.
const LeaderKey = LeaderPrefix + "leader"

// JobKey returns the key of a live job.
func JobKey(id string) string { return LiveJobPrefix + id }

// EndedJobKey returns the key of an ended job.
func EndedJobKey(id string) string { return EndedJobPrefix + id }

// LegacyMachineKey returns the key of a machine in the layout before batches.
func LegacyMachineKey(name string) string { return LegacyMachinePrefix + name }

// BatchKey returns the key of the batch that the leader of the term wrote under the number.
func BatchKey(term, number uint64) string { return fmt.Sprintf("%s%d-%d", BatchPrefix, term, number) }

// BitmapKey returns the key of a chunk of a job's done bits after the first.
func BitmapKey(id string, chunk int) string { return fmt.Sprintf("%s%s/%d", BitmapPrefix, id, chunk) }

// MachineTypeKey returns the key of a machine type.
func MachineTypeKey(name string) string { return MachineTypePrefix + name }

// IDFromKey returns the id in a key with the prefix.
func IDFromKey(prefix, key string) string { return strings.TrimPrefix(key, prefix) }
