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
// closed at once, so that its sender can turn to another node.
type limitedListener struct {
	net.Listener
	maxConns  int64
	openConns atomic.Int64
}

func newLimitedListener(l net.Listener, n int) *limitedListener {
	return &limitedListener{Listener: l, maxConns: int64(n)}
}

// crowded reports whether few more connections will be accepted.
func (l *limitedListener) crowded() bool {
	return float64(l.openConns.Load()) > tuning.CrowdedListenerShare*float64(l.maxConns)
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		//mutation:connection-bound
		if l.openConns.Add(1) <= l.maxConns {
			return &limitedConn{Conn: c, release: sync.OnceFunc(func() { l.openConns.Add(-1) })}, nil
		}
		l.openConns.Add(-1)
		_ = c.SetDeadline(time.Now())
		_ = c.Close()
	}
}

type limitedConn struct {
	net.Conn
	release func()
}

func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
