package main

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/controller"
	"github.com/yarrowgap/yarrowgap/internal/tuning"
)

// listen opens a TCP listener. Its connections have TCP keep-alive disabled: both sides send within
// seconds or close the connection, and setting up keep-alive takes four system calls for each
// connection.
func listen(addr string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1}
	return config.Listen(context.Background(), "tcp", addr)
}

// limitedListener limits the number of open connections. A connection over the limit is closed
// immediately, so that its client can try another controller.
type limitedListener struct {
	net.Listener
	maxConns  int64
	openConns atomic.Int64
	refused   atomic.Int64 // connections over the limit, since the start
}

func newLimitedListener(listener net.Listener, maxConns int) *limitedListener {
	return &limitedListener{Listener: listener, maxConns: int64(maxConns)}
}

// nearLimit reports whether the share of open connections is above the high watermark.
func (l *limitedListener) nearLimit() bool {
	return float64(l.openConns.Load()) > tuning.ListenerHighWatermark*float64(l.maxConns)
}

// counts returns the connections that are open, and those that were refused since the start.
func (l *limitedListener) counts() controller.ConnectionCounts {
	return controller.ConnectionCounts{Open: l.openConns.Load(), Limit: l.maxConns, Refused: l.refused.Load()}
}

// Accept waits for a connection and returns it. It closes connections over the limit and continues
// to wait.
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
		l.refused.Add(1)
		_ = conn.SetDeadline(time.Now())
		_ = conn.Close()
	}
}

// limitedConn is a connection that counts towards the limit of its listener until it is closed.
type limitedConn struct {
	net.Conn
	release func() // decrements the number of open connections, once
}

// Close closes the connection, which then no longer counts towards the limit. Further calls do not
// change the number of open connections.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
