package controller

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/yarrowgap/yarrowgap/internal/kvstore"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Guards against one machine type that is too large for the key-value store keeping all later ones
// from being stored, and being written again for ever.
func TestRejectedMachineTypeHoldsUpNoOther(t *testing.T) {
	var stored []string
	requests := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests++
		body, _ := io.ReadAll(r.Body)
		var txn struct {
			Then []struct {
				Set string `cbor:"set"`
			} `cbor:"apply"`
		}
		if err := wire.Unmarshal(body, &txn); err != nil {
			t.Error(err)
		}
		status := http.StatusOK
		if strings.HasSuffix(txn.Then[0].Set, "large") {
			status = http.StatusBadRequest
		} else {
			stored = append(stored, txn.Then[0].Set)
		}
		reply, err := wire.Marshal(wire.TxnReply{Revision: 3})
		if err != nil {
			t.Error(err)
		}
		w.WriteHeader(status)
		_, _ = w.Write(reply)
	}))
	defer srv.Close()
	source := machineTypeSource{store: kvstore.New(srv.Listener.Addr().String(), 1000), log: slog.New(slog.DiscardHandler), fetched: true}
	types := []wire.MachineType{{Name: "large"}, {Name: "small"}}
	for range 2 {
		source.saveCopy(t.Context(), types)
	}
	if !slices.Equal(stored, []string{"type/small"}) || requests != 2 {
		t.Errorf("stored %v with %d requests", stored, requests)
	}
}
