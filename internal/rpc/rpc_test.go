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

const maxAnswerBytes = 100

// newServer answers every request with the status and the body.
func newServer(t *testing.T, status int, body []byte) (url string) {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write(body)
	}))
	t.Cleanup(srv.Close)
	return srv.URL
}

func TestCallDecodesAnswerOfAnyStatus(t *testing.T) {
	body, err := wire.Marshal(wire.ErrorReply{Message: "no"})
	if err != nil {
		t.Fatal(err)
	}
	client := New(1, 1, time.Second, maxAnswerBytes)
	var answer wire.ErrorReply
	status, err := client.Call(t.Context(), http.MethodPost, newServer(t, http.StatusConflict, body), struct{}{}, &answer)
	if err != nil || status != http.StatusConflict || answer.Message != "no" {
		t.Errorf("status %d, %+v: %v", status, answer, err)
	}
	var raw wire.Raw
	if _, err := client.Call(t.Context(), http.MethodGet, newServer(t, http.StatusOK, body), nil, &raw); err != nil || !bytes.Equal(raw, body) {
		t.Errorf("undecoded answer %x: %v", raw, err)
	}
}

func TestCallErrors(t *testing.T) {
	for _, test := range []struct {
		name string
		body []byte
		want error
	}{
		{"malformed", []byte("?"), ErrMalformedAnswer},
		{"too large", make([]byte, maxAnswerBytes+1), ErrAnswerTooLarge},
	} {
		t.Run(test.name, func(t *testing.T) {
			client := New(1, 1, time.Second, maxAnswerBytes)
			var answer wire.ErrorReply
			_, err := client.Call(t.Context(), http.MethodGet, newServer(t, http.StatusOK, test.body), nil, &answer)
			if !errors.Is(err, test.want) {
				t.Errorf("%v, not %v", err, test.want)
			}
		})
	}
}
