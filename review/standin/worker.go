//go:build review

package standin

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"time"
)

// Worker is one machine with its worker. All fields are guarded by Fleet.mu.
type Worker struct {
	fleet                *Fleet
	name, breed, zone    string
	address              string
	spot                 bool
	cpus, memoryGB, rate float64
	boot                 time.Duration
	rentedAt, goneAt     time.Time

	listener   net.Listener
	client     *http.Client
	tenure     uint64
	tick       uint64
	baton      uint64
	renewedAt  time.Time
	shifts     map[string]*shift // by task and attempt
	images     map[string]bool
	fetch      map[string]time.Time // when the fetch of an image ends
	current    int                  // controller that gets the next report
	changed    bool
	lastReport time.Time
	cutUntil   time.Time
	hungUntil  time.Time
	hungFrom   time.Time
}

type shift struct {
	task     string
	attempt  uint64
	standing string
	cause    string
	saved    bool
	endsAt   time.Time
}

func newWorker(f *Fleet, name string, t MachineType, zone string, spot bool) (*Worker, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	w := &Worker{
		fleet: f, name: name, breed: t.Name, zone: zone, spot: spot, address: listener.Addr().String(), listener: listener,
		cpus: t.CPUs, memoryGB: t.MemoryGB, rate: t.FetchGBPerS, boot: t.Boot, rentedAt: time.Now(),
		client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		tenure: 1, shifts: map[string]*shift{}, images: map[string]bool{}, fetch: map[string]time.Time{},
		current: rand.IntN(3),
	}
	go w.run()
	return w, nil
}

func (w *Worker) run() {
	f := w.fleet
	time.Sleep(w.boot)
	f.mu.Lock()
	w.renewedAt = time.Now()
	gone := !w.goneAt.IsZero()
	f.mu.Unlock()
	if gone {
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commands", w.commands)
	mux.HandleFunc("GET /show", w.show)
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(w.listener) }()
	defer server.Close()
	go w.reportLoop()
	for f.ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		f.mu.Lock()
		if !w.goneAt.IsZero() {
			f.mu.Unlock()
			return
		}
		w.advance(time.Now())
		f.mu.Unlock()
	}
}

func (w *Worker) reportLoop() {
	f := w.fleet
	next := time.Now()
	for f.ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		f.mu.Lock()
		now := time.Now()
		if !w.goneAt.IsZero() {
			f.mu.Unlock()
			return
		}
		due := now.After(next) || w.changed && now.Sub(w.lastReport) > 500*time.Millisecond
		if !due || now.Before(w.cutUntil) || now.Before(w.hungUntil) {
			f.mu.Unlock()
			continue
		}
		w.advance(now)
		w.changed, w.lastReport = false, now
		body, tenure := Encode(w.message()), w.tenure
		name := f.controllers[w.current%len(f.controllers)]
		address := f.addresses[name]
		f.mu.Unlock()
		if f.LateCopies && rand.IntN(10) == 0 {
			delay := time.Duration(2+rand.IntN(20)) * time.Second
			copyTo := f.addresses[f.controllers[rand.IntN(len(f.controllers))]]
			time.AfterFunc(delay, func() {
				if response, err := http.Post("http://"+copyTo+"/checkin", "application/cbor", bytes.NewReader(body)); err == nil {
					_ = response.Body.Close()
				}
			})
		}
		next = w.report(name, address, body, tenure, now)
	}
}

// report sends a report and returns when the next one is due.
func (w *Worker) report(name, address string, body []byte, tenure uint64, sentAt time.Time) time.Time {
	f := w.fleet
	status, answer := 0, Map{}
	response, err := w.client.Post("http://"+address+"/checkin", "application/cbor", bytes.NewReader(body))
	if err == nil {
		status = response.StatusCode
		raw, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		_ = Decode(raw, &answer)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if now.Before(w.cutUntil) {
		status = 0
	}
	interval := time.Duration(float64(f.report) * (0.75 + rand.Float64()/2))
	switch status {
	case http.StatusOK:
		w.answered(answer, tenure, sentAt, now)
		return sentAt.Add(interval)
	case http.StatusMisdirectedRequest:
		w.client.CloseIdleConnections()
		for i, other := range f.controllers {
			if other == text(answer["foreman"]) && other != name {
				w.current = i
				return now.Add(time.Duration(rand.Float64() * float64(500*time.Millisecond)))
			}
		}
	}
	w.client.CloseIdleConnections()
	w.current = (w.current + 1) % len(f.controllers)
	return now.Add(time.Second)
}

func (w *Worker) answered(answer Map, tenure uint64, sentAt, now time.Time) {
	w.advance(now)
	baton, ok := answer["baton"]
	if !ok || count(baton) < w.baton || tenure != w.tenure || !w.goneAt.IsZero() {
		return
	}
	w.seen(count(baton))
	if sentAt.After(w.renewedAt) {
		w.renewedAt = sentAt
	}
	w.execute(list(answer["orders"]), now)
}

func (w *Worker) seen(baton uint64) {
	if baton > w.baton {
		w.baton = baton
		w.changed = true
	}
}

func (w *Worker) message() Map {
	w.tick++
	shifts := []any{}
	keys := make([]string, 0, len(w.shifts))
	for key := range w.shifts {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		s := w.shifts[key]
		entry := Map{"shift": s.task, "try": s.attempt, "standing": s.standing}
		if s.standing == "exited" {
			entry["cause"] = s.cause
		}
		if s.saved {
			entry["saved"] = true
		}
		shifts = append(shifts, entry)
	}
	return Map{
		"rig": w.name, "address": w.address, "breed": w.breed, "pasture": w.zone, "loaners": w.spot, "tenure": w.tenure, "tick": w.tick,
		"baton": w.baton, "recall_s": nil, "shifts": shifts,
	}
}

func (w *Worker) show(rw http.ResponseWriter, _ *http.Request) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.advance(time.Now())
	reply(rw, http.StatusOK, w.message())
}

