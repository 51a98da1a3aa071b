//go:build review

package standin

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// MachineType is a type of machine.
type MachineType struct {
	Name                                 string
	CPUs, MemoryGB, LocalGB, FetchGBPerS float64
	Price, LowPrice                      float64
	Boot                                 time.Duration
	Zones                                []string
	Count                                int // per zone
}

// Fleet is the cloud with its machines, and what users uploaded for the workers.
type Fleet struct {
	ctx     context.Context
	record  *Record
	types   []MachineType
	rps     float64
	listLag time.Duration
	report  time.Duration
	lease   time.Duration
	calls   bucket

	mu          sync.Mutex
	controllers []string          // names, in order
	addresses   map[string]string // of controllers, by name
	workers     map[string]*Worker
	rentals     map[string][]string
	lastName    int
	jobs        map[string]*Job
	onMachine   map[string]map[string]bool // by task: machines that it is on
	started     map[string]int             // starts, by task
	doneTasks   map[string]bool
	broken      []string
	down        bool

	// LateCopies makes a tenth of the reports arrive again later, at any controller.
	LateCopies bool
}

// NewFleet returns a cloud without machines.
func NewFleet(ctx context.Context, record *Record, types []MachineType, rps float64, listLag, report, lease time.Duration) *Fleet {
	return &Fleet{
		ctx: ctx, record: record, types: types, rps: rps, listLag: listLag, report: report, lease: lease, calls: bucket{burst: 2},
		addresses: map[string]string{}, workers: map[string]*Worker{}, rentals: map[string][]string{}, jobs: map[string]*Job{},
		onMachine: map[string]map[string]bool{}, started: map[string]int{}, doneTasks: map[string]bool{},
	}
}

// SetControllers sets the addresses to which workers report.
func (f *Fleet) SetControllers(names []string, addresses map[string]string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.controllers, f.addresses = names, addresses
}

// Upload makes a job known to the workers.
func (f *Fleet) Upload(job *Job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[job.ID] = job
}

// SetDown begins or ends an outage of the cloud's interface.
func (f *Fleet) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// Serve serves the cloud and returns the address.
func (f *Fleet) Serve(ctx context.Context) (string, error) {
	return serve(ctx, http.HandlerFunc(f.handle))
}

func (f *Fleet) handle(w http.ResponseWriter, r *http.Request) {
	message, ok := readMap(r)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.down:
		reply(w, http.StatusServiceUnavailable, Map{"error": "trouble"})
	case !f.calls.take(f.rps, 1):
		reply(w, http.StatusTooManyRequests, Map{"error": "too many requests"})
	case !ok:
		reply(w, http.StatusBadRequest, Map{"error": "malformed"})
	case r.URL.Path == "/flavors":
		f.flavors(w)
	case r.URL.Path == "/rentals" && r.Method == http.MethodPost:
		f.rent(w, message)
	case r.URL.Path == "/rentals/release":
		f.release(w, message)
	case r.URL.Path == "/rentals":
		f.list(w, r)
	default:
		reply(w, http.StatusBadRequest, Map{"error": "malformed"})
	}
}

func (f *Fleet) flavors(w http.ResponseWriter) {
	breeds := []any{}
	for _, t := range f.types {
		breeds = append(breeds, Map{
			"sku": t.Name, "cpus": t.CPUs, "gpus": 0.0, "memory_gb": t.MemoryGB, "local_gb": t.LocalGB, "fetch_gb_per_s": t.FetchGBPerS,
			"price": t.Price, "low_price": t.LowPrice, "boot_s": t.Boot.Seconds(), "pastures": t.Zones,
		})
	}
	reply(w, http.StatusOK, Map{"breeds": breeds})
}

func (f *Fleet) rent(w http.ResponseWriter, message Map) {
	hire, wanted := text(message["hire"]), int(count(message["how_many"]))
	if hire == "" || wanted < 1 || wanted > 50 {
		reply(w, http.StatusBadRequest, Map{"error": "malformed"})
		return
	}
	if names, repeated := f.rentals[hire]; repeated {
		reply(w, http.StatusOK, Map{"rigs": names})
		return
	}
	spot, _ := message["loaners"].(bool)
	names := f.start(text(message["breed"]), text(message["pasture"]), spot, wanted)
	if len(names) == 0 {
		reply(w, http.StatusServiceUnavailable, Map{"error": "no capacity"})
		return
	}
	f.rentals[hire] = names
	reply(w, http.StatusOK, Map{"rigs": names})
}

// Rent starts machines before the controllers do.
func (f *Fleet) Rent(breed, zone string, wanted int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.start(breed, zone, false, wanted)
}

func (f *Fleet) start(breed, zone string, spot bool, wanted int) []string {
	names := []string{}
	for _, t := range f.types {
		if t.Name != breed {
			continue
		}
		used := 0
		for _, w := range f.workers {
			if w.goneAt.IsZero() && w.breed == breed && w.zone == zone {
				used++
			}
		}
		for ; wanted > 0 && used < t.Count; wanted, used = wanted-1, used+1 {
			f.lastName++
			name := fmt.Sprintf("n-%06d", f.lastName)
			worker, err := newWorker(f, name, t, zone, spot)
			if err != nil {
				break
			}
			f.workers[name] = worker
			names = append(names, name)
		}
	}
	f.record.Logf("cloud: rented %v (%s, %s, spot %v)", names, breed, zone, spot)
	return names
}

