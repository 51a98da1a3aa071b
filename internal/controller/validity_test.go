package controller

import (
	"context"
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yarrowgap/yarrowgap/internal/peer"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// answerModel draws when a final state is committed, told by one controller and missed by a read of
// another one, in simulated time.
type answerModel struct {
	t           *rapid.T
	committedAt time.Time
}

// after draws a time that is up to maxMilli ms, in steps of a tenth, after an earlier one.
func (m answerModel) after(earlier time.Time, maxMilli int, label string) time.Time {
	return earlier.Add(time.Duration(rapid.IntRange(0, 10*maxMilli).Draw(m.t, label)) * time.Millisecond / 10)
}

// forward returns an answer's validity as it reaches the controller that forwarded the request.
// Between the two times of each leg of the way, messages may be held up.
func (m answerModel) forward(original validity, final bool, sentAt, receivedAt, answeredAt time.Time) (forwarded validity, arrivedAt time.Time) {
	var reply peer.ForwardReply
	original.addTo(&reply, receivedAt, answeredAt)
	arrivedAt = m.after(answeredAt, 1200, "reply on its way")
	return replyValidity(reply, final, sentAt, arrivedAt), arrivedAt
}

// Guards against a non-final answer that is given after a final one, whatever is held up: reads and
// their answers, forwarded requests and their answers, the processes.
func TestNoAnswerIsOlderThanFinalOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := answerModel{t, time.Now()}
		var sightings revisionHistory
		start := m.committedAt.Add(-300 * time.Millisecond)

		// One controller sees the final state at revision 7, perhaps with a later one.
		sightings.observe(uint64(rapid.IntRange(1, 6).Draw(t, "earlier revision")), start)
		seenAt := m.after(m.committedAt, 900, "commit seen")
		sightings.observe(uint64(rapid.IntRange(7, 9).Draw(t, "seen revision")), seenAt)
		askedAt := m.after(seenAt, 900, "final state asked for")
		sightings.observe(uint64(rapid.IntRange(7, 12).Draw(t, "later revision")), askedAt)
		final := finalStateSeenAt(sightings.seenAt(7, askedAt))
		toldAt := askedAt
		if rapid.Bool().Draw(t, "final state from a peer") {
			final, toldAt = m.forward(final, true, askedAt, askedAt, m.after(askedAt, 500, "final state answered"))
		}
		toldAt = later(toldAt, final.from)

		// Another reads before the commit, and gives the answer much later.
		requestedAt := m.after(start, 300, "request")
		receivedAt := m.after(requestedAt, 400, "forwarded")
		sentAt := m.after(receivedAt, 400, "read sent")
		if !sentAt.Before(m.committedAt) {
			return // the read shows the final state
		}
		answeredAt := m.after(sentAt, 1300, "read answered")
		older, givenAt := stateReadAt(sentAt), answeredAt
		if rapid.Bool().Draw(t, "older state from a peer") {
			older, givenAt = m.forward(older, false, requestedAt, receivedAt, answeredAt)
		}
		givenAt = m.after(givenAt, 1500, "process paused")
		if !older.expired(givenAt) && !givenAt.Before(toldAt) {
			t.Fatalf("an answer from a read of %v before the commit is given %v after the final state was told",
				m.committedAt.Sub(sentAt), givenAt.Sub(toldAt))
		}
	})
}

// Guards against answers that are delayed again long after a job's end: its revision counts as seen
// when it, or a later one, was first seen.
func TestRevisionHistoryKeepsTimeOfFirstSighting(t *testing.T) {
	var history revisionHistory
	start := time.Now()
	if got := history.seenAt(1, start); got != start {
		t.Errorf("a revision that was never seen was seen %v before", start.Sub(got))
	}
	for i := range 1000 {
		history.observe(uint64(10+2*i), start.Add(time.Duration(i)*40*time.Millisecond))
	}
	history.observe(5, start.Add(time.Hour)) // an answer that was overtaken
	now := start.Add(999 * 40 * time.Millisecond)
	if got := now.Sub(history.seenAt(11, now)); got < tuning.FinalAnswerDelay {
		t.Errorf("an old revision was seen only %v ago", got)
	}
	if got := history.seenAt(10+2*999-3, now); got != now.Add(-40*time.Millisecond) {
		t.Errorf("a recent revision was seen %v ago", now.Sub(got))
	}
	if count := len(history.sightings); count > 20 {
		t.Errorf("%d sightings are kept", count)
	}
}

// Guards against an answer that expired before it could be given: the request is served again, and
// the user is asked to retry if that never helps.
func TestExpiredAnswerIsNotGiven(t *testing.T) {
	c := newTestController(t)
	expired := Answer{Status: http.StatusOK, validity: stateReadAt(time.Now().Add(-tuning.MaxAnswerAge))}
	serveAfter := func(attempts int) func() Answer {
		return func() Answer {
			if attempts--; attempts >= 0 {
				return expired
			}
			return Answer{Status: http.StatusOK, State: &wire.JobStateReply{State: wire.JobPending}, validity: stateReadAt(time.Now())}
		}
	}
	if a := c.answerInTime(t.Context(), peer.KindQuery, FromUser, serveAfter(2)); a.jobState() != wire.JobPending {
		t.Errorf("answer %+v", a)
	}
	if a := c.answerInTime(t.Context(), peer.KindQuery, FromUser, func() Answer {
		time.Sleep(tuning.StaleAnswerRetryTime)
		return expired
	}); a.Status != http.StatusServiceUnavailable {
		t.Errorf("an expired answer was given: %+v", a)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if a := c.answerInTime(ended, peer.KindQuery, FromUser, func() Answer {
		return Answer{Status: http.StatusOK, validity: finalStateSeenAt(time.Now())}
	}); a.Status != http.StatusServiceUnavailable {
		t.Errorf("a final answer was given too early: %+v", a)
	}
}

// Guards against an answer whose age counts from the arrival of the read's reply, which may have been
// held up after the key-value store had made it.
func TestAgeOfReadCountsFromItsRequest(t *testing.T) {
	c, _, received, proceed := newControllerWithStore(t, func(r *http.Request) bool { return r.URL.Path == "/changes" })
	if err := c.jobSync.reload(t.Context()); err != nil {
		t.Fatal(err)
	}
	var executedAt time.Time
	go func() {
		<-received
		executedAt = time.Now()
		close(proceed)
	}()
	sentAt, err := c.jobSync.refresher.refresh(t.Context())
	if err != nil || sentAt.After(executedAt) {
		t.Errorf("the read counts as sent %v after it was executed, error %v", sentAt.Sub(executedAt), err)
	}
}

// Guards against a job whose absence counts from the second of the two reads that show it: the job may
// have been accepted and have ended in between.
func TestAbsenceCountsFromItsFirstRead(t *testing.T) {
	const id = "run-000001"
	c, _, received, proceed := newControllerWithStore(t, func(r *http.Request) bool { return r.URL.Path == "/kv/"+records.EndedJobKey(id) })
	var executedAt time.Time
	go func() {
		<-received
		executedAt = time.Now()
		close(proceed)
	}()
	snapshot, err := jobReader{c, id}.read(t.Context())
	if err != nil || snapshot.found || !snapshot.readAt.Before(executedAt) {
		t.Errorf("%+v, the ended job was read at %v, error %v", snapshot, executedAt, err)
	}
}
