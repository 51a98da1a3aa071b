package controller

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/kvstore"
	"github.com/yarrowgap/yarrowgap/internal/peer"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Query handles GET /v2/runs/{id}, which asks for the state of a job.
func (c *Controller) Query(ctx context.Context, id string, origin Origin) Answer {
	if !wire.ValidJobID(id) {
		return jobNotFoundAnswer
	}
	answer := c.answerInTime(ctx, peer.KindQuery, origin, func() Answer { return c.answerQuery(ctx, id, origin) })
	switch {
	case answer.Status != http.StatusServiceUnavailable:
		c.queryGaps.answered(id)
	case c.queryGaps.failed(id, time.Now(), c.storeState()):
		c.reportUnanswered(id)
	}
	return answer
}

// storeState returns whether the key-value store served the last request of this controller.
func (c *Controller) storeState() storeState {
	if c.store.UnavailableFor() > 0 {
		return storeFailing
	}
	return storeServing
}

func (c *Controller) answerQuery(ctx context.Context, id string, origin Origin) Answer {
	release, refusal := c.admission.admitQueryOrCancel()
	if release == nil {
		c.requestCounts.add(peer.KindQuery, refusal)
		return overloadedAnswer
	}
	defer release()
	ctx, cancel := context.WithTimeout(ctx, tuning.LocalQueryTimeout)
	defer cancel()
	snapshot, err := c.lookUpJob(ctx, id)
	if err != nil {
		return userRequest{c, peer.ForwardRequest{Kind: peer.KindQuery, ID: id}, origin}.forwardOrRefuse(err)
	}
	c.requestCounts.add(peer.KindQuery, outcomeAnswered)
	if !snapshot.found {
		return jobNotFoundAnswer.during(snapshot.validity())
	}
	return Answer{Status: http.StatusOK, View: &snapshot.view, validity: snapshot.validity()}
}

// lookUpJob returns a job's state as of some time after the call began. An error means that the state
// cannot be determined now. If the read took long or the process was paused after it, the state is
// read again, since another controller may have told the user a newer state meanwhile.
func (c *Controller) lookUpJob(ctx context.Context, id string) (snapshot jobSnapshot, err error) {
	err = readUntilValid(func() (validity, error) {
		snapshot, err = jobReader{c, id}.read(ctx)
		return snapshot.validity(), err
	})
	return snapshot, err
}

// readUntilValid repeats a read until its result has not expired. It returns the error of a read
// that fails.
func readUntilValid(read func() (validity, error)) error {
	for {
		//mutation:reply-staleness
		if v, err := read(); err != nil || !v.expired(time.Now()) {
			return err
		}
	}
}

// jobReader reads the state of one job. Its methods are called without the lock.
type jobReader struct {
	controller *Controller
	id         string
}

// jobSnapshot is a job's state as of readAt, when the read was sent that shows it, or later. found is
// false if the job was never accepted.
type jobSnapshot struct {
	view        wire.JobView
	found       bool
	readAt      time.Time
	finalSeenAt time.Time // of a final state: when it was first seen in the key-value store
}

// validity returns the time in which the state may be told to a user.
func (s jobSnapshot) validity() validity {
	if s.found && isFinal(s.view.State) {
		return finalStateSeenAt(s.finalSeenAt)
	}
	return stateReadAt(s.readAt)
}

// read reads the job's state once. It brings the replica up to date and reads the state from it,
// or from the key-value store if the replica cannot tell whether the job exists.
func (r jobReader) read(ctx context.Context) (snapshot jobSnapshot, err error) {
	if ended, ok := r.endedInReplica(); ok { // the state of an ended job is final
		return ended, nil
	}
	//mutation:query-reads-fresh
	if snapshot.readAt, err = r.controller.jobSync.refresher.refresh(ctx); err != nil {
		return snapshot, err
	}
	snapshot, resetCount, conclusive := r.readReplica(snapshot.readAt)
	if conclusive {
		return snapshot, nil
	}
	return r.readEndedRecord(ctx, snapshot.readAt, resetCount)
}

func (r jobReader) endedInReplica() (snapshot jobSnapshot, ok bool) {
	c := r.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	ended, ok := c.replication.replica.CachedEnded(r.id)
	if !ok {
		return snapshot, false
	}
	return c.endedSnapshot(r.id, ended, time.Now()), true
}

