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

// Query answers GET /v2/runs/{id}.
func (c *Controller) Query(ctx context.Context, id string, origin Origin) Answer {
	if !wire.ValidJobID(id) {
		return jobUnknown
	}
	release, ok := c.admission.admitDecision()
	if !ok {
		return overloaded
	}
	defer release()
	ctx, cancel := context.WithTimeout(ctx, tuning.LocalQueryTimeout)
	defer cancel()
	view, found, err := c.lookUpJob(ctx, id)
	switch {
	case err != nil:
		return userRequest{c, peer.ForwardRequest{Kind: peer.KindQuery, ID: id}, origin}.forwardOrRefuse(err)
	case !found:
		return jobUnknown
	}
	return Answer{Status: http.StatusOK, View: &view}
}

// lookUpJob returns a job's state as of a moment after the call; found is false for one that
// was never accepted, and an error says that this cannot be told now. What was read before a
// process pause is read again: others may have told the user something newer meanwhile.
func (c *Controller) lookUpJob(ctx context.Context, id string) (view wire.JobView, found bool, err error) {
	var reading jobReading
	err = readUntilFresh(func() (readAt time.Time, err error) {
		reading, err = jobReader{c, id}.read(ctx)
		return reading.readAt, err
	})
	return reading.view, reading.found, err
}

// readUntilFresh repeats a read until what was read is as fresh as an answer has to be.
func readUntilFresh(read func() (readAt time.Time, err error)) error {
	for {
		//mutation:reply-staleness
		if readAt, err := read(); err != nil || time.Since(readAt) < tuning.MaxAnswerAge {
			return err
		}
	}
}

// jobReader reads the state of one job. Its methods are called without the lock.
type jobReader struct {
	controller *Controller
	id         string
}

// jobReading is a job's state as of a moment.
type jobReading struct {
	view   wire.JobView
	found  bool
	readAt time.Time
}

// read reads the job's state once: from the replica, brought up to date, or else from the
// record of an ended job.
func (r jobReader) read(ctx context.Context) (reading jobReading, err error) {
	if view, ok := r.endedInReplica(); ok { // which does not change any more
		return jobReading{view, true, time.Now()}, nil
	}
	//mutation:query-reads-fresh
	if reading.readAt, err = r.controller.jobSync.refresher.refresh(ctx); err != nil {
		return reading, err
	}
	reading, resets, known := r.readReplica(reading.readAt)
	if known {
		return reading, nil
	}
	return r.readEndedRecord(ctx, resets)
}

func (r jobReader) endedInReplica() (view wire.JobView, ok bool) {
	c := r.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	ended, ok := c.replication.replica.CachedEnded(r.id)
	return endedView(r.id, ended), ok
}

// readReplica reads the job's state from the replica, which was brought up to date at readAt.
// known is false where the replica, reset so many times by then, cannot tell whether there
// was such a job.
func (r jobReader) readReplica(readAt time.Time) (reading jobReading, resets int, known bool) {
	c, id := r.controller, r.id
	c.mu.Lock()
	defer c.mu.Unlock()
	reading.readAt = readAt
	live := c.replication.replica.Live[id]
	if live != nil {
		reading.view, reading.found = c.liveView(id, live), true
	}
	if ended, ok := c.replication.replica.CachedEnded(id); ok {
		reading.view, reading.found = endedView(id, ended), true
	}
	return reading, c.replication.replica.Resets, reading.found || c.replication.replica.Absent(id)
}

// readEndedRecord reads the record of the job, which is not live, from the key-value store,
// once for each id, and at low priority: queries about many jobs that nobody submitted must not take the
// requests of queries about jobs that exist. Before the read, the replica had been reset so
// many times.
func (r jobReader) readEndedRecord(ctx context.Context, resets int) (jobReading, error) {
	c, id := r.controller, r.id
	item, err := c.store.Get(ctx, kvstore.PriorityBackground, records.EndedJobKey(id))
	reading := jobReading{readAt: time.Now()}
	if err != nil {
		return reading, err
	}
	if item.ModRevision == 0 {
		r.noteAbsent(resets)
		return reading, nil
	}
	var ended records.EndedJob
	if err := wire.Unmarshal(item.Value, &ended); err != nil {
		return reading, fmt.Errorf("decode %s: %w", item.Key, err)
	}
	c.mu.Lock()
	c.replication.replica.CacheEnded(id, ended)
	c.mu.Unlock()
	reading.view, reading.found = endedView(id, ended), true
	return reading, nil
}

// noteAbsent takes note that there is no such job, by a read that was sent when the replica
// had been reset so many times.
func (r jobReader) noteAbsent(resets int) {
	c := r.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	// While the read was out, the job may have been created and have ended in changes that a
	// reset skipped: it would be absent here for good.
	//mutation:absence-across-reset
	if c.replication.replica.Resets == resets {
		c.replication.replica.MarkAbsent(r.id)
	}
}

func endedView(id string, record records.EndedJob) wire.JobView {
	return wire.JobView{ID: id, State: record.State, Done: record.Done}
}

// liveView describes a live job. Called with the lock held.
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
