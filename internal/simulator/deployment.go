package simulator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// Deployment is a whole set of stand-ins served over HTTP, in real time: the state
// service, the cloud, and a worker for each machine that is rented.
type Deployment struct {
	mu                   sync.Mutex
	startedAt            time.Time
	kvStore              *KVStore
	checker              *RuleChecker
	machineTypes         []wire.MachineType
	bootTime             time.Duration
	heartbeatInterval    time.Duration
	leaseDuration        time.Duration
	controllers          map[string]string // controllers' addresses by name
	workers              map[string]*Worker
	provisionedByRequest map[string][]string
	machineCount         int
	runTimes             map[string]time.Duration // job -> run time of its tasks

	kvStoreDown      bool // the state service refuses everybody
	cloudDown        bool
	transactionFault func(wire.Txn) TransactionFault
	heldTransactions []wire.Txn
	watchDelay       func() time.Duration
	provisionedAt    map[string]time.Duration
	partitionedUntil map[string]time.Duration // machines that send and take nothing before then
	orders           OrderCounts
	countedOrders    map[string]bool // orders, so that repeats count once
}

// TransactionFault is what becomes of a transaction. The zero value is carried out and answered.
type TransactionFault struct {
	Delay      time.Duration   // it comes to the service so much later
	DelayUntil <-chan struct{} // if not nil, it comes to the service when this is closed
	ReplyLost  bool            // it is carried out; its answer is lost
	Held       bool            // it gets no answer, and is carried out by CommitHeldTransactions
}

// InjectTransactionFaults lets f decide what becomes of each transaction from now on; nil ends that.
// Changes carry their values undecoded, as wire.Raw.
func (s *Deployment) InjectTransactionFaults(f func(wire.Txn) TransactionFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transactionFault = f
}

// DelayWatchReplies lets d decide how much later than it was read each answer about changes
// comes; nil ends that.
func (s *Deployment) DelayWatchReplies(d func() time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchDelay = d
}

// HeldTransactions is how many transactions are held.
func (s *Deployment) HeldTransactions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.heldTransactions)
}

// CommitHeldTransactions carries out the held transactions in the order in which they came, and
// gives the status of each, which nobody else is told.
func (s *Deployment) CommitHeldTransactions() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []int
	for _, t := range s.heldTransactions {
		status, _ := s.kvStore.Commit(s.now(), t)
		out = append(out, status)
	}
	s.heldTransactions = nil
	return out
}

// NewDeployment makes a site. nodes are the controllers, by name.
func NewDeployment(types []wire.MachineType, limits map[string]float64, nodes map[string]string, boot, report, lease time.Duration) *Deployment {
	return &Deployment{startedAt: time.Now(), kvStore: NewKVStore(12, 10000), checker: NewRuleChecker(limits, time.Minute), machineTypes: types,
		bootTime: boot, heartbeatInterval: report, leaseDuration: lease, controllers: nodes, workers: map[string]*Worker{}, provisionedByRequest: map[string][]string{}, runTimes: map[string]time.Duration{},
		provisionedAt: map[string]time.Duration{}, partitionedUntil: map[string]time.Duration{}, countedOrders: map[string]bool{}}
}

func (s *Deployment) now() time.Duration { return time.Since(s.startedAt) }

// Violations lists broken rules.
func (s *Deployment) Violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.checker.Violations...)
}

// SetKVStoreDown makes the state service refuse everybody, or ends that.
func (s *Deployment) SetKVStoreDown(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kvStoreDown = on
	s.kvStore.SetUnavailable(s.now(), on)
}

// HasKey reports whether the state service has a key.
func (s *Deployment) HasKey(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kvStore.Get(s.now(), key).ModRevision != 0
}

// SetCloudDown makes the cloud answer with trouble, or ends that.
func (s *Deployment) SetCloudDown(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cloudDown = on
}

// UploadJob makes a job's description known to the workers, as its user does.
func (s *Deployment) UploadJob(j *wire.Job, runFor time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checker.AddJob(j)
	s.runTimes[j.ID] = runFor
}

