//go:build review

package standin2

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"

	"github.com/yarrowgap/yarrowgap/wire"
)

const maxBodyBytes = 8 << 20

// loopbackIP returns a random address of the loopback range. Nothing else on the machine listens or
// connects from there, so that all its ports are free and stay so.
func loopbackIP() string {
	return fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250)) //nolint:gosec // no secret
}

// listenLoopback listens on a free port of an address of the loopback range.
func listenLoopback() (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", loopbackIP()+":0")
}

// serveHTTP serves a handler on a free loopback address, which it returns, until the program ends.
func serveHTTP(handler http.Handler) (addr string, server *http.Server, err error) {
	listener, err := listenLoopback()
	if err != nil {
		return "", nil, err
	}
	server = &http.Server{Handler: handler}
	go func() {
		if serveErr := server.Serve(listener); !errors.Is(serveErr, http.ErrServerClosed) {
			panic(serveErr) // the loopback interface is not available
		}
	}()
	return listener.Addr().String(), server, nil
}

// readMessage decodes a request's body.
func readMessage(r *http.Request, message any) error {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return err
	}
	return wire.Unmarshal(body, message)
}

// writeMessage answers with a message.
func writeMessage(w http.ResponseWriter, status int, message any) {
	body, err := wire.Marshal(message)
	if err != nil {
		panic(err) // a stand-in made a message that cannot be encoded
	}
	w.Header().Set("Content-Type", wire.ContentType)
	w.WriteHeader(status)
	_, _ = w.Write(body) // the client may have gone
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeMessage(w, status, wire.ErrorReply{Message: message})
}
