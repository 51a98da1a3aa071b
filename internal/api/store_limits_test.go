package api_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/controller"
	"github.com/yarrowgap/yarrowgap/internal/policy"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/wire"
)

// lowKVStoreLimits are lower limits than those of the tests' settings. The assignments of
// wideJobTasks machines do not fit into one value under them.
var lowKVStoreLimits = simulator.KVStoreLimits{MaxTxnOps: 4, MaxValueBytes: 2 << 10, WriteRate: 100}

const wideJobTasks = 30

// newWideJob makes an array of tasks that each take a whole machine.
func newWideJob(n int) *wire.Job {
	job := newJob(n, wideJobTasks)
	job.CPUs = 4
	return job
}

// startClusterForWideJobs starts controllers whose team may use the machines of one wide job.
func startClusterForWideJobs(t *testing.T, size int) *cluster {
	t.Helper()
	return startClusterWith(t, size, policy.Defaults(policy.CostInsensitive), 4*wideJobTasks)
}

// Guards against review case 1: after the key-value store had lowered its limits, the leader tried
// a batch of assignments that was too large for them again for ever, so that nothing started.
func TestJobsRunAfterStoreLowersItsLimits(t *testing.T) {
	c := startClusterForWideJobs(t, 2)
	before := newJob(1, 4)
	c.simulation.UploadJob(before, 50*time.Millisecond)
	c.submitUntilCreated(0, before)
	c.waitUntilDone(1, before.ID)

	c.simulation.SetKVStoreLimits(lowKVStoreLimits)
	c.runWideJob(0, 2)
	leader := c.leader()
	if metrics := c.metrics(leader); metrics.StoreTransactions.Rejected == 0 {
		t.Errorf("no rejected transaction was counted: %+v", metrics.StoreTransactions)
	}
	// The next leader has to find the limits for itself.
	c.stopController(leader)
	c.runWideJob(1-leader, 3)
	c.expectNoViolations()
}

// Guards against the second cause of review case 1: the announced limits were not read. With them,
// no transaction is ever rejected.
func TestAnnouncedLimitsCauseNoRejections(t *testing.T) {
	c := &cluster{
		tb: t, policy: policy.Defaults(policy.CostInsensitive), controllers: make([]*runningController, 2),
		announced: "[deployment.state.next]\nwrite_rps = 100.0\nvalue_kb = 2.0\ntxn_ops = 4",
	}
	c.start(4 * wideJobTasks)
	c.runWideJob(0, 1)
	c.simulation.SetKVStoreLimits(lowKVStoreLimits)
	c.runWideJob(1, 2)
	if rejected := c.simulation.RejectedTransactions(); rejected > 0 {
		t.Errorf("%d transactions were rejected", rejected)
	}
	for i := range c.controllers {
		if counts := c.metrics(i).StoreTransactions; counts.Rejected > 0 || counts.RateLimited > 0 {
			t.Errorf("controller %d: %+v", i, counts)
		}
	}
	c.expectNoViolations()
}

// runWideJob submits a wide job to controller i and waits until it says that the job is done.
func (c *cluster) runWideJob(i, n int) {
	c.tb.Helper()
	job := newWideJob(n)
	c.simulation.UploadJob(job, 50*time.Millisecond)
	c.submitUntilAccepted(i, job)
	c.waitUntilDone(i, job.ID)
}

// metrics returns the metrics of controller i.
func (c *cluster) metrics(i int) (metrics controller.Metrics) {
	c.tb.Helper()
	if status := c.getOperatorView(i, "/metrics", &metrics); status != http.StatusOK {
		c.tb.Fatalf("metrics of controller %d: status %d", i, status)
	}
	return metrics
}

// newLongJob makes a service whose record takes about 2 KiB: users may list many machine types.
func newLongJob(n int) *wire.Job {
	job := newJob(n, 2)
	job.Shape, job.Priority, job.MachineTypes = wire.ShapeService, wire.PriorityProduction, []string{"box"}
	for i := range 9 {
		job.MachineTypes = append(job.MachineTypes, fmt.Sprintf("%d%s", i, strings.Repeat("x", 190)))
	}
	return job
}

// Guards against a job that can no longer be cancelled, because its record was stored under a higher
// limit on values than the store has now.
func TestJobOverValueLimitCanBeCancelled(t *testing.T) {
	c := startCluster(t, 2)
	job := newLongJob(1)
	c.simulation.UploadJob(job, 0)
	c.submitUntilCreated(0, job)
	c.eventually("replicas", func() bool { return c.query(0, job.ID).view.Running == job.Tasks })

	c.simulation.SetKVStoreLimits(simulator.KVStoreLimits{MaxTxnOps: 12, MaxValueBytes: 1 << 10})
	c.eventually("cancellation", func() bool {
		got := c.cancel(1, job.ID)
		return got.status == http.StatusOK && got.view.State == wire.JobCancelled
	})
	c.eventually("end of the job", func() bool { return c.simulation.HasKey(records.EndedJobKey(job.ID)) })
	for i := range c.controllers {
		if got := c.query(i, job.ID); got.view.State != wire.JobCancelled {
			t.Errorf("controller %d says %q", i, got.view.State)
		}
	}
	c.expectNoViolations()
}

// Guards against users who try a submission again for a minute that the store cannot take, and
// against a repeated submission of an accepted job that gets 400.
func TestSubmissionOverValueLimitIsRefused(t *testing.T) {
	c := startCluster(t, 2)
	known, long := newLongJob(1), newLongJob(2)
	c.simulation.UploadJob(known, 0)
	c.submitUntilCreated(0, known)
	c.simulation.SetKVStoreLimits(simulator.KVStoreLimits{MaxTxnOps: 12, MaxValueBytes: 1 << 10})
	for i := range c.controllers {
		c.eventually("refusal", func() bool { return c.submit(i, long).status == http.StatusBadRequest })
		if got := c.submit(i, known); got.status != http.StatusOK {
			t.Errorf("the repeated submission of an accepted job gets %d at controller %d", got.status, i)
		}
		if got := c.query(i, long.ID); got.status != http.StatusNotFound {
			t.Errorf("a refused job is known to controller %d with status %d", i, got.status)
		}
	}
	c.expectNoViolations()
}