func writeReply(w http.ResponseWriter, status int, v any) {
	b, err := wire.Marshal(v)
	if err != nil {
		panic(err) // our own types always have a CBOR form
	}
	w.Header().Set("Content-Type", wire.ContentType)
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func readBody(r *http.Request, v any) error {
	b, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return err
	}
	return wire.Unmarshal(b, v)
}

// KVStoreHandler is the handler of the state service.
func (s *Deployment) KVStoreHandler() http.Handler {
	m := http.NewServeMux()
	locked := func(f func(w http.ResponseWriter, r *http.Request)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.kvStoreDown {
				writeReply(w, 503, wire.ErrorReply{Message: "down"})
				return
			}
			f(w, r)
		}
	}
	m.HandleFunc("GET /kv", locked(func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		most, _ := strconv.Atoi(q.Get("most"))
		writeReply(w, 200, s.kvStore.Range(s.now(), q.Get("starts"), q.Get("from"), max(1, most)))
	}))
	m.HandleFunc("GET /kv/", locked(func(w http.ResponseWriter, r *http.Request) {
		it := s.kvStore.Get(s.now(), strings.TrimPrefix(r.URL.Path, "/kv/"))
		if it.ModRevision == 0 {
			writeReply(w, 404, wire.TxnReply{Revision: s.kvStore.Revision})
			return
		}
		writeReply(w, 200, it)
	}))
	m.HandleFunc("POST /commit", func(w http.ResponseWriter, r *http.Request) {
		var t struct {
			If    []wire.Compare `cbor:"if"`
			Apply []struct {
				Set    string   `cbor:"set"`
				Delete string   `cbor:"delete"`
				Value  wire.Raw `cbor:"v"`
				Permit *uint64  `cbor:"permit"`
			} `cbor:"apply"`
		}
		malformed := readBody(r, &t)
		txn := wire.Txn{If: t.If}
		for _, c := range t.Apply {
			txn.Then = append(txn.Then, wire.Op{Set: c.Set, Delete: c.Delete, Value: c.Value, Lease: c.Permit})
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		var fate TransactionFault
		if s.transactionFault != nil && malformed == nil && !s.kvStoreDown {
			fate = s.transactionFault(txn)
		}
		if fate.Delay > 0 || fate.DelayUntil != nil {
			s.mu.Unlock()
			time.Sleep(fate.Delay)
			if fate.DelayUntil != nil {
				<-fate.DelayUntil
			}
			s.mu.Lock()
		}
		switch {
		case s.kvStoreDown:
			writeReply(w, 503, wire.ErrorReply{Message: "down"})
			return
		case malformed != nil:
			writeReply(w, 400, wire.ErrorReply{Message: malformed.Error()})
			return
		case fate.Held:
			s.heldTransactions = append(s.heldTransactions, txn)
			panic(http.ErrAbortHandler) // closes the connection without an answer
		}
		status, out := s.kvStore.Commit(s.now(), txn)
		if fate.ReplyLost {
			panic(http.ErrAbortHandler)
		}
		writeReply(w, status, out)
	})
	m.HandleFunc("POST /holds", locked(func(w http.ResponseWriter, r *http.Request) {
		var l wire.LeaseRequest
		if readBody(r, &l) != nil || l.TTLMilli < 100 {
			writeReply(w, 400, wire.ErrorReply{Message: "malformed"})
			return
		}
		writeReply(w, 200, wire.LeaseReply{ID: s.kvStore.GrantLease(s.now(), time.Duration(l.TTLMilli)*time.Millisecond)})
	}))
	m.HandleFunc("POST /holds/{id}/renew", locked(func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
		if !s.kvStore.RenewLease(s.now(), id) {
			writeReply(w, 404, wire.ErrorReply{Message: "no such lease"})
			return
		}
		writeReply(w, 200, wire.LeaseReply{ID: id})
	}))
	m.HandleFunc("DELETE /holds/{id}", locked(func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
		s.kvStore.RevokeLease(id)
		writeReply(w, 200, wire.LeaseReply{ID: id})
	}))
	m.HandleFunc("GET /changes", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
		block, _ := strconv.Atoi(q.Get("block_ms"))
		end := time.Now().Add(time.Duration(block) * time.Millisecond)
		for {
			s.mu.Lock()
			c, ok := s.kvStore.Changes(s.now(), q.Get("starts"), from)
			down := s.kvStoreDown
			late := time.Duration(0)
			if s.watchDelay != nil {
				late = s.watchDelay()
			}
			s.mu.Unlock()
			switch {
			case !down && !ok:
				writeReply(w, 410, wire.ErrorReply{Message: "too old"})
				return
			case !down && len(c.Events) > 0, time.Now().After(end):
				if down {
					writeReply(w, 503, wire.ErrorReply{Message: "down"})
				} else {
					time.Sleep(late)
					writeReply(w, 200, c)
				}
				return
			}
			select {
			case <-r.Context().Done():
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	})
	return m
}

