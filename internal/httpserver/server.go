// Package httpserver is an HTTP/1.1 server for thousands of open connections of which few are
// active at a time: workers send heartbeats every few seconds, users poll, and all of them keep
// their connections open.
//
// Unlike net/http's server, it does not read from a connection while a request is handled, it
// keeps only a small buffer for an idle connection, and it sends each response with one write.
// It also limits the number of requests that are processed at once. Further requests wait for a
// slot, not in the run queue of the Go scheduler, where they would delay the process's own timers
// and calls. Requests are parsed by net/http.
package httpserver

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// Server serves HTTP requests with a handler. Use New to create one.
type Server struct {
	handler     http.Handler
	nonBlocking func(*http.Request) bool
	observe     Observer
	log         *slog.Logger

	slots          chan struct{} // holds one element per slot in use
	lastQueueDelay atomic.Int64  // wait for the most recently acquired slot, in nanoseconds
	queued         atomic.Int64  // number of waiters for a slot

	mu        sync.Mutex // guards the fields below
	closing   bool
	listener  net.Listener
	conns     map[*conn]struct{}
	openConns sync.WaitGroup // counts conns
}

// Observer is told of each request whose handler has returned: the status of the response, and the
// time since the first byte of the request arrived.
type Observer func(request *http.Request, status int, duration time.Duration)

// New returns a server. nonBlocking reports whether the handler processes a request without
// waiting for anything. Such a request holds its slot until the response is sent; every other
// request releases its slot once its header is read, before it is handled.
func New(handler http.Handler, nonBlocking func(*http.Request) bool, log *slog.Logger) *Server {
	return &Server{
		handler:     handler,
		nonBlocking: nonBlocking,
		observe:     func(*http.Request, int, time.Duration) {},
		log:         log,
		slots:       make(chan struct{}, tuning.MaxConcurrentRequests),
		conns:       map[*conn]struct{}{},
	}
}

// SetObserver sets the function that is told of each request. It must be called before Serve.
func (s *Server) SetObserver(observe Observer) { s.observe = observe }

// QueueDelay estimates how long a request that arrives now waits for a slot before it is read. It
// returns the last measured wait, or 0 if nothing is waiting.
func (s *Server) QueueDelay() time.Duration {
	if s.queued.Load() == 0 {
		return 0
	}
	return time.Duration(s.lastQueueDelay.Load())
}

// Serve accepts connections until the listener fails or the server is closed. It returns
// http.ErrServerClosed after Shutdown or Close.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	for {
		netConn, err := listener.Accept()
		switch {
		case s.isClosing():
			if err == nil {
				_ = netConn.Close()
			}
			return http.ErrServerClosed
		case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.ECONNABORTED):
			time.Sleep(tuning.AcceptRetryDelay)
			continue
		case err != nil:
			return err
		}
		// Waits until a slot is free, so that no further connections are accepted while all slots
		// are in use.
		slot := s.acquireSlot()
		slot.release()
		c := newConn(s, netConn)
		s.track(c)
		go c.serve()
	}
}

// Shutdown closes the listener and idle connections, and waits until the requests in progress
// are finished or ctx is done.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.closing = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for c := range s.conns {
		c.closeIfIdle()
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.openConns.Wait()
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close closes the listener and all connections immediately, also those with a request in
// progress.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for c := range s.conns {
		_ = c.netConn.Close()
	}
}

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

func (s *Server) track(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	s.openConns.Add(1)
}

func (s *Server) untrack(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.openConns.Done()
}

// slot is one of the tuning.MaxConcurrentRequests slots of a server. A request is processed in one.
type slot struct {
	server   *Server
	released bool
}

// acquireSlot waits until a slot is free and takes it.
func (s *Server) acquireSlot() slot {
	select {
	case s.slots <- struct{}{}:
		s.lastQueueDelay.Store(0)
	default:
		s.waitForSlot()
	}
	return slot{server: s}
}

func (s *Server) waitForSlot() {
	queuedAt := time.Now()
	s.queued.Add(1)
	s.slots <- struct{}{}
	s.queued.Add(-1)
	s.lastQueueDelay.Store(int64(time.Since(queuedAt)))
}

// release frees the slot. Calls after the first have no effect.
func (s *slot) release() {
	if s.released {
		return
	}
	s.released = true
	<-s.server.slots
}
