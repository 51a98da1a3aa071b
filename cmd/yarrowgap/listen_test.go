package main

import (
	"net"
	"testing"
)

// Connections over the bound are closed at once; when one under it ends, the next is
// taken, so that a worker that was sent away gets in at a later try.
func TestConnectionsOverLimitAreClosed(t *testing.T) {
	inner, err := listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const most = 5
	l := newLimitedListener(inner, most)
	defer l.Close()
	taken := make(chan net.Conn, 3*most)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			taken <- c
		}
	}()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	var served []net.Conn
	for range most {
		dial()
		served = append(served, <-taken)
	}
	if !l.crowded() {
		t.Error("not crowded though full")
	}
	refused := func() {
		t.Helper()
		closed := make(chan struct{})
		c := dial()
		go func() {
			_, _ = c.Read(make([]byte, 1)) // nothing is sent: it returns when c is closed
			close(closed)
		}()
		select {
		case <-closed:
		case <-taken:
			t.Fatal("a connection over the bound was served")
		}
	}
	for range most {
		refused()
	}
	for _, c := range served {
		c.Close()
		c.Close() // counts once
		dial()
		<-taken
	}
	refused()
}
