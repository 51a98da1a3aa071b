//go:build review

package standin2

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// Config describes a deployment.
type Config struct {
	Zones      []string // of the controllers, one for each
	Machines   []string // zones of the machines that are up at the start
	Types      []wire.MachineType
	Teams      []Team
	Workers    WorkerTimes
	CancelS    float64
	State      StateLimits
	Cloud      CloudLimits
	MemoryMB   float64
	Sockets    int
	Objectives string // in TOML
	ClockOffMS float64
	RecordPath string
	RunTime    func(job *wire.Job) time.Duration // of the tasks of a job
}

// Team is a team in the settings.
type Team struct {
	Name          string
	CPUs, MaxCPUs float64
}

// Deployment is a set of stand-ins and the controllers that use them.
type Deployment struct {
	State *State
	Cloud *Cloud
	Nodes []*Node

	config      Config
	record      *Record
	directory   string
	workerLinks []map[string]*Link // to each controller, from the workers of each zone
	meshLinks   [][]*Link          // from each controller to each other

	mu        sync.Mutex
	jobs      map[string]*wire.Job
	completed map[string]bool // tasks whose result is kept
	workers   map[string]*worker
	events    []TaskEvent
	cutNode   int // controller that is cut from the workers
	// partitionEnd is closed when the zones are joined again; nil while they are.
	partitionEnd chan struct{}
}

// TaskEvent is the start or the end of a task on a machine.
type TaskEvent struct {
	At            time.Duration
	Task, Machine string
	Attempt       uint64
	Started       bool
	Cause         string // of an end
}

// NewDeployment starts the stand-ins and the machines, but no controller.
func NewDeployment(config Config) (*Deployment, error) {
	record, err := NewRecord(config.RecordPath)
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &Deployment{
		config: config, record: record, directory: directory,
		cutNode: noNode, jobs: map[string]*wire.Job{}, completed: map[string]bool{}, workers: map[string]*worker{},
	}
	d.State = NewState(config.State, record)
	d.Cloud = newCloud(config.Cloud, config.Types, record, d.startMachine, d.stopMachine)
	for i, zone := range config.Zones {
		if err := d.addNode(i, zone); err != nil {
			return nil, err
		}
	}
	if err := d.linkNodes(); err != nil {
		return nil, err
	}
	for _, zone := range config.Machines {
		d.Cloud.Add(zone)
	}
	return d, nil
}

// Record returns the record.
func (d *Deployment) Record() *Record { return d.record }

func (d *Deployment) nodeNames() []string {
	names := make([]string, 0, len(d.Nodes))
	for _, node := range d.Nodes {
		names = append(names, node.Name)
	}
	return names
}

// RefuseWorkers resets the connections of all workers to a controller and refuses new ones. The
// controller's own calls to workers are not affected.
func (d *Deployment) RefuseWorkers(node int) {
	for _, link := range d.workerLinks[node] {
		link.Refuse()
	}
}

// AcceptWorkers ends the effect of RefuseWorkers.
func (d *Deployment) AcceptWorkers(node int) error {
	for _, link := range d.workerLinks[node] {
		if err := link.Accept(); err != nil {
			return err
		}
	}
	return nil
}

// CutFromWorkers cuts a controller from the workers, in both directions: connections are reset and
// refused. The controller keeps all else. All workers have one address for all controllers, so direct
// calls are attributed to the leader, which alone makes them.
func (d *Deployment) CutFromWorkers(node int) {
	d.mu.Lock()
	d.cutNode = node
	d.mu.Unlock()
	d.RefuseWorkers(node)
}

// ReconnectWorkers ends the effect of CutFromWorkers.
func (d *Deployment) ReconnectWorkers() error {
	d.mu.Lock()
	node := d.cutNode
	d.cutNode = noNode
	d.mu.Unlock()
	return d.AcceptWorkers(node)
}

// directCallsCut reports whether a direct call must come from the controller that is cut from the
// workers: no other one leads.
func (d *Deployment) directCallsCut() bool {
	d.mu.Lock()
	node := d.cutNode
	d.mu.Unlock()
	if node == noNode {
		return false
	}
	leader, _ := d.Leader()
	return leader == noNode || leader == node
}

// PartitionZones holds all that is sent between two zones, in both directions: between controllers,
// between workers and controllers. Users, the cloud and the state service are regional and belong to no
// zone. JoinZones ends it, and what was held is delivered.
func (d *Deployment) PartitionZones() {
	d.mu.Lock()
	d.partitionEnd = make(chan struct{})
	d.mu.Unlock()
	for _, link := range d.linksBetweenZones() {
		link.Hold()
	}
}

