package api_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/api"
	"github.com/yarrowgap/yarrowgap/internal/policy"
	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Size of the cluster that startLoadedCluster starts.
const (
	reconcileMachines = 50
	tasksPerMachine   = 4 // tasks of one CPU on a machine with four CPUs
	reconcileTasks    = reconcileMachines * tasksPerMachine
)

// waitUntilSettled waits until the leader's reconciliation is settled, which means that all its
// operations are done.
func (c *cluster) waitUntilSettled() (status reconcile.Status) {
	c.tb.Helper()
	c.eventually("a settled reconciliation", func() bool {
		for i := range c.userAddrs {
			if c.getOperatorView(i, "/recovery", &status) == http.StatusOK && status.Phase == reconcile.Settled.String() {
				return true
			}
		}
		return false
	})
	return status
}

// startLoadedCluster starts three controllers and runs long tasks that fill fifty machines.
func startLoadedCluster(t *testing.T) *cluster {
	t.Helper()
	settings := policy.Defaults(policy.CostInsensitive)
	settings.ReconcileRestarts, settings.HeadroomShare = true, 0
	c := startClusterWith(t, 3, settings, 2*reconcileTasks)
	const jobs = 10
	for i := range jobs {
		job := newJob(1+i, reconcileTasks/jobs)
		c.simulation.UploadJob(job, time.Hour)
		c.submitUntilCreated(i%3, job)
	}
	c.waitUntilAllRunning()
	if n := len(c.simulation.MachineNames()); n != reconcileMachines {
		t.Fatalf("%d machines, want %d", n, reconcileMachines)
	}
	return c
}

// waitUntilAllRunning waits until all tasks of startLoadedCluster are active on machines.
func (c *cluster) waitUntilAllRunning() {
	c.tb.Helper()
	c.eventually("all tasks on machines", func() bool {
		running := 0
		for _, machine := range c.simulation.MachineNames() {
			running += c.simulation.ActiveAttempts(machine)
		}
		return running == reconcileTasks
	})
}

// firstUnknownJob is the number of the first job that no controller knows.
const firstUnknownJob = 900

// waitUntilUnknownJobsLeaveRecords waits until no stored assignment names a job that no controller
// knows. Until then a new leader has to stop its attempts, which may have ended.
func (c *cluster) waitUntilUnknownJobsLeaveRecords() {
	c.tb.Helper()
	c.eventually("records without unknown jobs", func() bool {
		for _, item := range c.simulation.KeysWithPrefix(records.BatchPrefix) {
			batch, err := records.DecodeBatch(item.Value)
			if err != nil {
				c.tb.Fatal(err)
			}
			if slices.ContainsFunc(batch.Jobs, func(id string) bool { return id >= jobID(firstUnknownJob) }) {
				return false
			}
		}
		return true
	})
}

// injectDifferences makes the state of machines differ from the records while the controllers are
// down. It returns how many operations on machines and in the cloud the differences require.
func (c *cluster) injectDifferences(seed uint64) (required simulator.OperationCounts) {
	random := rand.New(rand.NewPCG(seed, 5))
	machines := c.simulation.MachineNames()
	random.Shuffle(len(machines), func(a, b int) { machines[a], machines[b] = machines[b], machines[a] })
	takeMachines := func(limit int) (taken []string) {
		n := 1 + random.IntN(limit)
		taken, machines = machines[:n], machines[n:]
		return taken
	}
	// Terminated: their replacements run their tasks again.
	for _, machine := range takeMachines(4) {
		required.Starts += c.simulation.ActiveAttempts(machine)
		required.Provisioned++
		required.Releases++
		c.simulation.TerminateMachine(machine)
	}
	// Restarted: their tasks are lost.
	for _, machine := range takeMachines(6) {
		required.Starts += c.simulation.ActiveAttempts(machine)
		c.simulation.RestartMachine(machine)
	}
	// Restarted, and running a task of a job that no controller knows.
	for i, machine := range takeMachines(4) {
		unknown := newJob(firstUnknownJob+i, 1)
		unknown.CPUs = 0.1
		c.simulation.UploadJob(unknown, time.Hour)
		required.Starts += c.simulation.ActiveAttempts(machine)
		required.Stops++
		c.simulation.RestartMachine(machine)
		c.simulation.StartTask(machine, wire.TaskName(unknown.ID, 0), uint64(i+1))
	}
	// Unreachable for longer than leaders usually wait for a machine's heartbeats.
	for _, machine := range takeMachines(8) {
		c.simulation.PartitionMachine(machine, 8*time.Second)
	}
	return required
}

