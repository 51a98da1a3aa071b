package cloud

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/yarrowgap/yarrowgap/internal/rpc"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Callers decide by the error whether machines may have been provisioned, so each response has
// to map to the right error.
func TestProvisionErrors(t *testing.T) {
	encode := func(message any) []byte {
		body, err := wire.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		return body
	}
	for _, test := range []struct {
		name    string
		status  int
		body    []byte
		wantErr error
	}{
		{"provisioned", http.StatusOK, encode(wire.MachineNames{Machines: []string{"n-1"}}), nil},
		{"malformed response", http.StatusOK, []byte("?"), ErrOutcomeUnknown},
		{"malformed response is a protocol error", http.StatusOK, []byte("?"), rpc.ErrMalformedResponse},
		{"no capacity", http.StatusServiceUnavailable, encode(wire.ErrorReply{Message: "no capacity"}), ErrNoCapacity},
		{"unavailable", http.StatusServiceUnavailable, encode(wire.ErrorReply{Message: "down"}), ErrUnavailable},
		{"unavailable without a body", http.StatusServiceUnavailable, nil, ErrUnavailable},
		{"rate limited", http.StatusTooManyRequests, nil, ErrRateLimited},
		{"rejected", http.StatusBadRequest, nil, ErrRejected},
	} {
		t.Run(test.name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(test.status)
				_, _ = w.Write(test.body)
			}))
			defer srv.Close()
			names, err := New(srv.Listener.Addr().String()).Provision(t.Context(), wire.ProvisionRequest{RequestID: "r-1", Count: 1})
			if !errors.Is(err, test.wantErr) {
				t.Errorf("got error %v, want %v", err, test.wantErr)
			}
			if (len(names) > 0) != (test.wantErr == nil) {
				t.Errorf("unexpected machines %v for this error", names)
			}
		})
	}
}
