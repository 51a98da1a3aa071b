package simulator

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

func TestCutLinkHoldsRequestsUntilItIsOpen(t *testing.T) {
	received := make(chan string, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { received <- r.URL.Path }))
	defer server.Close()
	link, err := NewLink(server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	link.SetCut(Requests, true)
	client := http.Client{Timeout: 100 * time.Millisecond}
	if response, err := client.Get("http://" + link.Addr() + "/held"); err == nil {
		_ = response.Body.Close()
		t.Fatal("a request passed the cut")
	}
	select {
	case path := <-received:
		t.Fatalf("the server received %s during the cut", path)
	default:
	}
	link.SetCut(Requests, false)
	if path := <-received; path != "/held" { // although its sender has given up
		t.Errorf("the server received %s", path)
	}
}

func TestOneWayCutLinkDeliversRequests(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	link, err := NewLink(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	link.SetCut(Replies, true)
	client, err := net.Dial("tcp", link.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	_, _ = client.Write([]byte("?"))
	buffer := make([]byte, 1)
	if _, err := io.ReadFull(server, buffer); err != nil {
		t.Fatal(err)
	}
	_, _ = server.Write([]byte("!"))
	_ = client.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := client.Read(buffer); err == nil {
		t.Fatal("a reply passed the cut")
	}
	link.SetCut(Replies, false)
	_ = client.SetReadDeadline(time.Time{})
	if _, err := io.ReadFull(client, buffer); err != nil || buffer[0] != '!' {
		t.Errorf("after the cut: %q, %v", buffer, err)
	}
}
