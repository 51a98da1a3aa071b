package main

import (
	"net"
	"testing"
)

// Connections over the limit are closed at once; when one under it ends, the next is
// accepted, so that a worker that was refused gets in at a later retry.
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
	if !l.crowded() {
		t.Error("not crowded though full")
	}
	expectRefused := func() {
		t.Helper()
		closed := make(chan struct{})
		c := dial()
		go func() {
			_, _ = c.Read(make([]byte, 1)) // nothing is sent: it returns when c is closed
			close(closed)
		}()
		select {
		case <-closed:
		case <-accepted:
			t.Fatal("a connection over the limit was served")
		}
	}
	for range maxConns {
		expectRefused()
	}
	for _, c := range served {
		c.Close()
		c.Close() // counts once
		dial()
		<-accepted
	}
	expectRefused()
}
