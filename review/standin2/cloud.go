//go:build review

package standin2

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// CloudLimits are the limits and delays of the cloud.
type CloudLimits struct {
	RPS     float64
	ListLag time.Duration
	Boot    time.Duration // from a rental until the machine is up
	Max     int           // machines at once
}

// Cloud rents machines. A worker runs on each.
type Cloud struct {
	limits CloudLimits
	types  []wire.MachineType
	record *Record
	start  func(m *Machine) // starts the worker of a machine
	stop   func(m *Machine) // ends it; when it returns, the worker is gone

	mu       sync.Mutex
	machines []*Machine // in the order of their names
	hires    map[string][]string
	requests bucket
	onCall   func(node string, call CloudCall)
}

// Machine is a rented machine.
type Machine struct {
	Name, Address, Zone string
	Spot                bool
	Type                wire.MachineType
	rentedAt, upAt      time.Time
	goneAt              time.Time // zero while the machine exists
}

// CloudCall is a call that changes something at the cloud.
type CloudCall struct {
	Hire     string   // of a rental
	Machines []string // rented or released
	Release  bool
}

func newCloud(limits CloudLimits, types []wire.MachineType, record *Record, start, stop func(*Machine)) *Cloud {
	return &Cloud{
		limits: limits, types: types, record: record, start: start, stop: stop,
		hires: map[string][]string{}, requests: newBucket(limits.RPS, 2*limits.RPS),
	}
}

// OnCall sets a function that is called for each successful rental and release. It must not call the
// cloud.
func (c *Cloud) OnCall(call func(node string, call CloudCall)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onCall = call
}

// Handler returns the handler for one controller.
func (c *Cloud) Handler(node string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /flavors", c.serve(func(w http.ResponseWriter, _ *http.Request) {
		writeMessage(w, http.StatusOK, wire.MachineTypeList{Types: c.types})
	}))
	mux.HandleFunc("POST /rentals", c.serve(c.rent(node)))
	mux.HandleFunc("POST /rentals/release", c.serve(c.release(node)))
	mux.HandleFunc("GET /rentals", c.serve(c.list))
	return mux
}

func (c *Cloud) serve(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.requests.take(1, 2*c.limits.RPS) {
			writeError(w, http.StatusTooManyRequests, refusedByRate)
			return
		}
		handler(w, r)
	}
}

func (c *Cloud) rent(node string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request wire.ProvisionRequest
		if readMessage(r, &request) != nil || request.Count < 1 || request.Count > 50 {
			writeError(w, http.StatusBadRequest, "malformed")
			return
		}
		if names, ok := c.hires[request.RequestID]; ok {
			writeMessage(w, http.StatusOK, wire.MachineNames{Machines: names})
			return
		}
		index := slices.IndexFunc(c.types, func(t wire.MachineType) bool { return t.Name == request.Type })
		if index < 0 || !slices.Contains(c.types[index].Zones, request.Zone) {
			writeError(w, http.StatusBadRequest, "malformed")
			return
		}
		names := []string{}
		for range min(request.Count, c.limits.Max-c.count()) {
			m := c.add(c.types[index], request.Zone, request.Spot, c.limits.Boot)
			names = append(names, m.Name)
		}
		c.record.Printf("cloud: %s rents %d %s in %s as %s: %v", node, request.Count, request.Type, request.Zone, request.RequestID, names)
		if len(names) == 0 {
			writeError(w, http.StatusServiceUnavailable, "no capacity")
			return
		}
		c.hires[request.RequestID] = names
		if c.onCall != nil {
			c.onCall(node, CloudCall{Hire: request.RequestID, Machines: names})
		}
		writeMessage(w, http.StatusOK, wire.MachineNames{Machines: names})
	}
}

func (c *Cloud) count() int {
	count := 0
	for _, m := range c.machines {
		if m.goneAt.IsZero() {
			count++
		}
	}
	return count
}

// add rents one machine. The caller holds the lock.
func (c *Cloud) add(machineType wire.MachineType, zone string, spot bool, boot time.Duration) *Machine {
	m := &Machine{
		Name: fmt.Sprintf("n-%06d", len(c.machines)+1), Zone: zone, Spot: spot, Type: machineType,
		rentedAt: time.Now(), upAt: time.Now().Add(boot),
	}
	c.machines = append(c.machines, m)
	c.start(m)
	return m
}

// Add adds a machine that is up already, as those at the start of a deployment.
func (c *Cloud) Add(zone string) *Machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.add(c.types[0], zone, false, 0)
}

func (c *Cloud) release(node string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request wire.MachineNames
		if readMessage(r, &request) != nil || len(request.Machines) > 100 {
			writeError(w, http.StatusBadRequest, "malformed")
			return
		}
		c.record.Printf("cloud: %s releases %v", node, request.Machines)
		if c.onCall != nil {
			c.onCall(node, CloudCall{Machines: request.Machines, Release: true})
		}
		for _, m := range c.machines {
			if m.goneAt.IsZero() && slices.Contains(request.Machines, m.Name) {
				m.goneAt = time.Now()
				c.stop(m)
			}
		}
		writeMessage(w, http.StatusOK, struct{}{})
	}
}

// list describes the machines as they were before the lag of lists.
func (c *Cloud) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	most, err := strconv.Atoi(query.Get("most"))
	if err != nil || most < 1 || most > 500 {
		most = 500
	}
	at := time.Now().Add(-c.limits.ListLag)
	reply := wire.MachineList{Machines: []wire.ListedMachine{}}
	for _, m := range c.machines {
		if m.Name <= query.Get("from") || m.rentedAt.After(at) || !m.goneAt.IsZero() && !m.goneAt.After(at) {
			continue
		}
		if len(reply.Machines) == most {
			reply.More = true
			break
		}
		state := wire.MachineStarting
		if !m.upAt.After(at) {
			state = wire.MachineRunning
		}
		reply.Machines = append(reply.Machines, wire.ListedMachine{
			Name: m.Name, Address: m.Address, Type: m.Type.Name, Zone: m.Zone, Spot: m.Spot,
			State: state, AgeS: at.Sub(m.rentedAt).Seconds(),
		})
	}
	writeMessage(w, http.StatusOK, reply)
}
