//go:build review

package standin2

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Link forwards TCP connections to a target. It can refuse connections, as a packet filter that
// resets, or hold what is sent, as a cut that delivers it afterwards.
type Link struct {
	addr, target string

	mu       sync.Mutex
	listener net.Listener // nil while the link refuses connections
	conns    map[*net.TCPConn]bool
	held     bool
	released *sync.Cond
	onSent   func(data []byte) // see OnSent
}

// NewLink listens on a free loopback address and forwards to target.
func NewLink(target string) (*Link, error) {
	listener, err := listenLoopback()
	if err != nil {
		return nil, err
	}
	l := &Link{addr: listener.Addr().String(), target: target, listener: listener, conns: map[*net.TCPConn]bool{}}
	l.released = sync.NewCond(&l.mu)
	go l.accept(listener)
	return l, nil
}

// Addr returns the address to which clients connect.
func (l *Link) Addr() string { return l.addr }

// Refuse resets all connections and refuses new ones.
func (l *Link) Refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		l.listener.Close()
		l.listener = nil
	}
	for conn := range l.conns {
		_ = conn.SetLinger(0) // a reset, not an orderly end
		_ = conn.Close()
	}
}

// Accept ends the effect of Refuse.
func (l *Link) Accept() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
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

// OnSent sets a function that is called with each piece that a client has sent, once it was passed on to
// the server.
func (l *Link) OnSent(call func(data []byte)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onSent = call
}

func (l *Link) sent(data []byte) {
	l.mu.Lock()
	call := l.onSent
	l.mu.Unlock()
	if call != nil {
		call(data)
	}
}

// Hold keeps back all that is sent in either direction until Release. New connections get no answer.
func (l *Link) Hold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = true
}

// Release delivers what was held.
func (l *Link) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = false
	l.released.Broadcast()
}

func (l *Link) waitWhileHeld() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.held {
		l.released.Wait()
	}
}

func (l *Link) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		go l.forward(conn.(*net.TCPConn))
	}
}

func (l *Link) forward(client *net.TCPConn) {
	l.waitWhileHeld()
	var dialer net.Dialer
	conn, err := dialer.DialContext(context.Background(), "tcp", l.target)
	if err != nil {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	server := conn.(*net.TCPConn)
	l.mu.Lock()
	open := l.listener != nil
	l.conns[client], l.conns[server] = true, true
	l.mu.Unlock()
	if !open {
		_ = client.SetLinger(0)
		_ = client.Close()
		_ = server.Close()
	}
	var both sync.WaitGroup
	both.Go(func() { l.copy(server, client, l.sent) })
	both.Go(func() { l.copy(client, server, func([]byte) {}) })
	both.Wait()
	l.mu.Lock()
	delete(l.conns, client)
	delete(l.conns, server)
	l.mu.Unlock()
	_ = client.Close()
	_ = server.Close()
}

// copy forwards one direction until it ends, and then ends it at the other side. It calls sent for what
// it has forwarded.
func (l *Link) copy(to, from *net.TCPConn, sent func(data []byte)) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		l.waitWhileHeld()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
			sent(buffer[:n])
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		case err != nil:
			_ = to.SetLinger(0)
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}