func (f *Fleet) release(w http.ResponseWriter, message Map) {
	rigs := list(message["rigs"])
	if len(rigs) > 100 {
		reply(w, http.StatusBadRequest, Map{"error": "malformed"})
		return
	}
	f.record.Logf("cloud: release %v", rigs)
	for _, rig := range rigs {
		if worker := f.workers[text(rig)]; worker != nil && worker.goneAt.IsZero() {
			worker.remove()
		}
	}
	reply(w, http.StatusOK, Map{})
}

func (f *Fleet) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	most, _ := strconv.Atoi(query.Get("most"))
	if most <= 0 || most > 500 {
		most = 500
	}
	at := time.Now().Add(-f.listLag)
	var names []string
	for name, worker := range f.workers {
		if name > query.Get("from") && !worker.rentedAt.After(at) && (worker.goneAt.IsZero() || worker.goneAt.After(at)) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	rigs, more := []any{}, false
	for _, name := range names {
		if len(rigs) == most {
			more = true
			break
		}
		worker := f.workers[name]
		standing := "running"
		if at.Before(worker.rentedAt.Add(worker.boot)) {
			standing = "starting"
		}
		rigs = append(rigs, Map{
			"uid": name, "address": worker.address, "breed": worker.breed, "pasture": worker.zone, "loaners": worker.spot,
			"standing": standing, "age_s": at.Sub(worker.rentedAt).Seconds(),
		})
	}
	reply(w, http.StatusOK, Map{"rigs": rigs, "more": more})
}

// begin notes that a task is on a machine. The caller holds f.mu.
func (f *Fleet) begin(task, machine string) {
	for other := range f.onMachine[task] {
		f.broken = append(f.broken, fmt.Sprintf("ran_twice: %s starts on %s while on %s", task, machine, other))
		f.record.Sayf("ran_twice: %s starts on %s while on %s", task, machine, other)
	}
	if f.onMachine[task] == nil {
		f.onMachine[task] = map[string]bool{}
	}
	f.onMachine[task][machine] = true
	f.started[task]++
}

func (f *Fleet) end(task, machine string) {
	delete(f.onMachine[task], machine)
	if len(f.onMachine[task]) == 0 {
		delete(f.onMachine, task)
	}
}

// jobOf returns the job of a task, or nil.
func (f *Fleet) jobOf(task string) *Job {
	id, index, ok := strings.Cut(task, "/")
	number, err := strconv.Atoi(index)
	job := f.jobs[id]
	if !ok || err != nil || job == nil || number < 0 || number >= job.Tasks {
		return nil
	}
	return job
}

// Progress is what workers did for a job.
type Progress struct {
	Started int // tasks that were started at least once
	Running int
	Done    int
}

// Progress returns what workers did for a job.
func (f *Fleet) Progress(id string) Progress {
	f.mu.Lock()
	defer f.mu.Unlock()
	var p Progress
	job := f.jobs[id]
	for i := range job.Tasks {
		task := fmt.Sprintf("%s/%d", id, i)
		if f.started[task] > 0 {
			p.Started++
		}
		if len(f.onMachine[task]) > 0 {
			p.Running++
		}
		if f.doneTasks[task] {
			p.Done++
		}
	}
	return p
}

// Room returns how many tasks of the given size fit on the machines that are up and report.
func (f *Fleet) Room(cpus, memoryGB float64) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	room := 0
	for _, w := range f.workers {
		if !w.goneAt.IsZero() || time.Since(w.rentedAt) < w.boot {
			continue
		}
		freeCPUs, freeGB := w.free()
		for freeCPUs >= cpus && freeGB >= memoryGB {
			freeCPUs, freeGB = freeCPUs-cpus, freeGB-memoryGB
			room++
		}
	}
	return room
}

// Machines returns the number of machines that exist.
func (f *Fleet) Machines() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		if w.goneAt.IsZero() {
			n++
		}
	}
	return n
}

// Broken returns the broken rules that the machines saw.
func (f *Fleet) Broken() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.broken...)
}

// Disturb makes a random machine hang, or cuts it off, for a time.
func (f *Fleet) Disturb(hang bool, length time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, w := range f.workers {
		if !w.goneAt.IsZero() || w.renewedAt.IsZero() || time.Now().Before(w.hungUntil) {
			continue
		}
		if hang {
			w.advance(time.Now())
			w.hungFrom, w.hungUntil = time.Now(), time.Now().Add(length)
		} else {
			w.cutUntil = time.Now().Add(length)
		}
		f.record.Logf("%s: hang %v, for %v", name, hang, length)
		return
	}
}

// TasksOn returns the tasks of a job that are on machines.
func (f *Fleet) TasksOn(id string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var tasks []string
	for task, machines := range f.onMachine {
		if strings.HasPrefix(task, id+"/") && len(machines) > 0 {
			tasks = append(tasks, fmt.Sprint(task, machines))
		}
	}
	return tasks
}
