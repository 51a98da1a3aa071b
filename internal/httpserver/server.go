// Package httpserver serves HTTP/1.1 on connections of which thousands are open and few are
// busy: workers send heartbeats every few seconds, users poll, and each keeps its connection.
//
// It omits what net/http's server does for other uses: it reads nothing while a request is
// handled, holds a small buffer for an idle connection, and sends an answer with one write.
// It also bounds how many requests are worked on at once. Requests over that wait for a slot
// and not in the run queue of the Go scheduler, so that they do not delay the process's own
// timers and calls. Requests are parsed by net/http.
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

// Server serves a handler. It is made by New.
type Server struct {
	handler     http.Handler
	nonBlocking func(*http.Request) bool
	log         *slog.Logger

	slots          chan struct{} // of requests that are worked on
	lastQueueDelay atomic.Int64  // how long the last request waited for a slot, in nanoseconds
	queued         atomic.Int64  // requests that wait for a slot

	mu       sync.Mutex // guards the fields below
	closing  bool
	listener net.Listener
	conns    map[*conn]struct{}
	serving  sync.WaitGroup
}

// New makes a server. nonBlocking reports whether a request's handler does not wait for
// anything: such a request is handled in the slot in which it was read, others release the
// slot before.
func New(handler http.Handler, nonBlocking func(*http.Request) bool, log *slog.Logger) *Server {
	return &Server{
		handler:     handler,
		nonBlocking: nonBlocking,
		log:         log,
		slots:       make(chan struct{}, tuning.MaxConcurrentRequests),
		conns:       map[*conn]struct{}{},
	}
}

// QueueDelay estimates how long a request that arrives now waits until it is read.
func (s *Server) QueueDelay() time.Duration {
	if s.queued.Load() == 0 {
		return 0
	}
	return time.Duration(s.lastQueueDelay.Load())
}

// Serve accepts connections until the listener fails, or Shutdown closes it; then it
// returns http.ErrServerClosed.
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
		// Connections are accepted no faster than requests are worked on.
		slot := s.acquireSlot()
		slot.release()
		c := newConn(s, netConn)
		s.track(c)
		go c.serve()
	}
}

// Shutdown closes the listener and idle connections, and waits for requests that are
// being handled, at most until ctx ends.
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
		s.serving.Wait()
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close closes the listener and all connections at once.
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
	s.serving.Add(1)
}

func (s *Server) untrack(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.serving.Done()
}

// slot is the right to work on a request.
type slot struct {
	server   *Server
	released bool
}

// acquireSlot waits for a slot.
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
	startedAt := time.Now()
	s.queued.Add(1)
	s.slots <- struct{}{}
	s.queued.Add(-1)
	s.lastQueueDelay.Store(int64(time.Since(startedAt)))
}

// release frees the slot, if that was not done before.
func (s *slot) release() {
	if s.released {
		return
	}
	s.released = true
	<-s.server.slots
}