// All controllers are restarted while fifty machines run tasks. The operations that machines and
// the cloud are requested to execute until the reconciliation is settled must be exactly the
// required ones: none if nothing changed during the restart, otherwise those that follow from
// randomly injected differences.
func TestCommandsAfterColdRestart(t *testing.T) {
	c := startLoadedCluster(t)
	for seed := range uint64(4) {
		name := fmt.Sprintf("differences %d", seed)
		if seed == 0 {
			name = "clean"
		}
		t.Run(name, func(t *testing.T) { runColdRestart(t, c, seed) })
	}
	c.expectNoViolations()
}

func runColdRestart(t *testing.T, c *cluster, seed uint64) {
	t.Helper()
	c.waitUntilUnknownJobsLeaveRecords()
	c.simulation.TakeOperationCounts()
	c.stopAllControllers()
	var required simulator.OperationCounts
	if seed > 0 {
		required = c.injectDifferences(seed)
	}
	c.startAllControllers()
	status := c.waitUntilSettled()
	c.waitUntilAllRunning()
	if got := c.simulation.TakeOperationCounts(); got != required {
		t.Errorf("requested operations %+v, required %+v\n%+v", got, required, status)
	}
	if stops := status.Operations[reconcile.StopOperation.String()]; stops.Total != required.Stops || stops.Attributed != required.Stops {
		t.Errorf("stops counted by the leader: %+v, required %d", stops, required.Stops)
	}
	if seed == 0 && (status.Differences != 0 || status.Classes[reconcile.Confirmed.String()] != reconcileTasks) {
		t.Errorf("after a clean restart: %+v", status)
	}
}

// operatorRefusal is the answer to an operator's query that a controller cannot serve.
type operatorRefusal struct {
	Error      string
	Leader     string
	status     int
	retryAfter string
}

// getRefusal sends an operator's query that controller i cannot serve, and returns the answer.
func (c *cluster) getRefusal(i int, path string) (refusal operatorRefusal) {
	c.tb.Helper()
	response, err := http.Get("http://" + c.userAddrs[i] + api.OperatorPath + path)
	if err != nil {
		c.tb.Fatal(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&refusal); err != nil {
		c.tb.Errorf("%s: %v", path, err)
	}
	refusal.status, refusal.retryAfter = response.StatusCode, response.Header.Get("Retry-After")
	return refusal
}

// Operators' queries about the reconciliation are answered with 400 if a parameter is invalid, and
// with 503 by a follower, which names the leader, and by a controller that has not known any leader
// since it started.
func TestRecoveryEndpoints(t *testing.T) {
	c := startCluster(t, 2)
	c.waitUntilSettled()
	leader := c.leader()
	follower := 1 - leader
	c.eventually("a follower that knows the leader", func() bool {
		var view struct{ Leader string }
		return c.getOperatorView(follower, "/leader", &view) == http.StatusOK && view.Leader != ""
	})
	for path, want := range map[string]int{
		"/recovery": 200, "/recovery/differences": 200, "/recovery/differences?class=missing-proven&skip=3&most=500": 200,
		"/recovery/differences?class=lost": 400, "/recovery/differences?skip=-1": 400, "/recovery/differences?most=0": 400,
		"/recovery/differences?most=501": 400, "/recovery/differences?most=many": 400, "/recovery/differences?page=2": 400,
	} {
		if got := c.getOperatorView(leader, path, nil); got != want {
			t.Errorf("%s: %d, want %d", path, got, want)
		}
	}
	var differences []reconcile.DifferenceView
	if c.getOperatorView(leader, "/recovery/differences", &differences) != http.StatusOK || differences == nil {
		t.Errorf("an empty page is %v", differences)
	}
	for _, path := range []string{"/recovery", "/recovery/differences"} {
		if got := c.getRefusal(follower, path); got.status != http.StatusServiceUnavailable || got.Leader != controllerName(leader) {
			t.Errorf("%s at the follower: %+v", path, got)
		}
	}
	c.simulation.StartKVStoreOutage() // no controller can be elected
	c.stopAllControllers()
	c.startAllControllers()
	if got := c.getRefusal(0, "/recovery"); got.status != http.StatusServiceUnavailable || got.Error == "" || got.retryAfter == "" {
		t.Errorf("before any reconciliation: %+v", got)
	}
}
