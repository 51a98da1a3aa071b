package simulator

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

const (
	watchPollInterval = 5 * time.Millisecond // how often a blocked watch checks for changes
	minLeaseTTLMilli  = 100                  // shortest lease that is granted, in milliseconds
)

// kvStoreServer serves the key-value store of a deployment.
type kvStoreServer struct{ deployment *Deployment }

// KVStoreHandler returns the HTTP handler of the key-value store.
func (d *Deployment) KVStoreHandler() http.Handler {
	server := kvStoreServer{d}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv", server.whenAvailable(server.readRange))
	mux.HandleFunc("GET /kv/", server.whenAvailable(server.readKey))
	mux.HandleFunc("POST /commit", server.commit)
	mux.HandleFunc("POST /holds", server.whenAvailable(server.grantLease))
	mux.HandleFunc("POST /holds/{id}/renew", server.whenAvailable(server.renewLease))
	mux.HandleFunc("DELETE /holds/{id}", server.whenAvailable(server.revokeLease))
	mux.HandleFunc("GET /changes", server.watch)
	return mux
}

// KVStoreHandlerFor returns the handler of the key-value store for one controller, which
// RefuseController can make the store refuse.
func (d *Deployment) KVStoreHandlerFor(controller string) http.Handler {
	handler := d.KVStoreHandler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		refused := d.faults.refused[controller]
		d.mu.Unlock()
		if refused {
			writeError(w, http.StatusServiceUnavailable, "refused")
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// whenAvailable returns a handler that runs the given handler with the deployment locked, or
// replies with 503 while the store is down.
func (s kvStoreServer) whenAvailable(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.deployment.mu.Lock()
		defer s.deployment.mu.Unlock()
		if s.deployment.faults.kvStoreDown {
			writeError(w, http.StatusServiceUnavailable, "down")
			return
		}
		handler(w, r)
	}
}

func (s kvStoreServer) readRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("most"))
	reply := s.deployment.kvStore.Range(s.deployment.now(), query.Get("starts"), query.Get("from"), max(1, limit))
	writeReply(w, http.StatusOK, reply)
}

func (s kvStoreServer) readKey(w http.ResponseWriter, r *http.Request) {
	item := s.deployment.kvStore.Get(s.deployment.now(), strings.TrimPrefix(r.URL.Path, "/kv/"))
	if item.ModRevision == 0 {
		writeReply(w, http.StatusNotFound, wire.TxnReply{Revision: s.deployment.kvStore.Revision})
		return
	}
	writeReply(w, http.StatusOK, item)
}

func (s kvStoreServer) commit(w http.ResponseWriter, r *http.Request) {
	txn, err := readTxn(r)
	if err != nil {
		s.rejectMalformed(w, err)
		return
	}
	d := s.deployment
	d.mu.Lock()
	defer d.mu.Unlock()
	fault := d.faults.chooseTransactionFault(txn)
	if fault.delayed() {
		d.mu.Unlock()
		fault.waitForDelay()
		d.mu.Lock()
	}
	if d.faults.kvStoreDown {
		writeError(w, http.StatusServiceUnavailable, "down")
		return
	}
	if fault.Held {
		d.faults.heldTransactions = append(d.faults.heldTransactions, txn)
		closeWithoutReply()
	}
	status, reply := d.kvStore.Commit(d.now(), txn)
	if fault.ReplyLost {
		closeWithoutReply()
	}
	writeReply(w, status, reply)
}

// rejectMalformed replies to a transaction that cannot be decoded: with 400, or with 503 while the
// store is down.
func (s kvStoreServer) rejectMalformed(w http.ResponseWriter, err error) {
	s.whenAvailable(func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, http.StatusBadRequest, err.Error())
	})(w, nil)
}

// readTxn decodes a transaction. Its values are left undecoded, as wire.Raw.
func readTxn(r *http.Request) (wire.Txn, error) {
	var received struct {
		If   []wire.Compare `cbor:"if"`
		Then []struct {
			Set    string   `cbor:"set"`
			Delete string   `cbor:"delete"`
			Value  wire.Raw `cbor:"v"`
			Lease  *uint64  `cbor:"permit"`
		} `cbor:"apply"`
	}
	if err := readBody(r, &received); err != nil {
		return wire.Txn{}, err
	}
	txn := wire.Txn{If: received.If}
	for _, op := range received.Then {
		txn.Then = append(txn.Then, wire.Op{Set: op.Set, Delete: op.Delete, Value: op.Value, Lease: op.Lease})
	}
	return txn, nil
}

func (s kvStoreServer) grantLease(w http.ResponseWriter, r *http.Request) {
	var request wire.LeaseRequest
	if readBody(r, &request) != nil || request.TTLMilli < minLeaseTTLMilli {
		writeError(w, http.StatusBadRequest, "malformed")
		return
	}
	ttl := time.Duration(request.TTLMilli) * time.Millisecond
	writeReply(w, http.StatusOK, wire.LeaseReply{ID: s.deployment.kvStore.GrantLease(s.deployment.now(), ttl)})
}

func (s kvStoreServer) renewLease(w http.ResponseWriter, r *http.Request) {
	id := leaseID(r)
	if !s.deployment.kvStore.RenewLease(s.deployment.now(), id) {
		writeError(w, http.StatusNotFound, "no such lease")
		return
	}
	writeReply(w, http.StatusOK, wire.LeaseReply{ID: id})
}

func (s kvStoreServer) revokeLease(w http.ResponseWriter, r *http.Request) {
	id := leaseID(r)
	s.deployment.kvStore.RevokeLease(id)
	writeReply(w, http.StatusOK, wire.LeaseReply{ID: id})
}

// leaseID returns the lease id in a request's path, or 0, which is never a lease id, if the path
// has none.
func leaseID(r *http.Request) uint64 {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	return id
}

// watch replies once there are changes, the log no longer has all changes since the requested
// revision, or the time for which the request may block has passed. While the store is down, it
// replies only after that time, with 503.
func (s kvStoreServer) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	blockMilli, _ := strconv.Atoi(query.Get("block_ms"))
	deadline := time.Now().Add(time.Duration(blockMilli) * time.Millisecond)
	for {
		result := s.pollChanges(query.Get("starts"), from)
		if result.ready() || time.Now().After(deadline) {
			result.reply(w)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(watchPollInterval):
		}
	}
}

// watchResult is the result of checking the store once for a watch request.
type watchResult struct {
	changes   wire.WatchReply
	compacted bool          // the log no longer has all changes since the requested revision
	down      bool          // the store is down
	delay     time.Duration // injected delay between reading the changes and sending the reply
}

func (s kvStoreServer) pollChanges(prefix string, from uint64) watchResult {
	d := s.deployment
	d.mu.Lock()
	defer d.mu.Unlock()
	changes, ok := d.kvStore.Changes(d.now(), prefix, from)
	result := watchResult{changes: changes, compacted: !ok, down: d.faults.kvStoreDown}
	if d.faults.watchDelay != nil {
		result.delay = d.faults.watchDelay()
	}
	return result
}

// ready reports whether the watch can be answered without waiting further.
func (r watchResult) ready() bool {
	return !r.down && (r.compacted || len(r.changes.Events) > 0)
}

func (r watchResult) reply(w http.ResponseWriter) {
	switch {
	case r.down:
		writeError(w, http.StatusServiceUnavailable, "down")
	case r.compacted:
		writeError(w, http.StatusGone, "too old")
	default:
		time.Sleep(r.delay)
		writeReply(w, http.StatusOK, r.changes)
	}
}
