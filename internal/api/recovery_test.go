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
	"github.com/yarrowgap/yarrowgap/internal/recovery"
	"github.com/yarrowgap/yarrowgap/internal/standin"
	"github.com/yarrowgap/yarrowgap/wire"
)

// get asks node i for an operators' page in JSON.
func (c *cluster) get(i int, path string, v any) int {
	resp, err := http.Get("http://" + c.addrs[i] + "/yarrowgap/v1" + path)
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

// settled waits until the leader's recovery is settled, with all that it asked for done.
func (c *cluster) settled() (status recovery.Status) {
	c.until("a settled recovery", func() bool {
		for i := range c.addrs {
			if c.get(i, "/recovery", &status) == http.StatusOK && status.Phase == recovery.Settled.String() {
				return true
			}
		}
		return false
	})
	return status
}

// stopAll ends all controllers, and startAll starts them anew at their addresses.
func (c *cluster) stopAll() {
	for i := range c.addrs {
		c.stops[i]()
	}
}

func (c *cluster) startAll() {
	c.stops = nil
	for i := range c.addrs {
		var listeners [2]net.Listener
		for k, addr := range []string{c.addrs[i], c.peerAddrs[i]} {
			c.until("a free address", func() (ok bool) {
				l, err := net.Listen("tcp", addr)
				listeners[k] = l
				return err == nil
			})
		}
		c.run(c.ctx, i, listeners[0], listeners[1])
	}
}

const (
	recoveryMachines = 50
	machineTasks     = 4 // that fill a machine
)

// fifty starts three controllers and fifty machines that are full of long tasks.
func fifty(t *testing.T) *cluster {
	operators := policy.Defaults(false)
	operators.Recovery, operators.SpareShare = true, 0
	c := startWith(t, 3, operators, 2*recoveryMachines*machineTasks)
	const jobs = 10
	for i := range jobs {
		j := job(1+i, recoveryMachines*machineTasks/jobs)
		c.site.Upload(j, time.Hour)
		c.until("acceptance", func() bool { s, _, _ := c.do(i%3, "POST", "/v2/runs", body(t, j)); return s == 201 })
	}
	c.allRun()
	if n := len(c.site.Machines()); n != recoveryMachines {
		t.Fatalf("%d machines, not %d", n, recoveryMachines)
	}
	return c
}

// allRun waits until all tasks are on machines.
func (c *cluster) allRun() {
	c.until("all tasks on machines", func() bool {
		n := 0
		for _, name := range c.site.Machines() {
			n += c.site.Running(name)
		}
		return n == recoveryMachines*machineTasks
	})
}

// changes makes differences while the controllers are away, and says which orders they
// need.
func (c *cluster) changes(seed uint64) (need standin.OrderCounts) {
	rnd := rand.New(rand.NewPCG(seed, 5))
	names := c.site.Machines()
	rnd.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
	take := func(most int) (taken []string) {
		n := 1 + rnd.IntN(most)
		taken, names = names[:n], names[n:]
		return taken
	}
	for _, name := range take(4) { // gone for good: replaced
		need.Starts += c.site.Running(name)
		need.Rented++
		need.Releases++
		c.site.Lose(name)
	}
	for _, name := range take(6) { // lost its tasks
		need.Starts += c.site.Running(name)
		c.site.Restart(name)
	}
	for i, name := range take(4) { // lost its tasks, and runs one that nobody knows
		stray := job(900+i, 1)
		stray.CPUs, stray.Team = 0.1, "crew"
		c.site.Upload(stray, time.Hour)
		need.Starts += c.site.Running(name)
		need.Stops++
		c.site.Restart(name)
		c.site.Start(name, wire.TaskName(stray.ID, 0), uint64(i+1))
	}
	for _, name := range take(8) { // late, for longer than a machine is usually given
		c.site.Silence(name, 8*time.Second)
	}
	return need
}

// All controllers end and start anew, with fifty machines at work. What is ordered until
// all is well again is exactly what was needed, by what the stand-ins know: nothing after
// a clean restart, and what follows from generated differences else.
func TestOrdersAfterAColdRestart(t *testing.T) {
	c := fifty(t)
	for seed := range uint64(4) {
		c.site.Orders()
		c.stopAll()
		var need standin.OrderCounts
		if seed > 0 {
			need = c.changes(seed)
		}
		c.startAll()
		status := c.settled()
		c.allRun()
		if got := c.site.Orders(); got != need {
			t.Errorf("seed %d: ordered %+v, needed %+v\n%+v", seed, got, need, status)
		}
		if stops := status.Orders[recovery.OrderStop.String()]; stops.Total != need.Stops || stops.Traced != need.Stops {
			t.Errorf("seed %d: stops as the leader counts them: %+v, needed %d", seed, stops, need.Stops)
		}
		if seed == 0 && (status.Differences != 0 || status.Classes[recovery.Confirmed.String()] != recoveryMachines*machineTasks) {
			t.Errorf("after a clean restart: %+v", status)
		}
	}
	if broken := c.site.Broken(); len(broken) > 0 {
		t.Error(broken)
	}
}

// The operators' pages say what is wrong with a question, who leads, and that there has
// been no recovery.
func TestRecoveryPages(t *testing.T) {
	c := start(t, 2)
	c.settled()
	leader := 0
	if c.get(leader, "/machines", nil) != http.StatusOK {
		leader = 1
	}
	c.until("a node that knows who leads", func() bool {
		var view struct{ Leader string }
		return c.get(1-leader, "/leader", &view) == http.StatusOK && view.Leader != ""
	})
	var list []recovery.DifferenceView
	for path, want := range map[string]int{
		"/recovery": 200, "/recovery/differences": 200, "/recovery/differences?class=missing-proven&skip=3&most=500": 200,
		"/recovery/differences?class=lost": 400, "/recovery/differences?skip=-1": 400, "/recovery/differences?most=0": 400,
		"/recovery/differences?most=501": 400, "/recovery/differences?most=many": 400, "/recovery/differences?page=2": 400,
	} {
		if got := c.get(leader, path, nil); got != want {
			t.Errorf("%s: %d, want %d", path, got, want)
		}
	}
	if c.get(leader, "/recovery/differences", &list) != 200 || list == nil {
		t.Errorf("an empty page is %v", list)
	}
	for _, path := range []string{"/recovery", "/recovery/differences"} {
		resp, err := http.Get("http://" + c.addrs[1-leader] + "/yarrowgap/v1" + path)
		if err != nil {
			t.Fatal(err)
		}
		var says struct{ Error, Leader string }
		if err := json.NewDecoder(resp.Body).Decode(&says); err != nil || resp.StatusCode != 503 || says.Leader != fmt.Sprintf("drover-%d", leader) {
			t.Errorf("%s at the other node: %d %+v, %v", path, resp.StatusCode, says, err)
		}
		resp.Body.Close()
	}
	c.site.Refuse(true) // nobody can be elected
	c.stopAll()
	c.startAll()
	var says struct{ Error string }
	resp, err := http.Get("http://" + c.addrs[0] + "/yarrowgap/v1/recovery")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&says); err != nil || resp.StatusCode != 503 || says.Error == "" || resp.Header.Get("Retry-After") == "" {
		t.Errorf("before any recovery: %d %+v, %v", resp.StatusCode, says, err)
	}
}
