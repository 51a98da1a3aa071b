package api_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/api"
	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/controller"
	"github.com/yarrowgap/yarrowgap/internal/httpserver"
	"github.com/yarrowgap/yarrowgap/internal/policy"
	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/wire"
)

const (
	// testTeam is the team of all jobs. defaultTeamLimit is its limit in CPUs unless a test sets
	// another.
	testTeam         = "crew"
	defaultTeamLimit = 8.0

	// eventuallyTimeout is the time after which a test fails if an awaited condition does not
	// hold. pollInterval is the time between two checks of the condition.
	eventuallyTimeout = 60 * time.Second
	pollInterval      = 20 * time.Millisecond
)

// cluster runs real controllers against simulated services, all on loopback.
type cluster struct {
	tb            testing.TB
	simulation    *simulator.Deployment
	policy        policy.Settings
	announced     string   // lower limits of the key-value store that the settings announce
	settingsFiles []string // contents of each controller's TOML file, as the platform writes it
	userAddrs     []string // each controller's address for users, workers and operators
	peerAddrs     []string // each controller's address for the other controllers
	controllers   []*runningController
	storeGates    []*gate // between each controller and the key-value store
	peerGates     []*gate // in front of each controller's handler for its peers
}

// runningController is a controller with its HTTP servers, in place of a process.
type runningController struct {
	handler http.Handler // for users, workers, health checks and operators
	stop    func()
}

func startCluster(tb testing.TB, size int) *cluster {
	tb.Helper()
	return startClusterWith(tb, size, policy.Defaults(policy.CostInsensitive), defaultTeamLimit)
}

// startClusterWith starts size controllers with the operators' policy settings and a limit on the
// CPUs of testTeam.
func startClusterWith(tb testing.TB, size int, settings policy.Settings, teamLimit float64) *cluster {
	tb.Helper()
	c := &cluster{tb: tb, policy: settings, controllers: make([]*runningController, size)}
	c.start(teamLimit)
	return c
}

// start starts the controllers of a cluster that has its policy, announced limits and number of
// controllers.
func (c *cluster) start(teamLimit float64) {
	tb, size := c.tb, len(c.controllers)
	tb.Helper()
	var userListeners, peerListeners []net.Listener
	for range size {
		userListener, peerListener := listenLoopback(tb), listenLoopback(tb)
		userListeners, peerListeners = append(userListeners, userListener), append(peerListeners, peerListener)
		c.userAddrs = append(c.userAddrs, userListener.Addr().String())
		c.peerAddrs = append(c.peerAddrs, peerListener.Addr().String())
	}
	c.simulation = c.newSimulation(teamLimit)
	storeAddrs, cloudAddr := c.serveSimulation(size)
	for i := range size {
		c.peerGates = append(c.peerGates, &gate{})
		c.settingsFiles = append(c.settingsFiles, c.renderSettings(i, storeAddrs[i], cloudAddr, teamLimit))
		c.startController(i, userListeners[i], peerListeners[i])
	}
	tb.Cleanup(c.stopAllControllers)
}

func (c *cluster) newSimulation(teamLimit float64) *simulator.Deployment {
	controllers := map[string]string{}
	for i, addr := range c.userAddrs {
		controllers[controllerName(i)] = addr
	}
	return simulator.NewDeployment(simulator.DeploymentConfig{
		MachineTypes: []wire.MachineType{{
			Name: "box", CPUs: 4, MemoryGB: 16, CacheGB: 40, FetchGBPerS: 50, Price: 1, SpotPrice: 0.4, BootS: 5, Zones: []string{"a"},
		}},
		QuotaLimits: map[string]float64{testTeam: teamLimit}, Controllers: controllers,
		BootTime: 200 * time.Millisecond, HeartbeatInterval: 200 * time.Millisecond, LeaseDuration: 12 * time.Second,
	})
}

// serveSimulation serves the cloud, and the key-value store at an address for each controller, until
// the test ends.
func (c *cluster) serveSimulation(controllers int) (storeAddrs []string, cloudAddr string) {
	c.tb.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	c.tb.Cleanup(cancel)
	storeHandler := c.simulation.KVStoreHandler()
	for range controllers {
		storeGate := &gate{}
		store := httptest.NewServer(storeGate.before(storeHandler))
		c.tb.Cleanup(func() {
			store.CloseClientConnections()
			store.Close()
		})
		c.storeGates = append(c.storeGates, storeGate)
		storeAddrs = append(storeAddrs, store.Listener.Addr().String())
	}
	cloud := httptest.NewServer(c.simulation.CloudHandler(ctx))
	c.tb.Cleanup(cloud.Close)
	return storeAddrs, cloud.Listener.Addr().String()
}

