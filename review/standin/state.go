//go:build review

package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// StateLimits are the limits of the state service.
type StateLimits struct {
	RPS, WriteRPS, ValueKB float64
	TxnOps                 int
}

// State is the state service.
type State struct {
	record *Record

	mu       sync.Mutex
	limits   StateLimits
	epoch    uint64
	items    map[string]stateItem
	log      []stateEvent
	holds    map[uint64]*hold
	lastHold uint64
	changed  chan struct{}
	down     bool
	refused  map[string]bool
	requests bucket
	writes   bucket

	// Answers counts the answers to transactions by status.
	Answers map[int]int
}

type stateItem struct {
	value  any
	stamp  uint64
	permit uint64
}

type stateEvent struct {
	key     string
	deleted bool
	value   any
	stamp   uint64
}

type hold struct {
	ttl time.Duration
	end time.Time
}

// NewState returns an empty state service.
func NewState(record *Record, limits StateLimits) *State {
	return &State{
		record: record, limits: limits, items: map[string]stateItem{}, holds: map[uint64]*hold{}, changed: make(chan struct{}),
		refused: map[string]bool{}, requests: bucket{burst: 1}, writes: bucket{burst: 1}, Answers: map[int]int{},
	}
}

// SetLimits changes the limits.
func (s *State) SetLimits(limits StateLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
}

// SetDown begins or ends an outage.
func (s *State) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && !down {
		for _, h := range s.holds {
			h.end = time.Now().Add(h.ttl)
		}
	}
	s.down = down
}

// Refuse makes the service refuse one controller, or ends that.
func (s *State) Refuse(controller string, refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[controller] = refuse
}

// TakeAnswers returns the counts of answers to transactions since the last call.
func (s *State) TakeAnswers() map[int]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	answers := s.Answers
	s.Answers = map[int]int{}
	return answers
}

// Run ends holds until ctx ends.
func (s *State) Run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		s.mu.Lock()
		if !s.down {
			now := time.Now()
			for id, h := range s.holds {
				if now.After(h.end) {
					s.endHold(id)
				}
			}
		}
		s.mu.Unlock()
	}
}

// Serve serves the service for one controller and returns the address.
func (s *State) Serve(ctx context.Context, controller string) (string, error) {
	return serve(ctx, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(w, r, controller) }))
}

func (s *State) unavailable(controller string) bool { return s.down || s.refused[controller] }

func (s *State) handle(w http.ResponseWriter, r *http.Request, controller string) {
	message, ok := readMap(r)
	s.mu.Lock()
	unavailable, rps := s.unavailable(controller), s.limits.RPS
	s.mu.Unlock()
	isWatch := r.URL.Path == "/changes"
	if unavailable && !isWatch {
		reply(w, http.StatusServiceUnavailable, Map{"error": "trouble"})
		return
	}
	if !s.requests.take(rps, 1) {
		reply(w, http.StatusTooManyRequests, Map{"error": "too many requests"})
		return
	}
	if !ok {
		reply(w, http.StatusBadRequest, Map{"error": "malformed"})
		return
	}
	path := r.URL.Path
	switch {
	case isWatch:
		s.watch(w, r, controller)
	case path == "/commit" && r.Method == http.MethodPost:
		status, answer := s.commit(message)
		s.mu.Lock()
		s.Answers[status]++
		s.mu.Unlock()
		reply(w, status, answer)
	case path == "/kv" && r.Method == http.MethodGet:
		s.page(w, r)
	case strings.HasPrefix(path, "/kv/") && r.Method == http.MethodGet:
		s.get(w, strings.TrimPrefix(path, "/kv/"))
	case path == "/holds" && r.Method == http.MethodPost:
		s.grant(w, message)
	case strings.HasPrefix(path, "/holds/"):
		s.holdCall(w, r)
	default:
		reply(w, http.StatusBadRequest, Map{"error": "malformed"})
	}
}

func (s *State) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[key]
	if !ok {
		reply(w, http.StatusNotFound, Map{"epoch": s.epoch})
		return
	}
	reply(w, http.StatusOK, item.message(key))
}

func (i stateItem) message(key string) Map {
	message := Map{"key": key, "v": i.value, "stamp": i.stamp}
	if i.permit != 0 {
		message["permit"] = i.permit
	}
	return message
}

func (s *State) page(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	most, _ := strconv.Atoi(query.Get("most"))
	if most <= 0 || most > 1000 {
		most = 1000
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, query.Get("starts")) && key > query.Get("from") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, more := []any{}, 0, false
	for _, key := range keys {
		message := s.items[key].message(key)
		size += jsonSize(message)
		if len(items) == most || size > 512<<10 && len(items) > 0 {
			more = true
			break
		}
		items = append(items, message)
	}
	reply(w, http.StatusOK, Map{"items": items, "more": more, "epoch": s.epoch})
}

func jsonSize(v any) int {
	encoded, err := json.Marshal(v)
	if err != nil {
		return 1 << 30
	}
	return len(encoded)
}