// CloudHandler is the handler of the cloud. Machines that it rents boot and report.
func (s *Deployment) CloudHandler(ctx context.Context) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /flavors", func(w http.ResponseWriter, r *http.Request) {
		writeReply(w, 200, wire.MachineTypeList{Types: s.machineTypes})
	})
	m.HandleFunc("POST /rentals", func(w http.ResponseWriter, r *http.Request) {
		var q wire.ProvisionRequest
		if readBody(r, &q) != nil || q.Count < 1 || q.Count > 50 {
			writeReply(w, 400, wire.ErrorReply{Message: "malformed"})
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		names, again := s.provisionedByRequest[q.RequestID]
		if !again {
			for _, t := range s.machineTypes {
				for i := 0; i < q.Count && t.Name == q.Type; i++ {
					names = append(names, s.provision(ctx, t, q.Zone, q.Spot))
				}
			}
			s.provisionedByRequest[q.RequestID] = names
			s.orders.Provisioned += len(names)
		}
		if len(names) == 0 {
			writeReply(w, 503, wire.ErrorReply{Message: "no capacity"})
			return
		}
		writeReply(w, 200, wire.MachineNames{Machines: names})
	})
	m.HandleFunc("POST /rentals/release", func(w http.ResponseWriter, r *http.Request) {
		var q wire.MachineNames
		if readBody(r, &q) != nil || len(q.Machines) > 100 {
			writeReply(w, 400, wire.ErrorReply{Message: "malformed"})
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, n := range q.Machines {
			if wk := s.workers[n]; wk != nil {
				s.countOnce(&s.orders.Releases, n)
				wk.Terminate()
			}
		}
		writeReply(w, 200, struct{}{})
	})
	m.HandleFunc("GET /rentals", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		out := wire.MachineList{Machines: []wire.ListedMachine{}}
		from := r.URL.Query().Get("from")
		for n, wk := range s.workers {
			if !wk.Terminated && n > from {
				out.Machines = append(out.Machines, wire.ListedMachine{Name: n, Address: wk.Address, Type: wk.Type, Zone: wk.Zone, Spot: wk.Spot, State: wire.MachineRunning, AgeS: (s.now() - s.provisionedAt[n]).Seconds()})
			}
		}
		sort.Slice(out.Machines, func(a, b int) bool { return out.Machines[a].Name < out.Machines[b].Name })
		if most, _ := strconv.Atoi(r.URL.Query().Get("most")); most > 0 && len(out.Machines) > most {
			out.Machines, out.More = out.Machines[:most], true
		}
		writeReply(w, 200, out)
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := s.cloudDown
		s.mu.Unlock()
		if down {
			writeReply(w, 503, wire.ErrorReply{Message: "trouble"})
			return
		}
		m.ServeHTTP(w, r)
	})
}

// provision makes a machine and lets it boot. Called with the lock held.
func (s *Deployment) provision(ctx context.Context, t wire.MachineType, zone string, spot bool) string {
	s.machineCount++
	name := fmt.Sprintf("n-%06d", s.machineCount)
	wk := NewWorker(s.now()+s.bootTime, s.leaseDuration, name, t, zone, spot, s.checker, func(task string) time.Duration {
		id, _, _ := wire.ParseTaskName(task)
		return s.runTimes[id]
	}, func(string) bool { return false })
	s.workers[name], s.provisionedAt[name] = wk, s.now()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err) // no loopback
	}
	wk.Address = l.Addr().String()
	go s.runWorker(ctx, wk, l)
	return name
}