func controllerName(i int) string { return fmt.Sprintf("drover-%d", i) }

// renderSettings returns the contents of controller i's settings file.
func (c *cluster) renderSettings(i int, storeAddr, cloudAddr string, teamLimit float64) string {
	var text strings.Builder
	fmt.Fprintf(&text, "node = %q\ndomain = \"a\"\nbind = %q\nmesh_addr = %q\n", controllerName(i), c.userAddrs[i], c.peerAddrs[i])
	for k, addr := range c.peerAddrs {
		if k != i {
			fmt.Fprintf(&text, "[[seeds]]\nnode = %q\ndomain = \"a\"\naddr = %q\n", controllerName(k), addr)
		}
	}
	fmt.Fprintf(&text, "[outside]\nstate = %q\ncloud = %q\n", storeAddr, cloudAddr)
	fmt.Fprintf(&text, `[deployment]
size = 2
zones = ["a"]
clock_error_ms = 25.0
[[deployment.teams]]
name = %q
cpus = 4.0
cpus_max = %.1f
[deployment.workers]
report_s = 0.5
lease_s = 12.0
cancel_s = 40.0
[deployment.state]
rps = 2000.0
write_rps = 500.0
value_kb = 4.0
txn_ops = 12
%s
[deployment.cloud]
rps = 50.0
list_lag_s = 1.0
`, testTeam, teamLimit, c.announced)
	return text.String()
}

// startController starts controller i on its listeners.
func (c *cluster) startController(i int, userListener, peerListener net.Listener) {
	c.tb.Helper()
	cfg, err := config.Parse([]byte(c.settingsFiles[i]))
	if err != nil {
		c.tb.Fatal(err)
	}
	log := slog.New(slog.DiscardHandler)
	ctl := controller.New(cfg, c.policy, log)
	handler := api.NewHandler(ctl, log, func() api.ConnectionLoad { return api.KeepConnections })
	userServer := httpserver.New(handler, api.NonBlocking, log)
	peerServer := &http.Server{Handler: c.peerGates[i].before(api.NewPeerHandler(ctl, log))}
	go func() { _ = userServer.Serve(userListener) }()
	go func() { _ = peerServer.Serve(peerListener) }()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		ctl.Run(ctx)
	}()
	c.controllers[i] = &runningController{handler: handler, stop: sync.OnceFunc(func() {
		userServer.Close()
		peerServer.Close()
		cancel()
		<-done
	})}
}

// stopController stops controller i if it is running.
func (c *cluster) stopController(i int) { c.controllers[i].stop() }

// restartController stops controller i and starts it again on new ports.
func (c *cluster) restartController(i int) {
	c.tb.Helper()
	c.stopController(i)
	userListener, peerListener := listenLoopback(c.tb), listenLoopback(c.tb)
	c.userAddrs[i] = userListener.Addr().String()
	c.startController(i, userListener, peerListener)
}

// stopAllControllers stops all controllers.
func (c *cluster) stopAllControllers() {
	for i := range c.controllers {
		c.stopController(i)
	}
}

// startAllControllers starts all stopped controllers again at their previous addresses.
func (c *cluster) startAllControllers() {
	c.tb.Helper()
	for i := range c.controllers {
		c.startController(i, c.listenWhenFree(c.userAddrs[i]), c.listenWhenFree(c.peerAddrs[i]))
	}
}

// listenWhenFree listens on an address as soon as it is no longer in use.
func (c *cluster) listenWhenFree(addr string) (listener net.Listener) {
	c.tb.Helper()
	c.eventually("a free address", func() bool {
		var err error
		listener, err = net.Listen("tcp", addr)
		return err == nil
	})
	return listener
}

func listenLoopback(tb testing.TB) net.Listener {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	return listener
}

// eventually waits until a condition holds. It fails the test after eventuallyTimeout.
func (c *cluster) eventually(description string, condition func() bool) {
	c.tb.Helper()
	for end := time.Now().Add(eventuallyTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			c.tb.Fatalf("timed out waiting for: %s", description)
		}
	}
}

// leader waits for a leader and returns its index.
func (c *cluster) leader() (leader int) {
	c.tb.Helper()
	c.eventually("a leader", func() bool {
		for i := range c.userAddrs {
			if c.getOperatorView(i, "/machines", nil) == http.StatusOK {
				leader = i
				return true
			}
		}
		return false
	})
	return leader
}

// expectNoViolations checks that the simulated services found no violation of the protocol's rules.
func (c *cluster) expectNoViolations() {
	c.tb.Helper()
	if violations := c.simulation.Violations(); len(violations) > 0 {
		c.tb.Error(violations)
	}
}
