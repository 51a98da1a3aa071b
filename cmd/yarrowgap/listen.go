package main

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// listen listens on an address. Connections are not kept alive by TCP's own probes:
// both sides send within seconds or close, and setting the probes' times costs four
// system calls for each connection.
func listen(addr string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1}
	return config.Listen(context.Background(), "tcp", addr)
}

// limitedListener accepts at most a number of connections at once. One over it is
// closed at once, so that its sender can turn to another controller.
type limitedListener struct {
	net.Listener
	maxConns  int64
	openConns atomic.Int64
}

func newLimitedListener(listener net.Listener, maxConns int) *limitedListener {
	return &limitedListener{Listener: listener, maxConns: int64(maxConns)}
}

// crowded reports whether few more connections will be accepted.
func (l *limitedListener) crowded() bool {
	return float64(l.openConns.Load()) > tuning.ListenerHighWatermark*float64(l.maxConns)
}

// Accept waits for a connection under the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		//mutation:connection-bound
		if l.openConns.Add(1) <= l.maxConns {
			return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { l.openConns.Add(-1) })}, nil
		}
		l.openConns.Add(-1)
		_ = conn.SetDeadline(time.Now())
		_ = conn.Close()
	}
}

// limitedConn counts until it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

// Close closes the connection. Its place is released once.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
