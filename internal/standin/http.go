package standin

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

// Site is a whole set of stand-ins served over HTTP, in real time: the state
// service, the cloud, and a worker for each machine that is rented.
type Site struct {
	mu      sync.Mutex
	start   time.Time
	state   *State
	rules   *Rules
	types   []wire.MachineType
	boot    time.Duration
	report  time.Duration
	lease   time.Duration
	nodes   map[string]string // controllers' addresses by name
	workers map[string]*Worker
	hires   map[string][]string
	serial  int
	runFor  map[string]time.Duration // job -> run time of its tasks

	refuses   bool // the state service refuses everybody
	cloudDown bool
	fate      func(wire.Txn) Fate
	held      []wire.Txn
	slow      func() time.Duration
	rentedAt  map[string]time.Duration
	silentTo  map[string]time.Duration // machines that send and take nothing before then
	orders    OrderCounts
	counted   map[string]bool // orders, so that repeats count once
}

// Fate is what becomes of a transaction. The zero value is carried out and answered.
type Fate struct {
	Delay time.Duration   // it comes to the service so much later
	Until <-chan struct{} // if not nil, it comes to the service when this is closed
	Lost  bool            // it is carried out; its answer is lost
	Held  bool            // it gets no answer, and is carried out by ReleaseHeld
}

// Fates lets f decide what becomes of each transaction from now on; nil ends that.
// Changes carry their values undecoded, as wire.Raw.
func (s *Site) Fates(f func(wire.Txn) Fate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fate = f
}

// SlowReads lets d decide how much later than it was read each answer about changes
// comes; nil ends that.
func (s *Site) SlowReads(d func() time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = d
}

// Held is how many transactions are held.
func (s *Site) Held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.held)
}

// ReleaseHeld carries out the held transactions in the order in which they came, and
// gives the status of each, which nobody else is told.
func (s *Site) ReleaseHeld() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []int
	for _, t := range s.held {
		status, _ := s.state.Commit(s.now(), t)
		out = append(out, status)
	}
	s.held = nil
	return out
}

// NewSite makes a site. nodes are the controllers, by name.
func NewSite(types []wire.MachineType, limits map[string]float64, nodes map[string]string, boot, report, lease time.Duration) *Site {
	return &Site{start: time.Now(), state: NewState(12, 10000), rules: NewRules(limits, time.Minute), types: types,
		boot: boot, report: report, lease: lease, nodes: nodes, workers: map[string]*Worker{}, hires: map[string][]string{}, runFor: map[string]time.Duration{},
		rentedAt: map[string]time.Duration{}, silentTo: map[string]time.Duration{}, counted: map[string]bool{}}
}

func (s *Site) now() time.Duration { return time.Since(s.start) }

// Broken lists broken rules.
func (s *Site) Broken() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.rules.Broken...)
}

// Refuse makes the state service refuse everybody, or ends that.
func (s *Site) Refuse(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuses = on
	s.state.SetDown(s.now(), on)
}

// Has reports whether the state service has a key.
func (s *Site) Has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Get(s.now(), key).Stamp != 0
}

// CloudDown makes the cloud answer with trouble, or ends that.
func (s *Site) CloudDown(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cloudDown = on
}

// Upload makes a job's description known to the workers, as its user does.
func (s *Site) Upload(j *wire.Job, runFor time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rules.Submit(j)
	s.runFor[j.ID] = runFor
}

func reply(w http.ResponseWriter, status int, v any) {
	b, err := wire.Marshal(v)
	if err != nil {
		panic(err) // our own types always have a CBOR form
	}
	w.Header().Set("Content-Type", wire.ContentType)
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func body(r *http.Request, v any) error {
	b, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return err
	}
	return wire.Unmarshal(b, v)
}

