package records

import (
	"fmt"
	"strings"
)

// Key prefixes. Live jobs, their bitmap chunks after the first, ended jobs, assignments, machine
// types and the leader each have a separate prefix, so that a failover need not read the ended
// jobs.
const (
	JobsPrefix          = "job/" // common prefix of live and ended jobs, for watches
	LiveJobPrefix       = "job/live/"
	EndedJobPrefix      = "job/ended/"
	BitmapPrefix        = "bits/"
	BatchPrefix         = "assigned/"
	LegacyMachinePrefix = "machine/" // the layout before batches: still read, no longer written
	LeaderPrefix        = "lead/"
	MachineTypePrefix   = "type/" // one key per type, since all types together may exceed the value limit
)

// LeaderKey is the key of the leader's record. It is attached to the leader's lease, and its
// modification revision is the leader's term.
const LeaderKey = LeaderPrefix + "leader"

// JobKey returns the key of a live job.
func JobKey(id string) string { return LiveJobPrefix + id }

// EndedJobKey returns the key of an ended job.
func EndedJobKey(id string) string { return EndedJobPrefix + id }

// LegacyMachineKey returns the key of a machine in the layout before batches.
func LegacyMachineKey(name string) string { return LegacyMachinePrefix + name }

// BatchKey returns the key of a batch, which consists of the term of the leader that wrote the batch
// and the batch's number within the term.
func BatchKey(term, number uint64) string { return fmt.Sprintf("%s%d-%d", BatchPrefix, term, number) }

// BitmapKey returns the key of a chunk of a job's done bitmap. The first chunk has no key: it is
// stored in the job's record.
func BitmapKey(id string, chunk int) string { return fmt.Sprintf("%s%s/%d", BitmapPrefix, id, chunk) }

// MachineTypeKey returns the key of a machine type.
func MachineTypeKey(name string) string { return MachineTypePrefix + name }

// IDFromKey returns the part of a key after the prefix.
func IDFromKey(prefix, key string) string { return strings.TrimPrefix(key, prefix) }
