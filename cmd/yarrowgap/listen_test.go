package main

import (
	"net"
	"testing"
)

// Connections over the limit are closed immediately. After an accepted connection ends, the next one
// is accepted, so that a worker that was refused can connect when it retries.
func TestConnectionsOverLimitAreClosed(t *testing.T) {
	inner, err := listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const maxConns = 5
	l := newLimitedListener(inner, maxConns)
	defer l.Close()
	accepted := make(chan net.Conn, 3*maxConns)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	dial := func() net.Conn {
		t.Helper()
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	var served []net.Conn
	for range maxConns {
		dial()
		served = append(served, <-accepted)
	}
	if !l.nearLimit() {
		t.Error("nearLimit is false with all connections in use")
	}
	expectRefused := func() {
		t.Helper()
		closed := make(chan struct{})
		c := dial()
		go func() {
			_, _ = c.Read(make([]byte, 1)) // the listener sends nothing, so Read returns when c is closed
			close(closed)
		}()
		select {
		case <-closed:
		case <-accepted:
			t.Fatal("a connection over the limit was accepted")
		}
	}
	for range maxConns {
		expectRefused()
	}
	for _, c := range served {
		c.Close()
		c.Close() // a second Close must not release a second connection
		dial()
		<-accepted
	}
	expectRefused()
}
