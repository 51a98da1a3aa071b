package simulator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// linkBufferBytes is the size of the chunks that a Link forwards.
const linkBufferBytes = 16 << 10

// Direction is one of the two directions of a Link.
type Direction int

// Directions, as seen from the side that opens the connections.
const (
	Requests Direction = iota // from the client to the server
	Replies                   // from the server to the client
)

// Link forwards TCP connections to a server and can disturb them: each direction can be cut, which
// holds back what is sent until the cut ends, or delayed. Held data is forwarded afterwards even if
// its sender has closed the connection meanwhile, as by a network that holds packets.
type Link struct {
	addr   string
	target string

	mu       sync.Mutex   // guards the fields below
	listener net.Listener // nil while the link refuses connections
	opened   *sync.Cond   // a cut has ended, or the link was closed
	cut      [2]bool
	delay    [2]time.Duration
	conns    map[net.Conn]struct{}
	closing  bool
}

// ListenLoopback listens on a free port of the loopback interface.
func ListenLoopback() (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", "127.0.0.1:0")
}

// NewLink listens on a random address of the loopback range and forwards to target until Close. No
// connection is opened from that address, so that the port stays free while the link refuses
// connections.
func NewLink(target string) (*Link, error) {
	var config net.ListenConfig
	addr := fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254)) //nolint:gosec // no secret
	listener, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	link := &Link{addr: listener.Addr().String(), listener: listener, target: target, conns: map[net.Conn]struct{}{}}
	link.opened = sync.NewCond(&link.mu)
	go link.accept(listener)
	return link, nil
}

// Addr returns the address that clients connect to.
func (l *Link) Addr() string { return l.addr }

// SetCut cuts a direction or ends its cut.
func (l *Link) SetCut(direction Direction, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[direction] = cut
	l.opened.Broadcast()
}

// SetDelay delays each chunk in a direction; 0 ends the delay.
func (l *Link) SetDelay(direction Direction, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay[direction] = delay
}

// RefuseConnections refuses new connections and closes the open ones, until AcceptConnections.
func (l *Link) RefuseConnections() {
	l.mu.Lock()
	listener := l.listener
	l.listener = nil
	l.mu.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
	l.ResetConnections()
}

// AcceptConnections ends the effect of RefuseConnections.
func (l *Link) AcceptConnections() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil || l.closing {
		return nil
	}
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", l.addr)
	if err != nil {
		return err
	}
	l.listener = listener
	go l.accept(listener)
	return nil
}

// ResetConnections closes all open connections.
func (l *Link) ResetConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		_ = conn.Close()
	}
}

// Close closes the listener and all connections.
func (l *Link) Close() {
	l.mu.Lock()
	l.closing = true
	l.opened.Broadcast()
	l.mu.Unlock()
	l.RefuseConnections()
}

func (l *Link) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err == nil:
			go l.forward(client)
		}
	}
}

// forward connects to the server and copies both directions of a client's connection. It waits for
// the end of a cut before it connects.
func (l *Link) forward(client net.Conn) {
	if !l.track(client) {
		return
	}
	defer l.untrack(client)
	if !l.awaitOpen(Requests) {
		return
	}
	var dialer net.Dialer
	server, err := dialer.DialContext(context.Background(), "tcp", l.target)
	if err != nil || !l.track(server) {
		return
	}
	defer l.untrack(server)
	requestsDone := make(chan struct{})
	go func() {
		defer close(requestsDone)
		l.copy(Requests, server, client)
		closeWrite(server)
	}()
	l.copy(Replies, client, server)
	closeWrite(client)
	<-requestsDone
}

// copy forwards one direction until its sender closes the connection or the link is closed.
func (l *Link) copy(direction Direction, to io.Writer, from io.Reader) {
	buffer := make([]byte, linkBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && l.awaitOpen(direction) {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// awaitOpen waits for the delay of a direction and for the end of its cut. It returns false if the
// link was closed.
func (l *Link) awaitOpen(direction Direction) bool {
	l.mu.Lock()
	delay := l.delay[direction]
	l.mu.Unlock()
	time.Sleep(delay)
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.cut[direction] && !l.closing {
		l.opened.Wait()
	}
	return !l.closing
}

// track registers an open connection. It closes the connection and returns false if the link was
// closed.
func (l *Link) track(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing {
		_ = conn.Close()
		return false
	}
	l.conns[conn] = struct{}{}
	return true
}

func (l *Link) untrack(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
	_ = conn.Close()
}

func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}
