package controller

import (
	"context"
	"net/http"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/kvstore"
	"github.com/yarrowgap/yarrowgap/internal/peer"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// lookUpJob tells a job's state as of a moment after the call; found is false for one that
// was never accepted, and an error says that this cannot be told now. What was read
// before this process stood still for a while is read again: others may have told the
// user something newer meanwhile.
func (c *Controller) lookUpJob(ctx context.Context, id string) (view wire.JobView, found bool, err error) {
	err = readUntilFresh(func() (readAt time.Time, err error) {
		view, found, readAt, err = c.readJob(ctx, id)
		return readAt, err
	})
	return view, found, err
}

// readUntilFresh looks until what was read is as fresh as an answer has to be.
func readUntilFresh(read func() (readAt time.Time, err error)) error {
	for {
		//mutation:reply-staleness
		if readAt, err := read(); err != nil || time.Since(readAt) < tuning.MaxAnswerAge {
			return err
		}
	}
}

// readJob is one try of known. It also says when what it tells was read.
func (c *Controller) readJob(ctx context.Context, id string) (view wire.JobView, found bool, readAt time.Time, err error) {
	c.mu.Lock()
	record, ok := c.replication.replica.Ended(id)
	c.mu.Unlock()
	if ok {
		return endedView(id, record), true, time.Now(), nil // for good
	}
	//mutation:query-reads-fresh
	if readAt, err = c.refresh(ctx); err != nil {
		return view, false, readAt, err
	}
	c.mu.Lock()
	live := c.replication.replica.Live[id]
	record, ended := c.replication.replica.Ended(id)
	absent, resets := c.replication.replica.Absent(id), c.replication.replica.Resets
	if live != nil {
		view = c.liveView(id, live)
	}
	c.mu.Unlock()
	if ended {
		return endedView(id, record), true, readAt, nil
	}
	if live != nil || absent {
		return view, live != nil, readAt, nil
	}
	// Once for each id, and behind what others wait for: whoever asks about many
	// that nobody submitted must not take the reads of those that somebody did.
	item, err := c.store.Get(ctx, kvstore.PriorityBackground, records.EndedJobKey(id))
	readAt = time.Now()
	if err != nil {
		return view, false, readAt, err
	}
	if item.ModRevision == 0 {
		c.mu.Lock()
		// While the read was out, the job may have come and ended in changes that a
		// reset passed over: it would be unknown here for good.
		//mutation:absence-across-reset
		if c.replication.replica.Resets == resets {
			c.replication.replica.NoteAbsent(id)
		}
		c.mu.Unlock()
		return view, false, readAt, nil
	}
	if err := wire.Unmarshal(item.Value, &record); err != nil {
		return view, false, readAt, err
	}
	c.mu.Lock()
	c.replication.replica.RememberEnded(id, record)
	c.mu.Unlock()
	return endedView(id, record), true, readAt, nil
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
	if c.leadership.scheduler != nil {
		view.Running = c.leadership.scheduler.RunningTasksOf(id)
	} else if p := c.membership.peers[c.membership.leader.name]; p != nil {
		view.Running = p.runningTasks[id]
	}
	if live.Record.Cancelled {
		c.confirmCancellation(id)
		view.State, view.Running = wire.JobCancelled, 0
	} else if view.Running > 0 {
		view.State = wire.JobRunning
	}
	return view
}

// Query answers GET /v2/runs/{id}.
func (c *Controller) Query(ctx context.Context, id string, forwarded bool) Answer {
	if !wire.ValidJobID(id) {
		return refuse(http.StatusNotFound, "no such job")
	}
	release, ok := c.admit(c.admission.decisionSlots, tuning.MaxDecisionTickLag)
	if !ok {
		return overloaded
	}
	defer release()
	ctx, cancel := context.WithTimeout(ctx, tuning.LocalQueryTimeout)
	defer cancel()
	view, found, err := c.lookUpJob(ctx, id)
	switch {
	case err != nil:
		return c.forwardOrRefuse(forwarded, peer.ForwardRequest{Kind: peer.KindQuery, ID: id}, err)
	case !found:
		return refuse(http.StatusNotFound, "no such job")
	}
	return Answer{Status: http.StatusOK, View: &view}
}
