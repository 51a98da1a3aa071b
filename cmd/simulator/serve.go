package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/simulator"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Timing of the simulated machines and their agents.
const (
	bootTime          = 2 * time.Second
	heartbeatInterval = time.Second
	leaseDuration     = 12 * time.Second
)

// machineType is the only machine type that the simulated cloud offers.
var machineType = wire.MachineType{
	Name: "box", CPUs: 8, MemoryGB: 32, CacheGB: 40, FetchGBPerS: 1,
	Price: 1, SpotPrice: 0.4, BootS: bootTime.Seconds(), Zones: []string{"a", "b"},
}

type serveCommand struct {
	Listen      string            `default:"127.0.0.1:7000" help:"Address of the key-value store; the cloud is on the next port."`
	Controllers map[string]string `name:"node" default:"drover-0=127.0.0.1:8080" help:"Controllers' addresses by name."`
	Team        string            `default:"crew" help:"The team that may submit."`
	Limit       float64           `default:"64" help:"Its limit in CPUs, by which the rules are checked."`
}

// Run serves the simulated systems until the process receives an interrupt signal or a server
// fails.
func (c serveCommand) Run() error {
	kvStoreAddress, cloudAddress, err := listenAddresses(c.Listen)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	deployment := c.newDeployment()
	serverErrors := make(chan error, 2)
	serve := func(address string, handler http.Handler) { serverErrors <- http.ListenAndServe(address, handler) }
	go serve(kvStoreAddress, withUploads(deployment))
	go serve(cloudAddress, deployment.CloudHandler(ctx))
	fmt.Fprintf(os.Stderr, "key-value store on %s, cloud on %s\n", kvStoreAddress, cloudAddress)
	select {
	case err := <-serverErrors:
		return err
	case <-ctx.Done():
		return nil
	}
}

func (c serveCommand) newDeployment() *simulator.Deployment {
	return simulator.NewDeployment(simulator.DeploymentConfig{
		MachineTypes:      []wire.MachineType{machineType},
		QuotaLimits:       map[string]float64{c.Team: c.Limit},
		Controllers:       c.Controllers,
		BootTime:          bootTime,
		HeartbeatInterval: heartbeatInterval,
		LeaseDuration:     leaseDuration,
	})
}

// listenAddresses checks the address of the key-value store and returns it with the address of the
// cloud, which is on the next port. The simulated systems have no access control, so they listen
// only on the loopback interface.
func listenAddresses(listen string) (kvStore, cloud string, err error) {
	host, port, err := net.SplitHostPort(listen)
	if err != nil {
		return "", "", fmt.Errorf("--listen: %w", err)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return "", "", fmt.Errorf("--listen: %s is not a loopback address", host)
	}
	portNumber, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return "", "", fmt.Errorf("--listen: %w", err)
	}
	return listen, net.JoinHostPort(host, strconv.FormatUint(portNumber+1, 10)), nil
}

// withUploads returns the key-value store's handler extended by the upload request, with which a
// user makes a job's description known to the workers.
func withUploads(deployment *simulator.Deployment) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", deployment.KVStoreHandler())
	mux.HandleFunc("POST "+uploadPath, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxBody))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		job, err := wire.ParseJob(body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		deployment.UploadJob(job, time.Duration(job.EstimatedRunS*float64(time.Second)))
	})
	return mux
}
