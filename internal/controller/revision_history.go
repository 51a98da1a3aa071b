package controller

import (
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// revisionHistory records when this controller first saw the recent revisions of the key-value
// store. Its zero value is empty. Guarded by Controller.mu.
type revisionHistory struct {
	sightings []revisionSighting // ascending by revision and by time
}

// revisionSighting is the first time at which an answer of the key-value store showed a revision or
// a later one.
type revisionSighting struct {
	revision uint64
	seenAt   time.Time
}

// observe records that an answer shows the store at a revision. It drops sightings that are no longer
// needed to tell which revisions were seen tuning.FinalAnswerDelay ago.
func (h *revisionHistory) observe(revision uint64, now time.Time) {
	if count := len(h.sightings); count > 0 && h.sightings[count-1].revision >= revision {
		return
	}
	h.sightings = append(h.sightings, revisionSighting{revision, now})
	for len(h.sightings) > 1 && now.Sub(h.sightings[1].seenAt) > tuning.FinalAnswerDelay {
		h.sightings = h.sightings[1:]
	}
}

// seenAt returns a time at which the store had the revision: the first that is known, or now if the
// revision has not been seen.
func (h *revisionHistory) seenAt(revision uint64, now time.Time) time.Time {
	for _, sighting := range h.sightings {
		if sighting.revision >= revision {
			return sighting.seenAt
		}
	}
	return now
}