// JoinZones ends the effect of PartitionZones.
func (d *Deployment) JoinZones() {
	d.mu.Lock()
	close(d.partitionEnd)
	d.partitionEnd = nil
	d.mu.Unlock()
	for _, link := range d.linksBetweenZones() {
		link.Release()
	}
}

func (d *Deployment) linksBetweenZones() (links []*Link) {
	for i, node := range d.Nodes {
		for zone, link := range d.workerLinks[i] {
			if zone != node.zone {
				links = append(links, link)
			}
		}
		for k, other := range d.Nodes {
			if other.zone != node.zone {
				links = append(links, d.meshLinks[i][k])
			}
		}
	}
	return links
}

// directCallHeldUntil returns a channel that is closed when a direct call to a machine arrives that is
// held by a partition; nil if it is not held.
func (d *Deployment) directCallHeldUntil(m *Machine) <-chan struct{} {
	d.mu.Lock()
	end := d.partitionEnd
	d.mu.Unlock()
	if end == nil {
		return nil
	}
	if leader, _ := d.Leader(); leader != noNode && d.Nodes[leader].zone == m.Zone {
		return nil
	}
	return end
}

// Zone returns the controller's zone.
func (n *Node) Zone() string { return n.zone }

// noNode stands for no controller.
const noNode = -1

// MeshLinks returns the two links between two controllers.
func (d *Deployment) MeshLinks(a, b int) []*Link {
	return []*Link{d.meshLinks[a][b], d.meshLinks[b][a]}
}

func (d *Deployment) addNode(i int, zone string) error {
	name := fmt.Sprintf("drover-%d", i)
	stateAddr, _, err := serveHTTP(d.State.Handler(name))
	if err != nil {
		return err
	}
	cloudAddr, _, err := serveHTTP(d.Cloud.Handler(name))
	if err != nil {
		return err
	}
	ip := loopbackIP()
	node := &Node{
		Name: name, zone: zone, bind: ip + ":8080", mesh: ip + ":8081", state: stateAddr, cloud: cloudAddr,
		settings: filepath.Join(d.directory, name+".toml"), logPath: filepath.Join(d.directory, name+".log"), record: d.record,
	}
	d.Nodes = append(d.Nodes, node)
	links := map[string]*Link{}
	for _, from := range d.config.zoneNames() {
		if links[from], err = NewLink(node.bind); err != nil {
			return err
		}
	}
	d.workerLinks = append(d.workerLinks, links)
	return nil
}

// zoneNames returns the names of the zones, each once.
func (c *Config) zoneNames() []string {
	return slices.Compact(slices.Sorted(slices.Values(c.Zones)))
}

