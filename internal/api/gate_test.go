package api_test

import (
	"net/http"
	"net/http/httptest"
	"sync"
)

// gate stands in front of HTTP handlers. It can refuse requests and hold back replies.
type gate struct {
	mu     sync.Mutex
	refuse func(*http.Request) bool // these requests get 503; nil: none
	held   *heldReply               // nil: none
}

// heldReply is the reply to the first request that matches. The request is handled at once, and the
// reply is sent when the test closes release.
type heldReply struct {
	matches func(*http.Request) bool
	once    sync.Once
	handled chan struct{} // closed once the request has been handled
	release chan struct{}
}

func newHeldReply(matches func(*http.Request) bool) *heldReply {
	return &heldReply{matches: matches, handled: make(chan struct{}), release: make(chan struct{})}
}

// set replaces what the gate refuses and holds.
func (g *gate) set(refuse func(*http.Request) bool, held *heldReply) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refuse, g.held = refuse, held
}

// before returns a handler that passes requests through the gate to next.
func (g *gate) before(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.mu.Lock()
		refuse, held := g.refuse, g.held
		g.mu.Unlock()
		switch {
		case refuse != nil && refuse(r):
			w.WriteHeader(http.StatusServiceUnavailable)
		case held != nil && held.matches(r):
			held.serve(next, w, r)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// serve handles a request that matches, and holds back the reply if it is the first one.
func (h *heldReply) serve(next http.Handler, w http.ResponseWriter, r *http.Request) {
	recorded := httptest.NewRecorder()
	next.ServeHTTP(recorded, r)
	h.once.Do(func() {
		close(h.handled)
		<-h.release
	})
	w.WriteHeader(recorded.Code)
	_, _ = w.Write(recorded.Body.Bytes())
}