func (w *Worker) commands(rw http.ResponseWriter, r *http.Request) {
	message, ok := readMap(r)
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	for time.Now().Before(w.hungUntil) && w.goneAt.IsZero() { // a command that waits is executed afterwards
		f.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		f.mu.Lock()
	}
	now := time.Now()
	if !w.goneAt.IsZero() || now.Before(w.cutUntil) {
		panic(http.ErrAbortHandler)
	}
	w.advance(now)
	if !ok || message["baton"] == nil || message["tenure"] == nil {
		reply(rw, http.StatusBadRequest, Map{"error": "malformed"})
		return
	}
	if count(message["baton"]) < w.baton || count(message["tenure"]) != w.tenure {
		reply(rw, http.StatusConflict, w.message())
		return
	}
	w.seen(count(message["baton"]))
	w.execute(list(message["orders"]), now)
	reply(rw, http.StatusOK, w.message())
}

func (w *Worker) execute(orders []any, now time.Time) {
	for _, o := range orders {
		order, _ := o.(Map)
		task, attempt := text(order["shift"]), count(order["try"])
		key := fmt.Sprintf("%s#%d", task, attempt)
		s := w.shifts[key]
		switch text(order["verb"]) {
		case "run":
			if s == nil {
				w.start(key, task, attempt, now)
			}
		case "halt":
			if s != nil && s.standing != "exited" {
				w.exit(s, "halted")
			}
		case "forget":
			if s != nil && s.standing == "exited" {
				delete(w.shifts, key)
			}
		}
	}
}

func (w *Worker) start(key, task string, attempt uint64, now time.Time) {
	f := w.fleet
	s := &shift{task: task, attempt: attempt, standing: "fetching"}
	w.shifts[key] = s
	w.changed = true
	job := f.jobOf(task)
	if job == nil {
		s.standing, s.cause = "exited", "unknown"
		return
	}
	for other, running := range w.shifts {
		if other != key && running.task == task && running.standing != "exited" {
			s.standing, s.cause = "exited", "in_use"
			return
		}
	}
	if cpus, memoryGB := w.free(); cpus < -1e-6 || memoryGB < -1e-6 {
		s.standing, s.cause = "exited", "full"
		return
	}
	if !w.images[job.Image] && w.fetch[job.Image].IsZero() {
		w.fetch[job.Image] = now.Add(time.Duration(job.ImageGB / w.rate * float64(time.Second)))
	}
}

func (w *Worker) free() (cpus, memoryGB float64) {
	cpus, memoryGB = w.cpus, w.memoryGB
	for _, s := range w.shifts {
		if job := w.fleet.jobOf(s.task); s.standing != "exited" && job != nil {
			cpus, memoryGB = cpus-job.CPUs, memoryGB-job.MemoryGB
		}
	}
	return cpus, memoryGB
}

func (w *Worker) advance(now time.Time) {
	if !w.goneAt.IsZero() || w.renewedAt.IsZero() || now.Before(w.hungUntil) {
		return
	}
	f := w.fleet
	if !w.hungFrom.IsZero() {
		for _, s := range w.shifts {
			s.endsAt = s.endsAt.Add(now.Sub(w.hungFrom))
		}
		w.hungFrom = time.Time{}
	}
	if now.Sub(w.renewedAt) > f.lease {
		if len(w.shifts) > 0 {
			f.record.Logf("%s: lease ended, %d tasks killed", w.name, len(w.shifts))
		}
		w.drop()
		w.tenure++
		w.renewedAt, w.changed = now, true
		return
	}
	for image, end := range w.fetch {
		if !now.Before(end) {
			w.images[image] = true
			delete(w.fetch, image)
		}
	}
	for _, s := range w.shifts {
		job := f.jobOf(s.task)
		if s.standing == "fetching" && w.images[job.Image] {
			s.standing = "running"
			w.changed = true
			f.begin(s.task, w.name)
			f.record.Logf("%s: %s try %d runs", w.name, s.task, s.attempt)
			s.endsAt = now.Add(job.runOf(s.task))
			if f.doneTasks[s.task] {
				s.endsAt = now
			}
		}
		if s.standing == "running" && job.Shape != "daemon" && !now.Before(s.endsAt) {
			f.doneTasks[s.task] = true
			w.exit(s, "done")
		}
	}
}

func (w *Worker) exit(s *shift, cause string) {
	if s.standing == "running" {
		w.fleet.end(s.task, w.name)
	}
	s.standing, s.cause = "exited", cause
	w.changed = true
	w.fleet.record.Logf("%s: %s try %d exited: %s", w.name, s.task, s.attempt, cause)
}

func (w *Worker) drop() {
	for _, s := range w.shifts {
		if s.standing == "running" {
			w.fleet.end(s.task, w.name)
		}
	}
	w.shifts, w.fetch = map[string]*shift{}, map[string]time.Time{}
}

// remove ends the machine. The caller holds Fleet.mu.
func (w *Worker) remove() {
	w.drop()
	w.goneAt = time.Now()
	_ = w.listener.Close()
}
