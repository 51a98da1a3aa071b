package scheduler

import "github.com/yarrowgap/yarrowgap/wire"

// clusterState has the machines, the live jobs and what runs of them, with the sums
// that follow from it: what is in use by team, and what failed lately.
type clusterState struct {
	machines       map[string]*machine
	machinesByName []*machine // in that order; nil after a machine was added or removed
	machineTypes   map[string]*wire.MachineType
	jobs           map[string]*job
	usage          map[string]*TeamQuota // in use by team, in CPUs and GPUs
	released       map[string]bool       // machines released in this term; names are never reused
	failures       []Failure             // the latest failed attempts

	// obsoleteAttempts are recorded attempts whose job had ended or was cancelled when
	// the term began, until they are stopped.
	obsoleteAttempts []*attempt
}
