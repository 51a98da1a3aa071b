package api_test

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/policy"
	"github.com/yarrowgap/yarrowgap/internal/reconcile"
	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/wire"
)

// getOperatorView asks node i for an operators' page in JSON.
func (c *cluster) getOperatorView(i int, path string, v any) int {
	resp, err := http.Get("http://" + c.userAddrs[i] + "/yarrowgap/v1" + path)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	if resp.StatusCode == http.StatusOK && v != nil {
		if err := json.Unmarshal(raw, v); err != nil {
			c.t.Fatalf("%s: %v", path, err)
		}
	}
	return resp.StatusCode
}

// waitUntilSettled waits until the leader's recovery is settled, with all that it asked for done.
func (c *cluster) waitUntilSettled() (status reconcile.Status) {
	c.eventually("a settled recovery", func() bool {
		for i := range c.userAddrs {
			if c.getOperatorView(i, "/recovery", &status) == http.StatusOK && status.Phase == reconcile.Settled.String() {
				return true
			}
		}
		return false
	})
	return status
}

// stopAllControllers ends all controllers, and startAllControllers starts them anew at their addresses.
func (c *cluster) stopAllControllers() {
	for i := range c.userAddrs {
		c.stopFuncs[i]()
	}
}

func (c *cluster) startAllControllers() {
	c.stopFuncs = nil
	for i := range c.userAddrs {
		var listeners [2]net.Listener
		for k, addr := range []string{c.userAddrs[i], c.peerAddrs[i]} {
			c.eventually("a free address", func() (ok bool) {
				l, err := net.Listen("tcp", addr)
				listeners[k] = l
				return err == nil
			})
		}
		c.startController(c.ctx, i, listeners[0], listeners[1])
	}
}

const (
	reconcileMachines = 50
	tasksPerMachine   = 4 // that fill a machine
)

// startLoadedCluster starts three controllers and fifty machines that are full of long tasks.
func startLoadedCluster(t *testing.T) *cluster {
	operators := policy.Defaults(false)
	operators.ReconcileRestarts, operators.HeadroomShare = true, 0
	c := startClusterWith(t, 3, operators, 2*reconcileMachines*tasksPerMachine)
	const jobs = 10
	for i := range jobs {
		j := newJob(1+i, reconcileMachines*tasksPerMachine/jobs)
		c.simulation.UploadJob(j, time.Hour)
		c.eventually("acceptance", func() bool { s, _, _ := c.request(i%3, "POST", "/v2/runs", encodeSubmission(t, j)); return s == 201 })
	}
	c.waitUntilAllRunning()
	if n := len(c.simulation.MachineNames()); n != reconcileMachines {
		t.Fatalf("%d machines, not %d", n, reconcileMachines)
	}
	return c
}

// waitUntilAllRunning waits until all tasks are on machines.
func (c *cluster) waitUntilAllRunning() {
	c.eventually("all tasks on machines", func() bool {
		n := 0
		for _, name := range c.simulation.MachineNames() {
			n += c.simulation.ActiveAttempts(name)
		}
		return n == reconcileMachines*tasksPerMachine
	})
}

// injectDifferences makes differences while the controllers are away, and says which orders they
// need.
func (c *cluster) injectDifferences(seed uint64) (need simulator.OrderCounts) {
	rnd := rand.New(rand.NewPCG(seed, 5))
	names := c.simulation.MachineNames()
	rnd.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
	take := func(most int) (taken []string) {
		n := 1 + rnd.IntN(most)
		taken, names = names[:n], names[n:]
		return taken
	}
	for _, name := range take(4) { // gone for good: replaced
		need.Starts += c.simulation.ActiveAttempts(name)
		need.Provisioned++
		need.Releases++
		c.simulation.TerminateMachine(name)
	}
	for _, name := range take(6) { // lost its tasks
		need.Starts += c.simulation.ActiveAttempts(name)
		c.simulation.RestartMachine(name)
	}
	for i, name := range take(4) { // lost its tasks, and runs one that nobody knows
		stray := newJob(900+i, 1)
		stray.CPUs, stray.Team = 0.1, "crew"
		c.simulation.UploadJob(stray, time.Hour)
		need.Starts += c.simulation.ActiveAttempts(name)
		need.Stops++
		c.simulation.RestartMachine(name)
		c.simulation.StartTask(name, wire.TaskName(stray.ID, 0), uint64(i+1))
	}
	for _, name := range take(8) { // late, for longer than a machine is usually given
		c.simulation.PartitionMachine(name, 8*time.Second)
	}
	return need
}

