package scheduler

import "time"

// termContext is the state that the parts of a scheduler share: the settings, the term, the
// time of the current input, and the effects and counters that handling the input adds to.
// Each part embeds it.
type termContext struct {
	settings  Settings
	term      uint64
	startedAt time.Duration // when the term started
	now       Now           // time of the latest input
	effects   Effects
	counters  Counters

	nextEffectID   uint64
	leaseHeldUntil time.Duration // this process is certainly the leader until then; see holdsLease
}