// linkNodes links the controllers to each other and writes their settings files.
func (d *Deployment) linkNodes() error {
	for i, from := range d.Nodes {
		links := make([]*Link, len(d.Nodes))
		var settings strings.Builder
		fmt.Fprintf(&settings, "node = %q\ndomain = %q\nbind = %q\nmesh_addr = %q\n", from.Name, from.zone, from.bind, from.mesh)
		for k, to := range d.Nodes {
			if k == i {
				continue
			}
			link, err := NewLink(to.mesh)
			if err != nil {
				return err
			}
			links[k] = link
			fmt.Fprintf(&settings, "\n[[seeds]]\nnode = %q\ndomain = %q\naddr = %q\n", to.Name, to.zone, link.Addr())
		}
		d.meshLinks = append(d.meshLinks, links)
		fmt.Fprintf(&settings, "\n[outside]\ncloud = %q\nstate = %q\n", from.cloud, from.state)
		d.writeDeployment(&settings)
		if err := os.WriteFile(from.settings, []byte(settings.String()), 0o600); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) writeDeployment(settings *strings.Builder) {
	config := &d.config
	var names []string
	for _, zone := range config.zoneNames() {
		names = append(names, fmt.Sprintf("%q", zone))
	}
	fmt.Fprintf(settings, "\n[deployment]\nsize = %d\nzones = [%s]\nclock_error_ms = %.1f\n", len(config.Zones), strings.Join(names, ", "), config.ClockOffMS)
	for _, team := range config.Teams {
		fmt.Fprintf(settings, "\n[[deployment.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n", team.Name, team.CPUs, team.MaxCPUs)
	}
	settings.WriteString(config.Objectives)
	fmt.Fprintf(settings, "\n[deployment.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 50.0\ngang_peer_s = 8.0\ncancel_s = %.1f\n",
		config.Workers.Report.Seconds(), config.Workers.Lease.Seconds(), config.CancelS)
	fmt.Fprintf(settings, "\n[deployment.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n",
		config.State.RPS, config.State.WriteRPS, config.State.ValueKB, config.State.TxnOps)
	fmt.Fprintf(settings, "\n[deployment.cloud]\nrps = %.1f\nlist_lag_s = %.1f\n", config.Cloud.RPS, config.Cloud.ListLag.Seconds())
	fmt.Fprintf(settings, "\n[deployment.quota]\ncpu_share = 0.24\nmem_mb = %.1f\nfd_limit = %d\n", config.MemoryMB, config.Sockets)
}

func (d *Deployment) startMachine(m *Machine) {
	w := startWorker(d, m)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.workers[m.Name] = w
}

func (d *Deployment) stopMachine(m *Machine) {
	d.mu.Lock()
	w := d.workers[m.Name]
	d.mu.Unlock()
	w.stop()
}

// ZoneOf returns the zone of a machine.
func (d *Deployment) ZoneOf(machine string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w := d.workers[machine]; w != nil {
		return w.machine.Zone
	}
	return ""
}

// LeaseLeft returns how long the lease of a machine's worker lasts from now on.
func (d *Deployment) LeaseLeft(machine string) time.Duration {
	d.mu.Lock()
	w := d.workers[machine]
	d.mu.Unlock()
	if w == nil {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.times.Lease - time.Since(w.renewedAt)
}

// Upload makes a job's description known to the workers. A user does so before submitting it.
func (d *Deployment) Upload(job *wire.Job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.jobs[job.ID] = job
}

// jobOf returns the job of a task; nil if it is unknown.
func (d *Deployment) jobOf(name string) *wire.Job {
	id, index, ok := wire.ParseTaskName(name)
	d.mu.Lock()
	defer d.mu.Unlock()
	if job := d.jobs[id]; ok && job != nil && index < job.Tasks {
		return job
	}
	return nil
}

// taskStarted records a start and returns when the task completes.
func (d *Deployment) taskStarted(m *Machine, key taskKey, now time.Time) time.Time {
	job := d.jobOf(key.task)
	d.addEvent(TaskEvent{Task: key.task, Attempt: key.attempt, Machine: m.Name, Started: true})
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.completed[key.task]:
		return now
	case job.Service():
		return now.Add(time.Hour)
	}
	return now.Add(d.config.RunTime(job))
}

func (d *Deployment) taskEnded(m *Machine, key taskKey, cause string) {
	if cause == wire.CauseDone {
		d.mu.Lock()
		d.completed[key.task] = true
		d.mu.Unlock()
	}
	d.addEvent(TaskEvent{Task: key.task, Attempt: key.attempt, Machine: m.Name, Cause: cause})
}

func (d *Deployment) addEvent(event TaskEvent) {
	event.At = d.record.Now()
	if event.Started {
		d.record.Printf("%s: %s attempt %d runs", event.Machine, event.Task, event.Attempt)
	} else {
		d.record.Printf("%s: %s attempt %d ended: %s", event.Machine, event.Task, event.Attempt, event.Cause)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events = append(d.events, event)
}

// Events returns the starts and ends of tasks so far.
func (d *Deployment) Events() []TaskEvent {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]TaskEvent(nil), d.events...)
}

// StartNodes starts all controllers.
func (d *Deployment) StartNodes() error {
	for _, node := range d.Nodes {
		if err := node.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Leader returns the index of the controller that the state service names as the leader, and its
// lease; noNode if there is none.
func (d *Deployment) Leader() (node int, lease uint64) {
	var record struct {
		Node string `cbor:"node"`
	}
	_, permit := d.State.Value("lead/leader", &record)
	for i, n := range d.Nodes {
		if n.Name == record.Node {
			return i, permit
		}
	}
	return noNode, 0
}

// Close ends the controllers and removes the temporary folder. KEEP=1 in the environment keeps it.
func (d *Deployment) Close() error {
	var errs []error
	for _, node := range d.Nodes {
		node.Kill()
	}
	if os.Getenv("KEEP") == "" {
		errs = append(errs, os.RemoveAll(d.directory))
	} else {
		fmt.Fprintln(os.Stderr, "kept", d.directory)
	}
	return errors.Join(append(errs, d.record.Close())...)
}
