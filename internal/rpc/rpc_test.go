package rpc

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

const maxResponseBytes = 100

// newServer starts a server that responds to every request with the given status and body.
func newServer(t *testing.T, status int, body []byte) (url string) {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write(body)
	}))
	t.Cleanup(srv.Close)
	return srv.URL
}

func TestCallDecodesResponseOfAnyStatus(t *testing.T) {
	body, err := wire.Marshal(wire.ErrorReply{Message: "no"})
	if err != nil {
		t.Fatal(err)
	}
	client := New(1, 1, time.Second, maxResponseBytes)
	var response wire.ErrorReply
	status, err := client.Call(t.Context(), http.MethodPost, newServer(t, http.StatusConflict, body), struct{}{}, &response)
	if err != nil || status != http.StatusConflict || response.Message != "no" {
		t.Errorf("status %d, %+v: %v", status, response, err)
	}
	var raw wire.Raw
	if _, err := client.Call(t.Context(), http.MethodGet, newServer(t, http.StatusOK, body), nil, &raw); err != nil || !bytes.Equal(raw, body) {
		t.Errorf("undecoded response %x: %v", raw, err)
	}
}

func TestCallErrors(t *testing.T) {
	for _, test := range []struct {
		name    string
		body    []byte
		wantErr error
	}{
		{"malformed", []byte("?"), ErrMalformedResponse},
		{"too large", make([]byte, maxResponseBytes+1), ErrResponseTooLarge},
	} {
		t.Run(test.name, func(t *testing.T) {
			client := New(1, 1, time.Second, maxResponseBytes)
			var response wire.ErrorReply
			_, err := client.Call(t.Context(), http.MethodGet, newServer(t, http.StatusOK, test.body), nil, &response)
			if !errors.Is(err, test.wantErr) {
				t.Errorf("got error %v, want %v", err, test.wantErr)
			}
		})
	}
}
