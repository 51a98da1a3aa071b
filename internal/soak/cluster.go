package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Settings of the deployment under test.
const (
	team              = "crew"
	heartbeatInterval = time.Second
	workerLease       = 8 * time.Second
	cancelGrace       = 24 * time.Second
	bootTime          = time.Second
	jobsPath          = "/v2/runs"
	leaderPath        = "/yarrowgap/v1/leader"
)

// machineType is the only machine type of the simulated cloud.
var machineType = wire.MachineType{
	Name: "box", CPUs: 4, MemoryGB: 16, CacheGB: 40, FetchGBPerS: 20,
	Price: 1, SpotPrice: 0.4, BootS: bootTime.Seconds(), Zones: []string{"a", "b"},
}

// cluster is a deployment of controller processes, with a link between any two parties.
type cluster struct {
	config     Config
	simulation *simulator.Deployment
	processes  []*process
	userAddrs  []string
	// Links by controller: from users and workers, to the key-value store, and to each peer.
	workerLinks []*simulator.Link
	storeLinks  []*simulator.Link
	peerLinks   [][]*simulator.Link
	servers     []*http.Server
	client      *http.Client // of users
	balancer    *simulator.LoadBalancer
}

// newCluster starts the simulated services and prepares the controllers.
func newCluster(ctx context.Context, config Config) (*cluster, error) {
	c := &cluster{config: config, client: &http.Client{Timeout: userTimeout}}
	addrs := controllerAddrs(2 * config.Controllers)
	peerAddrs := addrs[config.Controllers:]
	c.userAddrs = addrs[:config.Controllers]
	if err := c.linkWorkers(); err != nil {
		return nil, err
	}
	cloudAddr, err := c.startServices(ctx)
	if err != nil {
		return nil, err
	}
	for i := range config.Controllers {
		if err := c.addController(i, peerAddrs, cloudAddr); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// linkWorkers creates the links from workers to controllers, and the simulation that uses them.
func (c *cluster) linkWorkers() error {
	addresses := map[string]string{}
	for i, addr := range c.userAddrs {
		link, err := simulator.NewLink(addr)
		if err != nil {
			return err
		}
		c.workerLinks = append(c.workerLinks, link)
		addresses[controllerName(i)] = link.Addr()
	}
	c.simulation = simulator.NewDeployment(simulator.DeploymentConfig{
		MachineTypes: []wire.MachineType{machineType}, QuotaLimits: map[string]float64{team: c.config.quotaLimit()},
		Controllers: addresses, BootTime: bootTime, HeartbeatInterval: heartbeatInterval,
		LeaseDuration: workerLease, CancelGrace: cancelGrace,
	})
	c.simulation.Check(func(_ time.Duration, checker *simulator.RuleChecker) {
		checker.SetMachineTypes([]wire.MachineType{machineType})
	})
	return nil
}

// startServices serves the cloud, and the key-value store for each controller through a link.
func (c *cluster) startServices(ctx context.Context) (cloudAddr string, err error) {
	cloudAddr, err = c.serve(c.simulation.CloudHandler(ctx))
	if err != nil {
		return "", err
	}
	for i := range c.config.Controllers {
		storeAddr, err := c.serve(c.simulation.KVStoreHandlerFor(controllerName(i)))
		if err != nil {
			return "", err
		}
		link, err := simulator.NewLink(storeAddr)
		if err != nil {
			return "", err
		}
		c.storeLinks = append(c.storeLinks, link)
	}
	return cloudAddr, nil
}

func (c *cluster) serve(handler http.Handler) (addr string, err error) {
	listener, err := simulator.ListenLoopback()
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: userTimeout}
	c.servers = append(c.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// addController links a controller to its peers, writes its settings file and prepares its process.
func (c *cluster) addController(i int, peerAddrs []string, cloudAddr string) error {
	links := make([]*simulator.Link, len(peerAddrs))
	for k, addr := range peerAddrs {
		if k == i {
			continue
		}
		link, err := simulator.NewLink(addr)
		if err != nil {
			return err
		}
		links[k] = link
	}
	c.peerLinks = append(c.peerLinks, links)
	settings := filepath.Join(c.config.Directory, controllerName(i)+".toml")
	if err := os.WriteFile(settings, []byte(c.settings(i, peerAddrs[i], cloudAddr)), 0o600); err != nil {
		return err
	}
	c.processes = append(c.processes, &process{
		name: controllerName(i), binary: c.config.Binary, settings: settings,
		logPath: filepath.Join(c.config.Directory, controllerName(i)+".log"),
	})
	return nil
}

func (c *cluster) settings(i int, peerAddr, cloudAddr string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "node = %q\ndomain = %q\nbind = %q\nmesh_addr = %q\n", controllerName(i), machineType.Zones[i%2], c.userAddrs[i], peerAddr)
	for k, link := range c.peerLinks[i] {
		if link != nil {
			fmt.Fprintf(&text, "[[seeds]]\nnode = %q\ndomain = %q\naddr = %q\n", controllerName(k), machineType.Zones[k%2], link.Addr())
		}
	}
	fmt.Fprintf(&text, "[outside]\nstate = %q\ncloud = %q\n", c.storeLinks[i].Addr(), cloudAddr)
	fmt.Fprintf(&text, "[deployment]\nsize = %d\nzones = [\"a\", \"b\"]\nclock_error_ms = 25.0\n", c.config.Controllers)
	fmt.Fprintf(&text, "[[deployment.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\n", team, c.config.quotaLimit()/2, c.config.quotaLimit())
	fmt.Fprintf(&text, "[deployment.workers]\nreport_s = %.1f\nlease_s = %.1f\ncancel_s = %.1f\n",
		heartbeatInterval.Seconds(), workerLease.Seconds(), cancelGrace.Seconds())
	limits := c.config.limits()
	fmt.Fprintf(&text, "[deployment.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = 4.0\ntxn_ops = 12\n", limits.storeRPS, limits.storeWriteRPS)
	text.WriteString("[deployment.cloud]\nrps = 20.0\nlist_lag_s = 1.0\n")
	fmt.Fprintf(&text, "[deployment.quota]\ncpu_share = 0.5\nmem_mb = 256.0\nfd_limit = %d\n", limits.sockets)
	return text.String()
}

// startBalancer starts the load balancer of the users.
func (c *cluster) startBalancer(ctx context.Context, log func(format string, args ...any)) (err error) {
	c.balancer, err = simulator.NewLoadBalancer(ctx, c.userAddrs, log)
	return err
}

// startAll starts all controllers that do not run.
func (c *cluster) startAll(ctx context.Context) error {
	var errs []error
	for _, p := range c.processes {
		errs = append(errs, p.start(ctx))
	}
	return errors.Join(errs...)
}

// close ends the processes and the simulated services.
func (c *cluster) close() {
	for _, p := range c.processes {
		p.signal(sigContinue)
		p.kill()
	}
	for _, link := range c.links() {
		link.Close()
	}
	for _, server := range c.servers {
		_ = server.Close()
	}
}

// links returns all links.
func (c *cluster) links() []*simulator.Link {
	return slices.Concat(c.workerLinks, c.storeLinks, c.allPeerLinks())
}

// allPeerLinks returns the links between any two controllers.
func (c *cluster) allPeerLinks() []*simulator.Link {
	var links []*simulator.Link
	for _, peers := range c.peerLinks {
		for _, link := range peers {
			if link != nil {
				links = append(links, link)
			}
		}
	}
	return links
}

func controllerName(i int) string { return fmt.Sprintf("drover-%d", i) }

// firstControllerPort is the port of the first listener of a controller.
const firstControllerPort = 8080

// controllerAddrs returns the addresses of the controllers' listeners, on a random address of the
// loopback range: the ports must stay free while controllers do not run, and all other listeners
// and connections use 127.0.0.1.
func controllerAddrs(count int) []string {
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254)) //nolint:gosec // no secret
	var addrs []string
	for i := range count {
		addrs = append(addrs, fmt.Sprintf("%s:%d", ip, firstControllerPort+i))
	}
	return addrs
}
