package worker

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/yarrowgap/yarrowgap/internal/rpc"
	"github.com/yarrowgap/yarrowgap/wire"
)

// The outcome of commands is known only if the response contains a valid heartbeat.
func TestSendCommandsOutcomes(t *testing.T) {
	heartbeat := wire.Heartbeat{Machine: "n-1", Address: "127.0.0.1:1", Incarnation: 1, Sequence: 2}
	invalid := heartbeat
	invalid.Incarnation = 0
	for _, test := range []struct {
		name        string
		status      int
		heartbeat   wire.Heartbeat
		wantOutcome Outcome
		wantErr     error
	}{
		{"executed", http.StatusOK, heartbeat, Executed, nil},
		{"rejected", http.StatusConflict, heartbeat, Rejected, nil},
		{"invalid heartbeat", http.StatusOK, invalid, OutcomeUnknown, rpc.ErrMalformedResponse},
		{"unexpected status", http.StatusServiceUnavailable, heartbeat, OutcomeUnknown, ErrUnexpectedStatus},
	} {
		t.Run(test.name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				body, err := wire.Marshal(test.heartbeat)
				if err != nil {
					t.Error(err)
				}
				w.WriteHeader(test.status)
				_, _ = w.Write(body)
			}))
			defer srv.Close()
			outcome, received, err := New().SendCommands(t.Context(), srv.Listener.Addr().String(), wire.DirectCommands{})
			if outcome != test.wantOutcome || !errors.Is(err, test.wantErr) {
				t.Errorf("got outcome %d and error %v", outcome, err)
			}
			if (received != nil) != (test.wantErr == nil) {
				t.Errorf("unexpected heartbeat %+v for this outcome", received)
			}
		})
	}
}
