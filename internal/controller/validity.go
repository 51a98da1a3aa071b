package controller

import (
	"context"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/peer"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// validity is the time in which an answer may be given to a user. It keeps a user who was told that
// a job is done or cancelled from being told an older state afterwards, by any controller:
//
//   - A state that may still change, or that a job does not exist, is given only until
//     tuning.MaxAnswerAge after the read was sent that shows it.
//   - A final state is given only tuning.FinalAnswerDelay after it was first seen in the key-value
//     store. Answers from reads that were sent before then are too old by that time, and later
//     reads show the final state.
//
// The zero value allows an answer at any time; answers that say nothing about a job have it.
type validity struct {
	from  time.Time
	until time.Time // zero: no limit
}

// stateReadAt returns the validity of a state that may still change, shown by a read that was sent
// at sentAt.
func stateReadAt(sentAt time.Time) validity {
	return validity{until: sentAt.Add(tuning.MaxAnswerAge)}
}

// finalStateSeenAt returns the validity of a final state that is in the key-value store since seenAt
// or earlier.
func finalStateSeenAt(seenAt time.Time) validity {
	//mutation:final-answer-delay
	return validity{from: seenAt.Add(tuning.FinalAnswerDelay)}
}

// expired reports whether the answer may no longer be given.
func (v validity) expired(now time.Time) bool {
	return !v.until.IsZero() && !now.Before(v.until)
}

// addTo adds the validity to the reply to a request that was received at receivedAt.
func (v validity) addTo(reply *peer.ForwardReply, receivedAt, now time.Time) {
	if !v.until.IsZero() {
		readSentAt := v.until.Add(-tuning.MaxAnswerAge)
		reply.ReadDelayMilli = max(0, readSentAt.Sub(receivedAt).Milliseconds())
	}
	if !v.from.IsZero() {
		remaining := max(0, v.from.Sub(now))
		reply.SettlesInMilli = 1 + (remaining + time.Millisecond - 1).Milliseconds()
	}
}

// replyValidity returns the validity of a peer's reply to a request that was forwarded at sentAt.
// The time that the reply took counts, as it may have been held up on its way.
func replyValidity(reply peer.ForwardReply, final bool, sentAt, now time.Time) validity {
	switch {
	case !final:
		//mutation:age-of-forwarded-answer
		return stateReadAt(sentAt.Add(milliseconds(reply.ReadDelayMilli)))
	case reply.SettlesInMilli == 0:
		return finalStateSeenAt(now) // a peer of an earlier version
	}
	return validity{from: now.Add(milliseconds(reply.SettlesInMilli - 1))}
}

// answerInTime serves a user's request and returns the answer when it may be given. It serves the
// request again if the answer is too old by then, and asks the user to retry if that takes too long.
// A forwarded request is served once: the controller that the user asked decides about its answer.
func (c *Controller) answerInTime(ctx context.Context, kind peer.RequestKind, origin Origin, serve func() Answer) Answer {
	for startedAt := time.Now(); ; {
		answer := serve()
		if origin == FromPeer {
			return answer
		}
		if wait := time.Until(answer.validity.from); wait > 0 && !sleep(ctx, wait) {
			return unavailableAnswer
		}
		//mutation:expired-answer
		if !answer.validity.expired(time.Now()) {
			return answer
		}
		c.requestCounts.add(kind, outcomeTooOld)
		c.log.Debug("answer too old", "kind", string(kind), "state", answer.jobState(), "took_ms", time.Since(startedAt).Milliseconds())
		if time.Since(startedAt) > tuning.StaleAnswerRetryTime {
			return unavailableAnswer
		}
	}
}