func (s *State) commit(message Map) (int, Map) {
	conditions, changes := list(message["if"]), list(message["apply"])
	s.mu.Lock()
	defer s.mu.Unlock()
	limits := s.limits
	if len(changes) > limits.TxnOps || len(conditions) > 4*limits.TxnOps || jsonSize(message) > 64<<10 {
		return http.StatusBadRequest, Map{"error": "transaction too large"}
	}
	for _, change := range changes {
		op, _ := change.(Map)
		if text(op["set"]) == "" && text(op["delete"]) == "" {
			return http.StatusBadRequest, Map{"error": "malformed"}
		}
		if text(op["set"]) != "" && float64(jsonSize(op["v"])) > limits.ValueKB*1024 {
			return http.StatusBadRequest, Map{"error": "value too large"}
		}
	}
	if !s.writes.take(limits.WriteRPS, float64(len(changes))) {
		return http.StatusTooManyRequests, Map{"error": "too many changes"}
	}
	for _, change := range changes {
		op, _ := change.(Map)
		if permit := count(op["permit"]); permit != 0 && s.holds[permit] == nil {
			return http.StatusBadRequest, Map{"error": "no such lease"}
		}
	}
	failed := []any{}
	for _, condition := range conditions {
		c, _ := condition.(Map)
		if s.items[text(c["key"])].stamp != count(c["stamp"]) {
			failed = append(failed, text(c["key"]))
		}
	}
	if len(failed) > 0 {
		return http.StatusConflict, Map{"failed": failed, "epoch": s.epoch}
	}
	if len(changes) > 0 {
		s.epoch++
		for _, change := range changes {
			op, _ := change.(Map)
			if key := text(op["set"]); key != "" {
				s.items[key] = stateItem{op["v"], s.epoch, count(op["permit"])}
				s.note(stateEvent{key: key, value: op["v"], stamp: s.epoch})
			} else {
				s.remove(text(op["delete"]))
			}
		}
		s.wake()
	}
	return http.StatusOK, Map{"epoch": s.epoch}
}

func (s *State) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.note(stateEvent{key: key, deleted: true, stamp: s.epoch})
	}
}

func (s *State) note(event stateEvent) {
	s.log = append(s.log, event)
	if len(s.log) > 10000 {
		s.log = s.log[len(s.log)-10000:]
	}
}

func (s *State) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *State) grant(w http.ResponseWriter, message Map) {
	ttl := time.Duration(number(message["ttl_ms"])) * time.Millisecond
	if ttl < 100*time.Millisecond || ttl > 10*time.Minute {
		reply(w, http.StatusBadRequest, Map{"error": "malformed"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastHold++
	s.holds[s.lastHold] = &hold{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, Map{"permit": s.lastHold})
}

func (s *State) holdCall(w http.ResponseWriter, r *http.Request) {
	rest := strings.TrimPrefix(r.URL.Path, "/holds/")
	number, action, _ := strings.Cut(rest, "/")
	id, _ := strconv.ParseUint(number, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.holds[id]
	switch {
	case h == nil:
		reply(w, http.StatusNotFound, Map{"error": "no such lease"})
	case r.Method == http.MethodDelete:
		s.endHold(id)
		reply(w, http.StatusOK, Map{"permit": id})
	case action == "renew":
		h.end = time.Now().Add(h.ttl)
		reply(w, http.StatusOK, Map{"permit": id})
	default:
		reply(w, http.StatusBadRequest, Map{"error": "malformed"})
	}
}

// endHold ends a hold and removes its keys.
func (s *State) endHold(id uint64) {
	delete(s.holds, id)
	var keys []string
	for key, item := range s.items {
		if item.permit == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.epoch++
	for _, key := range keys {
		s.remove(key)
	}
	s.wake()
}

func (s *State) watch(w http.ResponseWriter, r *http.Request, controller string) {
	query := r.URL.Query()
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	block, _ := strconv.Atoi(query.Get("block_ms"))
	deadline := time.Now().Add(time.Duration(min(block, 60000)) * time.Millisecond)
	for {
		s.mu.Lock()
		unavailable, changed, epoch := s.unavailable(controller), s.changed, s.epoch
		tooOld := len(s.log) == 10000 && from+1 < s.log[0].stamp
		events := []any{}
		if !unavailable && !tooOld {
			for _, e := range s.log {
				if e.stamp > from && strings.HasPrefix(e.key, query.Get("starts")) {
					if e.deleted {
						events = append(events, Map{"delete": e.key, "stamp": e.stamp})
					} else {
						events = append(events, Map{"set": e.key, "v": e.value, "stamp": e.stamp})
					}
				}
			}
		}
		s.mu.Unlock()
		expired := !time.Now().Before(deadline)
		switch {
		case unavailable && expired:
			reply(w, http.StatusServiceUnavailable, Map{"error": "trouble"})
			return
		case unavailable:
		case tooOld:
			reply(w, http.StatusGone, Map{"error": "too old"})
			return
		case len(events) > 0 || expired:
			reply(w, http.StatusOK, Map{"epoch": epoch, "log": events})
			return
		}
		wait := min(time.Until(deadline), 100*time.Millisecond)
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-time.After(max(wait, time.Millisecond)):
		}
	}
}