// runWorker serves a worker's interface and sends its reports.
func (s *Deployment) runWorker(ctx context.Context, wk *Worker, l net.Listener) {
	m := http.NewServeMux()
	m.HandleFunc("POST /commands", func(w http.ResponseWriter, r *http.Request) {
		var d wire.DirectCommands
		if readBody(r, &d) != nil {
			writeReply(w, 400, wire.ErrorReply{Message: "malformed"})
			return
		}
		s.mu.Lock()
		silent := s.partitionedUntil[wk.Name] > s.now() || wk.Terminated
		var status int
		var rep wire.Heartbeat
		if !silent {
			s.countCommands(wk.Name, d.Commands)
			status, rep = wk.HandleCommands(s.now(), d)
		}
		s.mu.Unlock()
		if silent {
			panic(http.ErrAbortHandler) // no answer
		}
		writeReply(w, status, rep)
	})
	srv := &http.Server{Handler: m}
	if !sleep(ctx, s.bootTime) {
		return
	}
	go func() { _ = srv.Serve(l) }()
	defer srv.Close()
	names := make([]string, 0, len(s.controllers))
	for n := range s.controllers {
		names = append(names, n)
	}
	sort.Strings(names)
	at := 0
	hc := &http.Client{Timeout: 4 * time.Second}
	for {
		s.mu.Lock()
		wk.Advance(s.now())
		gone, silent := wk.Terminated, s.partitionedUntil[wk.Name]-s.now()
		rep, sent, session := wk.Heartbeat(s.now()), s.now(), wk.Incarnation
		s.mu.Unlock()
		if gone || ctx.Err() != nil {
			return
		}
		if silent > 0 {
			sleep(ctx, silent)
			continue
		}
		raw, _ := wire.Marshal(rep)
		status := 0
		var got []byte
		resp, err := hc.Post("http://"+s.controllers[names[at]]+"/checkin", wire.ContentType, bytes.NewReader(raw))
		if err == nil {
			got, _ = io.ReadAll(resp.Body)
			resp.Body.Close()
			status = resp.StatusCode
		}
		pause := s.heartbeatInterval
		switch status {
		case 200:
			var a wire.HeartbeatReply
			if wire.Unmarshal(got, &a) == nil {
				s.mu.Lock()
				s.countCommands(wk.Name, a.Commands)
				wk.HandleHeartbeatReply(s.now(), sent, session, a)
				s.mu.Unlock()
			}
		case 421:
			var to wire.Redirect
			_ = wire.Unmarshal(got, &to)
			next := sort.SearchStrings(names, to.Leader)
			if next < len(names) && names[next] == to.Leader && next != at {
				at, pause = next, 0
				break
			}
			fallthrough
		default:
			at, pause = (at+1)%len(names), min(time.Second, s.heartbeatInterval)
		}
		if !s.awaitNextHeartbeat(ctx, wk, pause) {
			return
		}
	}
}

// awaitNextHeartbeat waits for the next report: pause, or less if something changes.
func (s *Deployment) awaitNextHeartbeat(ctx context.Context, wk *Worker, pause time.Duration) bool {
	end := time.Now().Add(pause)
	for time.Now().Before(end) {
		if !sleep(ctx, 10*time.Millisecond) {
			return false
		}
		s.mu.Lock()
		changed := wk.Advance(s.now())
		s.mu.Unlock()
		if changed {
			return true
		}
	}
	return ctx.Err() == nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// EncodeSubmission encodes a job as users send it, with every field.
func EncodeSubmission(j *wire.Job) ([]byte, error) {
	return wire.Marshal(map[string]any{
		"uid": j.ID, "docket": j.Class, "crew": j.Team, "shape": j.Shape, "rank": j.Priority, "shifts": j.Tasks,
		"cpus": j.CPUs, "gpus": j.GPUs, "memory_gb": j.MemoryGB, "kit": j.Image, "pull_gb": j.ImageGB,
		"breeds": j.MachineTypes, "pasture": nil, "together": j.SameZone, "scatter": j.SpreadZones, "loaners": j.Spot,
		"reckon_s": j.EstimatedRunS, "tally_s": j.CheckpointIntervalS, "stow_s": j.CheckpointSaveS, "due_s": j.DeadlineS,
	})
}
