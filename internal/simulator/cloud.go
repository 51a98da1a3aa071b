package simulator

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// Limits on the number of machines in one request to the cloud.
const (
	maxProvisionCount = 50
	maxReleaseCount   = 100
)

// cloud is the state of the simulated cloud.
type cloud struct {
	// machinesByRequest maps the id of each provision request to the names of its machines, so
	// that a repeated request provisions nothing.
	machinesByRequest map[string][]string
	provisionedAt     map[string]time.Duration // by machine name
	lastMachineNumber int
}

func newCloud() cloud {
	return cloud{machinesByRequest: map[string][]string{}, provisionedAt: map[string]time.Duration{}}
}

// nextMachineName returns the name of a new machine.
func (c *cloud) nextMachineName() string {
	c.lastMachineNumber++
	return fmt.Sprintf("n-%06d", c.lastMachineNumber)
}

// cloudServer serves the cloud of a deployment.
type cloudServer struct {
	deployment *Deployment
	ctx        context.Context //nolint:containedctx // ends the agents on machines, which outlive the request that provisioned them
}

// CloudHandler returns the HTTP handler of the cloud. The agents on the machines that it
// provisions stop when the context ends.
func (d *Deployment) CloudHandler(ctx context.Context) http.Handler {
	server := cloudServer{d, ctx}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /flavors", server.whenAvailable(server.listMachineTypes))
	mux.HandleFunc("POST /rentals", server.whenAvailable(server.provision))
	mux.HandleFunc("POST /rentals/release", server.whenAvailable(server.release))
	mux.HandleFunc("GET /rentals", server.whenAvailable(server.listMachines))
	return mux
}

// whenAvailable returns a handler that runs the given handler with the deployment locked, or
// replies with 503 while the cloud is down.
func (s cloudServer) whenAvailable(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.deployment.mu.Lock()
		defer s.deployment.mu.Unlock()
		if s.deployment.faults.cloudDown {
			writeError(w, http.StatusServiceUnavailable, "trouble")
			return
		}
		handler(w, r)
	}
}

func (s cloudServer) listMachineTypes(w http.ResponseWriter, _ *http.Request) {
	writeReply(w, http.StatusOK, wire.MachineTypeList{Types: s.deployment.config.MachineTypes})
}

func (s cloudServer) provision(w http.ResponseWriter, r *http.Request) {
	var request wire.ProvisionRequest
	if readBody(r, &request) != nil || request.Count < 1 || request.Count > maxProvisionCount {
		writeError(w, http.StatusBadRequest, "malformed")
		return
	}
	names := s.machinesForRequest(request)
	if len(names) == 0 {
		writeError(w, http.StatusServiceUnavailable, "no capacity")
		return
	}
	writeReply(w, http.StatusOK, wire.MachineNames{Machines: names})
}

// machinesForRequest provisions the machines of a request and returns their names. If an earlier
// request had the same id, it returns the machines of that request instead.
func (s cloudServer) machinesForRequest(request wire.ProvisionRequest) []string {
	d := s.deployment
	if names, repeated := d.cloud.machinesByRequest[request.RequestID]; repeated {
		return names
	}
	var names []string
	for _, machineType := range d.config.MachineTypes {
		if machineType.Name != request.Type {
			continue
		}
		for range request.Count {
			names = append(names, s.startMachine(machineType, request))
		}
	}
	d.cloud.machinesByRequest[request.RequestID] = names
	d.operations.CountProvisioned(len(names))
	return names
}

// startMachine provisions one machine of a request, starts its agent and returns its name.
func (s cloudServer) startMachine(machineType wire.MachineType, request wire.ProvisionRequest) string {
	d := s.deployment
	listener, err := ListenLoopback()
	if err != nil {
		panic(err) // the loopback interface is not available
	}
	name := d.cloud.nextMachineName()
	worker := NewWorker(d.now()+d.config.BootTime, WorkerConfig{
		Name: name, MachineType: machineType, Zone: request.Zone, Spot: request.Spot,
		LeaseDuration: d.config.LeaseDuration, Checker: d.checker, RunTime: d.runTimeOf,
	})
	worker.Address = listener.Addr().String()
	d.workers[name], d.cloud.provisionedAt[name] = worker, d.now()
	go newWorkerAgent(d, worker).run(s.ctx, listener)
	return name
}

func (s cloudServer) release(w http.ResponseWriter, r *http.Request) {
	var request wire.MachineNames
	if readBody(r, &request) != nil || len(request.Machines) > maxReleaseCount {
		writeError(w, http.StatusBadRequest, "malformed")
		return
	}
	for _, name := range request.Machines {
		if worker := s.deployment.workers[name]; worker != nil {
			s.deployment.operations.CountRelease(name)
			worker.Terminate()
		}
	}
	writeReply(w, http.StatusOK, struct{}{})
}

func (s cloudServer) listMachines(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	reply := wire.MachineList{Machines: s.machinesAfter(query.Get("from"))}
	if limit, _ := strconv.Atoi(query.Get("most")); limit > 0 && len(reply.Machines) > limit {
		reply.Machines, reply.More = reply.Machines[:limit], true
	}
	writeReply(w, http.StatusOK, reply)
}

// machinesAfter lists the machines whose names sort after the given one, ordered by name. It leaves
// out terminated machines. Booting machines are listed as running.
func (s cloudServer) machinesAfter(after string) []wire.ListedMachine {
	d := s.deployment
	machines := []wire.ListedMachine{}
	for name, worker := range d.workers {
		if worker.Terminated || name <= after {
			continue
		}
		machines = append(machines, wire.ListedMachine{
			Name: name, Address: worker.Address, Type: worker.Type, Zone: worker.Zone, Spot: worker.Spot,
			State: wire.MachineRunning, AgeS: (d.now() - d.cloud.provisionedAt[name]).Seconds(),
		})
	}
	slices.SortFunc(machines, func(a, b wire.ListedMachine) int { return strings.Compare(a.Name, b.Name) })
	return machines
}
