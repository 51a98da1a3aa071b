package scheduler

import "time"

// termContext is what the parts of a scheduler share: the settings, the term, the time of
// the input that is being handled, and the effects and counts that it adds to. Each part
// embeds it.
type termContext struct {
	settings  Settings
	term      uint64
	startedAt time.Duration // of the term
	now       Now           // time of the latest input
	effects   Effects
	counters  Counters

	nextEffectID   uint64
	leaseHeldUntil time.Duration // leadership is certain until then
}
