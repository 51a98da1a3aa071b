package main

import (
	"bytes"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yarrowgap/yarrowgap/internal/api"
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

// limitedListener limits the number of open connections and divides them among users, workers and
// health checks. Near the limit, connections are not kept open between requests: first those of
// users, then those of workers. The last connections are reserved for health checks and queries,
// since a load balancer that cannot connect removes the controller. A connection over the limit is
// closed immediately, so that its client can try another controller.
type limitedListener struct {
	net.Listener
	maxConns  int64 // includes the reserved ones
	reserved  int64
	openConns atomic.Int64
	refused   atomic.Int64 // connections over the limit, since the start
}

func newLimitedListener(listener net.Listener, maxConns int) *limitedListener {
	reserved := max(1, int64(float64(maxConns)*tuning.ListenerReservedShare))
	return &limitedListener{Listener: listener, maxConns: int64(maxConns), reserved: reserved}
}

// load reports which connections are not to be kept open.
func (l *limitedListener) load() api.ConnectionLoad {
	switch share := float64(l.openConns.Load()) / float64(l.maxConns); {
	case share > tuning.WorkerConnsHighWatermark:
		return api.CloseAllConnections
	case share > tuning.ListenerHighWatermark:
		return api.CloseUserConnections
	}
	return api.KeepConnections
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
		open := l.openConns.Add(1)
		limited := &limitedConn{Conn: conn, release: sync.OnceFunc(func() { l.openConns.Add(-1) })}
		//mutation:connection-bound
		if open <= l.maxConns-l.reserved {
			return limited, nil
		}
		if open <= l.maxConns {
			return &reservedConn{limitedConn: limited, refused: &l.refused, firstReadBy: time.Now().Add(tuning.ReservedConnTimeout)}, nil
		}
		l.refused.Add(1)
		_ = conn.SetDeadline(time.Now())
		_ = limited.Close()
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

// errNotReserved is the error of reading from a reserved connection that is used for anything but a
// health check or a query.
var errNotReserved = errors.New("the connection is reserved for health checks and queries")

// readOnlyMethod begins every health check and every query, and no request of a worker.
var readOnlyMethod = []byte("GET ")

// reservedConn is one of the connections that are reserved for health checks and queries. It can be
// read only if its first request is one of these and arrives in time.
type reservedConn struct {
	*limitedConn
	refused     *atomic.Int64
	firstReadBy time.Time
	admitted    bool // whether the first request has begun as required
}

// SetReadDeadline sets the deadline of reads, which is at most firstReadBy for the first one.
func (c *reservedConn) SetReadDeadline(deadline time.Time) error {
	if !c.admitted && deadline.After(c.firstReadBy) {
		deadline = c.firstReadBy
	}
	return c.limitedConn.SetReadDeadline(deadline)
}

// Read reads from the connection, or refuses it by its first bytes.
func (c *reservedConn) Read(b []byte) (int, error) {
	n, err := c.limitedConn.Read(b)
	if c.admitted || n == 0 {
		return n, err
	}
	//mutation:reserved-connections
	if !bytes.HasPrefix(b[:n], readOnlyMethod) {
		c.refused.Add(1)
		return 0, errNotReserved
	}
	c.admitted = true
	return n, err
}
