package cloud

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/yarrowgap/yarrowgap/internal/rpc"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Each answer to a request has its error, from which callers tell whether machines may have
// been provisioned.
func TestProvisionErrors(t *testing.T) {
	encode := func(message any) []byte {
		body, err := wire.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		return body
	}
	for _, test := range []struct {
		name   string
		status int
		body   []byte
		want   error
	}{
		{"provisioned", http.StatusOK, encode(wire.MachineNames{Machines: []string{"n-1"}}), nil},
		{"malformed answer", http.StatusOK, []byte("?"), ErrOutcomeUnknown},
		{"malformed answer breaks the protocol", http.StatusOK, []byte("?"), rpc.ErrMalformedAnswer},
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
			if !errors.Is(err, test.want) {
				t.Errorf("%v, not %v", err, test.want)
			}
			if (len(names) > 0) != (test.want == nil) {
				t.Errorf("machines %v", names)
			}
		})
	}
}
