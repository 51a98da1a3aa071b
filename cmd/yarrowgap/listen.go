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

// limited accepts at most a number of connections at once. One over it is
// closed at once, so that its sender can turn to another node.
type limited struct {
	net.Listener
	most int64
	open atomic.Int64
}

func limit(l net.Listener, n int) *limited { return &limited{Listener: l, most: int64(n)} }

// crowded reports whether few more connections will be accepted.
func (l *limited) crowded() bool { return float64(l.open.Load()) > tuning.Crowded*float64(l.most) }

func (l *limited) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		//mutation:connection-bound
		if l.open.Add(1) <= l.most {
			return &limitedConn{Conn: c, leave: sync.OnceFunc(func() { l.open.Add(-1) })}, nil
		}
		l.open.Add(-1)
		_ = c.SetDeadline(time.Now())
		_ = c.Close()
	}
}

type limitedConn struct {
	net.Conn
	leave func()
}

func (c *limitedConn) Close() error {
	defer c.leave()
	return c.Conn.Close()
}