// State is the handler of the state service.
func (s *Site) State() http.Handler {
	m := http.NewServeMux()
	locked := func(f func(w http.ResponseWriter, r *http.Request)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.refuses {
				reply(w, 503, wire.Error{Error: "down"})
				return
			}
			f(w, r)
		}
	}
	m.HandleFunc("GET /kv", locked(func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		most, _ := strconv.Atoi(q.Get("most"))
		reply(w, 200, s.state.Range(s.now(), q.Get("starts"), q.Get("from"), max(1, most)))
	}))
	m.HandleFunc("GET /kv/", locked(func(w http.ResponseWriter, r *http.Request) {
		it := s.state.Get(s.now(), strings.TrimPrefix(r.URL.Path, "/kv/"))
		if it.Stamp == 0 {
			reply(w, 404, wire.TxnReply{Epoch: s.state.Epoch})
			return
		}
		reply(w, 200, it)
	}))
	m.HandleFunc("POST /commit", func(w http.ResponseWriter, r *http.Request) {
		var t struct {
			If    []wire.Condition `cbor:"if"`
			Apply []struct {
				Set    string   `cbor:"set"`
				Delete string   `cbor:"delete"`
				Value  wire.Raw `cbor:"v"`
				Permit *uint64  `cbor:"permit"`
			} `cbor:"apply"`
		}
		malformed := body(r, &t)
		txn := wire.Txn{If: t.If}
		for _, c := range t.Apply {
			txn.Apply = append(txn.Apply, wire.Change{Set: c.Set, Delete: c.Delete, Value: c.Value, Permit: c.Permit})
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		var fate Fate
		if s.fate != nil && malformed == nil && !s.refuses {
			fate = s.fate(txn)
		}
		if fate.Delay > 0 || fate.Until != nil {
			s.mu.Unlock()
			time.Sleep(fate.Delay)
			if fate.Until != nil {
				<-fate.Until
			}
			s.mu.Lock()
		}
		switch {
		case s.refuses:
			reply(w, 503, wire.Error{Error: "down"})
			return
		case malformed != nil:
			reply(w, 400, wire.Error{Error: malformed.Error()})
			return
		case fate.Held:
			s.held = append(s.held, txn)
			panic(http.ErrAbortHandler) // closes the connection without an answer
		}
		status, out := s.state.Commit(s.now(), txn)
		if fate.Lost {
			panic(http.ErrAbortHandler)
		}
		reply(w, status, out)
	})
	m.HandleFunc("POST /holds", locked(func(w http.ResponseWriter, r *http.Request) {
		var l wire.LeaseRequest
		if body(r, &l) != nil || l.TTLMilli < 100 {
			reply(w, 400, wire.Error{Error: "malformed"})
			return
		}
		reply(w, 200, wire.Lease{Permit: s.state.Grant(s.now(), time.Duration(l.TTLMilli)*time.Millisecond)})
	}))
	m.HandleFunc("POST /holds/{id}/renew", locked(func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
		if !s.state.Renew(s.now(), id) {
			reply(w, 404, wire.Error{Error: "no such lease"})
			return
		}
		reply(w, 200, wire.Lease{Permit: id})
	}))
	m.HandleFunc("DELETE /holds/{id}", locked(func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
		s.state.Revoke(id)
		reply(w, 200, wire.Lease{Permit: id})
	}))
	m.HandleFunc("GET /changes", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
		block, _ := strconv.Atoi(q.Get("block_ms"))
		end := time.Now().Add(time.Duration(block) * time.Millisecond)
		for {
			s.mu.Lock()
			c, ok := s.state.Changes(s.now(), q.Get("starts"), from)
			down := s.refuses
			late := time.Duration(0)
			if s.slow != nil {
				late = s.slow()
			}
			s.mu.Unlock()
			switch {
			case !down && !ok:
				reply(w, 410, wire.Error{Error: "too old"})
				return
			case !down && len(c.Log) > 0, time.Now().After(end):
				if down {
					reply(w, 503, wire.Error{Error: "down"})
				} else {
					time.Sleep(late)
					reply(w, 200, c)
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

// Cloud is the handler of the cloud. Machines that it rents boot and report.
func (s *Site) Cloud(ctx context.Context) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /flavors", func(w http.ResponseWriter, r *http.Request) { reply(w, 200, wire.TypeList{Types: s.types}) })
	m.HandleFunc("POST /rentals", func(w http.ResponseWriter, r *http.Request) {
		var q wire.RentRequest
		if body(r, &q) != nil || q.Count < 1 || q.Count > 50 {
			reply(w, 400, wire.Error{Error: "malformed"})
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		names, again := s.hires[q.Name]
		if !again {
			for _, t := range s.types {
				for i := 0; i < q.Count && t.Name == q.Type; i++ {
					names = append(names, s.rent(ctx, t, q.Zone, q.Spot))
				}
			}
			s.hires[q.Name] = names
			s.orders.Rented += len(names)
		}
		if len(names) == 0 {
			reply(w, 503, wire.Error{Error: "no capacity"})
			return
		}
		reply(w, 200, wire.MachineNames{Machines: names})
	})
	m.HandleFunc("POST /rentals/release", func(w http.ResponseWriter, r *http.Request) {
		var q wire.MachineNames
		if body(r, &q) != nil || len(q.Machines) > 100 {
			reply(w, 400, wire.Error{Error: "malformed"})
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, n := range q.Machines {
			if wk := s.workers[n]; wk != nil {
				s.countOnce(&s.orders.Releases, n)
				wk.Kill()
			}
		}
		reply(w, 200, struct{}{})
	})
	m.HandleFunc("GET /rentals", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		out := wire.MachineList{Machines: []wire.ListedMachine{}}
		from := r.URL.Query().Get("from")
		for n, wk := range s.workers {
			if !wk.Gone && n > from {
				out.Machines = append(out.Machines, wire.ListedMachine{Name: n, Address: wk.Addr, Type: wk.Type, Zone: wk.Zone, Spot: wk.Spot, State: wire.MachineRunning, AgeS: (s.now() - s.rentedAt[n]).Seconds()})
			}
		}
		sort.Slice(out.Machines, func(a, b int) bool { return out.Machines[a].Name < out.Machines[b].Name })
		if most, _ := strconv.Atoi(r.URL.Query().Get("most")); most > 0 && len(out.Machines) > most {
			out.Machines, out.More = out.Machines[:most], true
		}
		reply(w, 200, out)
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := s.cloudDown
		s.mu.Unlock()
		if down {
			reply(w, 503, wire.Error{Error: "trouble"})
			return
		}
		m.ServeHTTP(w, r)
	})
}

// rent makes a machine and lets it boot. Called with the lock held.
func (s *Site) rent(ctx context.Context, t wire.MachineType, zone string, spot bool) string {
	s.serial++
	name := fmt.Sprintf("n-%06d", s.serial)
	wk := NewWorker(s.now()+s.boot, s.lease, name, t, zone, spot, s.rules, func(task string) time.Duration {
		id, _, _ := wire.SplitTask(task)
		return s.runFor[id]
	}, func(string) bool { return false })
	s.workers[name], s.rentedAt[name] = wk, s.now()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err) // no loopback
	}
	wk.Addr = l.Addr().String()
	go s.runWorker(ctx, wk, l)
	return name
}

// runWorker serves a worker's interface and sends its reports.
func (s *Site) runWorker(ctx context.Context, wk *Worker, l net.Listener) {
	m := http.NewServeMux()
	m.HandleFunc("POST /commands", func(w http.ResponseWriter, r *http.Request) {
		var d wire.DirectCommands
		if body(r, &d) != nil {
			reply(w, 400, wire.Error{Error: "malformed"})
			return
		}
		s.mu.Lock()
		silent := s.silentTo[wk.Name] > s.now() || wk.Gone
		var status int
		var rep wire.Report
		if !silent {
			s.countCommands(wk.Name, d.Commands)
			status, rep = wk.Commands(s.now(), d)
		}
		s.mu.Unlock()
		if silent {
			panic(http.ErrAbortHandler) // no answer
		}
		reply(w, status, rep)
	})
	srv := &http.Server{Handler: m}
	if !wait(ctx, s.boot) {
		return
	}
	go func() { _ = srv.Serve(l) }()
	defer srv.Close()
	names := make([]string, 0, len(s.nodes))
	for n := range s.nodes {
		names = append(names, n)
	}
	sort.Strings(names)
	at := 0
	hc := &http.Client{Timeout: 4 * time.Second}
	for {
		s.mu.Lock()
		wk.Advance(s.now())
		gone, silent := wk.Gone, s.silentTo[wk.Name]-s.now()
		rep, sent, session := wk.Report(s.now()), s.now(), wk.Session
		s.mu.Unlock()
		if gone || ctx.Err() != nil {
			return
		}
		if silent > 0 {
			wait(ctx, silent)
			continue
		}
		raw, _ := wire.Marshal(rep)
		status := 0
		var got []byte
		resp, err := hc.Post("http://"+s.nodes[names[at]]+"/checkin", wire.ContentType, bytes.NewReader(raw))
		if err == nil {
			got, _ = io.ReadAll(resp.Body)
			resp.Body.Close()
			status = resp.StatusCode
		}
		pause := s.report
		switch status {
		case 200:
			var a wire.CheckinReply
			if wire.Unmarshal(got, &a) == nil {
				s.mu.Lock()
				s.countCommands(wk.Name, a.Commands)
				wk.Reply(s.now(), sent, session, a)
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
			at, pause = (at+1)%len(names), min(time.Second, s.report)
		}
		if !s.idle(ctx, wk, pause) {
			return
		}
	}
}

// idle waits for the next report: pause, or less if something changes.
func (s *Site) idle(ctx context.Context, wk *Worker, pause time.Duration) bool {
	end := time.Now().Add(pause)
	for time.Now().Before(end) {
		if !wait(ctx, 10*time.Millisecond) {
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

func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// Submission encodes a job as users send it, with every field.
func Submission(j *wire.Job) ([]byte, error) {
	return wire.Marshal(map[string]any{
		"uid": j.ID, "docket": j.Class, "crew": j.Team, "shape": j.Shape, "rank": j.Rank, "shifts": j.Tasks,
		"cpus": j.CPUs, "gpus": j.GPUs, "memory_gb": j.MemoryGB, "kit": j.Image, "pull_gb": j.ImageGB,
		"breeds": j.Types, "pasture": nil, "together": j.Together, "scatter": j.Scatter, "loaners": j.Spot,
		"reckon_s": j.EstimateS, "tally_s": j.CheckpointS, "stow_s": j.SaveS, "due_s": j.DueS,
	})
}
