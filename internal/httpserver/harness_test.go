package httpserver

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
)

// testServer is a Server that listens on a loopback address.
type testServer struct {
	*Server
	addr     string
	serveErr chan error // receives the result of Serve
}

func startServer(t *testing.T, handler http.HandlerFunc, nonBlocking func(*http.Request) bool) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &testServer{
		Server:   New(handler, nonBlocking, slog.New(slog.DiscardHandler)),
		addr:     listener.Addr().String(),
		serveErr: make(chan error, 1),
	}
	go func() { server.serveErr <- server.Serve(listener) }()
	t.Cleanup(server.Close)
	return server
}

func allNonBlocking(*http.Request) bool { return true }
func allBlocking(*http.Request) bool    { return false }

// echoBody responds with the request's body.
func echoBody(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "text/plain")
	w.WriteHeader(http.StatusAccepted)
	_, _ = w.Write(body)
}

// testClient is a client's connection to a server.
type testClient struct {
	net.Conn
	reader *bufio.Reader
}

func (s *testServer) dial(t *testing.T) *testClient {
	t.Helper()
	netConn, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { netConn.Close() })
	return &testClient{netConn, bufio.NewReader(netConn)}
}

// receivedResponse is what a client received.
type receivedResponse struct {
	status     int
	closesConn bool // the server announces that it closes the connection
	body       string
}

// write sends text unchanged.
func (c *testClient) write(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// read reads one response.
func (c *testClient) read(t *testing.T) receivedResponse {
	t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return receivedResponse{response.StatusCode, response.Close, string(body)}
}

// send sends a request unchanged and reads the response.
func (c *testClient) send(t *testing.T, request string) receivedResponse {
	t.Helper()
	c.write(t, request)
	return c.read(t)
}

// expectClosed checks that the server has closed the connection.
func (c *testClient) expectClosed(t *testing.T) {
	t.Helper()
	if b, err := c.reader.ReadByte(); err == nil {
		t.Errorf("the connection is still open, received byte %q", b)
	}
}