// readReplica reads the job's state from the replica, which was brought up to date at readAt.
// conclusive is false if the replica cannot tell whether the job exists, since it keeps only some
// of the ended jobs. resetCount is how often the replica had been reset by then.
func (r jobReader) readReplica(readAt time.Time) (snapshot jobSnapshot, resetCount int, conclusive bool) {
	c, id := r.controller, r.id
	c.mu.Lock()
	defer c.mu.Unlock()
	snapshot.readAt = readAt
	if live := c.replication.replica.Live[id]; live != nil {
		snapshot.view, snapshot.found = c.liveView(id, live), true
		snapshot.finalSeenAt = c.replication.revisions.seenAt(live.ModRevision, time.Now())
	}
	if ended, ok := c.replication.replica.CachedEnded(id); ok {
		snapshot = c.endedSnapshot(id, ended, readAt)
	}
	return snapshot, c.replication.replica.Resets, snapshot.found || c.replication.replica.Absent(id)
}

// readEndedRecord reads the record of a job that is not live from the key-value store. The replica
// remembers the result, so that repeated queries for an ID need no further read. The read has low
// priority: queries for many jobs that nobody submitted must not use up the request rate that
// queries for existing jobs need. The replica, as read at notLiveAt, showed that the job is not live;
// it had been reset resetCount times before.
func (r jobReader) readEndedRecord(ctx context.Context, notLiveAt time.Time, resetCount int) (jobSnapshot, error) {
	c, id := r.controller, r.id
	item, err := c.store.Get(ctx, kvstore.PriorityBackground, records.EndedJobKey(id))
	//mutation:absence-since-first-read
	absent := jobSnapshot{readAt: notLiveAt}
	if err != nil {
		return absent, err
	}
	if item.ModRevision == 0 {
		r.cacheAbsence(resetCount)
		return absent, nil
	}
	var record records.EndedJob
	if err := wire.Unmarshal(item.Value, &record); err != nil {
		return absent, fmt.Errorf("decode %s: %w", item.Key, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	ended := scheduler.EndedJob{Record: record, ModRevision: item.ModRevision}
	c.replication.revisions.observe(item.ModRevision, time.Now())
	c.replication.replica.CacheEnded(id, ended)
	return c.endedSnapshot(id, ended, time.Now()), nil
}

// cacheAbsence records in the replica that the job does not exist, as found by a read that was
// sent when the replica had been reset resetCount times.
func (r jobReader) cacheAbsence(resetCount int) {
	c := r.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	// While the read was in flight, the job may have been created and have ended in changes that
	// a reset skipped. The replica would then report it as absent permanently.
	//mutation:absence-across-reset
	if c.replication.replica.Resets == resetCount {
		c.replication.replica.MarkAbsent(r.id)
	}
}

// endedSnapshot describes an ended job for a user's request. Called with the lock held.
func (c *Controller) endedSnapshot(id string, ended scheduler.EndedJob, readAt time.Time) jobSnapshot {
	return jobSnapshot{
		view:        wire.JobView{ID: id, State: ended.Record.State, Done: ended.Record.Done},
		found:       true,
		readAt:      readAt,
		finalSeenAt: c.replication.revisions.seenAt(ended.ModRevision, time.Now()),
	}
}

// liveView describes a live job for a user's request. Done counts only the tasks in the first chunk
// of the done bitmap, which is part of the job's record. If the job is cancelled, liveView records
// the cancellation as confirmed, since the answer confirms it to the user. Called with the lock
// held.
func (c *Controller) liveView(id string, live *scheduler.LiveJob) wire.JobView {
	view := wire.JobView{ID: id, State: wire.JobPending}
	done := records.NewBitmap(live.Record.Job.Tasks)
	if done.MergeChunk(0, live.Record.Done) == nil {
		view.Done = done.Count()
	}
	if c.leadership.leading() {
		view.Running = c.leadership.scheduler.View().RunningTasksOf(id)
	} else if leader := c.membership.leaderPeer(); leader != nil {
		view.Running = leader.runningTasks[id]
	}
	switch {
	case live.Record.Cancelled:
		c.confirmCancellation(id)
		view.State, view.Running = wire.JobCancelled, 0
	case view.Running > 0:
		view.State = wire.JobRunning
	}
	return view
}