// All controllers end and start anew, with fifty machines at work. What is ordered until
// all is well again is exactly what was needed, by what the stand-ins know: nothing after
// a clean restart, and what follows from generated differences else.
func TestCommandsAfterColdRestart(t *testing.T) {
	c := startLoadedCluster(t)
	for seed := range uint64(4) {
		c.simulation.TakeOrders()
		c.stopAllControllers()
		var need simulator.OrderCounts
		if seed > 0 {
			need = c.injectDifferences(seed)
		}
		c.startAllControllers()
		status := c.waitUntilSettled()
		c.waitUntilAllRunning()
		if got := c.simulation.TakeOrders(); got != need {
			t.Errorf("seed %d: ordered %+v, needed %+v\n%+v", seed, got, need, status)
		}
		if stops := status.Operations[reconcile.StopOperation.String()]; stops.Total != need.Stops || stops.Attributed != need.Stops {
			t.Errorf("seed %d: stops as the leader counts them: %+v, needed %d", seed, stops, need.Stops)
		}
		if seed == 0 && (status.Differences != 0 || status.Classes[reconcile.Confirmed.String()] != reconcileMachines*tasksPerMachine) {
			t.Errorf("after a clean restart: %+v", status)
		}
	}
	if broken := c.simulation.Violations(); len(broken) > 0 {
		t.Error(broken)
	}
}

// The operators' pages say what is wrong with a question, who leads, and that there has
// been no recovery.
func TestRecoveryEndpoints(t *testing.T) {
	c := startCluster(t, 2)
	c.waitUntilSettled()
	leader := 0
	if c.getOperatorView(leader, "/machines", nil) != http.StatusOK {
		leader = 1
	}
	c.eventually("a node that knows who leads", func() bool {
		var view struct{ Leader string }
		return c.getOperatorView(1-leader, "/leader", &view) == http.StatusOK && view.Leader != ""
	})
	var list []reconcile.DifferenceView
	for path, want := range map[string]int{
		"/recovery": 200, "/recovery/differences": 200, "/recovery/differences?class=missing-proven&skip=3&most=500": 200,
		"/recovery/differences?class=lost": 400, "/recovery/differences?skip=-1": 400, "/recovery/differences?most=0": 400,
		"/recovery/differences?most=501": 400, "/recovery/differences?most=many": 400, "/recovery/differences?page=2": 400,
	} {
		if got := c.getOperatorView(leader, path, nil); got != want {
			t.Errorf("%s: %d, want %d", path, got, want)
		}
	}
	if c.getOperatorView(leader, "/recovery/differences", &list) != 200 || list == nil {
		t.Errorf("an empty page is %v", list)
	}
	for _, path := range []string{"/recovery", "/recovery/differences"} {
		resp, err := http.Get("http://" + c.userAddrs[1-leader] + "/yarrowgap/v1" + path)
		if err != nil {
			t.Fatal(err)
		}
		var says struct{ Error, Leader string }
		if err := json.NewDecoder(resp.Body).Decode(&says); err != nil || resp.StatusCode != 503 || says.Leader != fmt.Sprintf("drover-%d", leader) {
			t.Errorf("%s at the other node: %d %+v, %v", path, resp.StatusCode, says, err)
		}
		resp.Body.Close()
	}
	c.simulation.StartKVStoreOutage() // nobody can be elected
	c.stopAllControllers()
	c.startAllControllers()
	var says struct{ Error string }
	resp, err := http.Get("http://" + c.userAddrs[0] + "/yarrowgap/v1/recovery")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&says); err != nil || resp.StatusCode != 503 || says.Error == "" || resp.Header.Get("Retry-After") == "" {
		t.Errorf("before any recovery: %d %+v, %v", resp.StatusCode, says, err)
	}
}
