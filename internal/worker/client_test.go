package worker

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/yarrowgap/yarrowgap/internal/rpc"
	"github.com/yarrowgap/yarrowgap/wire"
)

// The outcome of commands is known only with the worker's valid heartbeat.
func TestSendCommandsOutcomes(t *testing.T) {
	heartbeat := wire.Heartbeat{Machine: "n-1", Address: "127.0.0.1:1", Incarnation: 1, Sequence: 2}
	invalid := heartbeat
	invalid.Incarnation = 0
	for _, test := range []struct {
		name      string
		status    int
		heartbeat wire.Heartbeat
		outcome   Outcome
		want      error
	}{
		{"executed", http.StatusOK, heartbeat, Executed, nil},
		{"rejected", http.StatusConflict, heartbeat, Rejected, nil},
		{"invalid heartbeat", http.StatusOK, invalid, OutcomeUnknown, rpc.ErrMalformedAnswer},
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
			outcome, answer, err := New().SendCommands(t.Context(), srv.Listener.Addr().String(), wire.DirectCommands{})
			if outcome != test.outcome || !errors.Is(err, test.want) {
				t.Errorf("outcome %d, %v", outcome, err)
			}
			if (answer != nil) != (test.want == nil) {
				t.Errorf("heartbeat %+v", answer)
			}
		})
	}
}
