package simulator

import (
	"net/http"
	"testing"

	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Guards against a simulated store that measures values differently from the protocol, so that
// writes over a limit would pass unnoticed.
func TestValueLimitRefersToJSON(t *testing.T) {
	record := records.Job{Job: wire.Job{ID: "run-000001", Class: "train", Team: "red", Tasks: 3, Image: "img", MachineTypes: []string{"g8", "c16"}}}
	received, err := wire.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	size := wire.JSONSize(record)
	for _, value := range []any{record, wire.Raw(received)} {
		if got := valueSize(value); got != size {
			t.Errorf("%T: %d bytes, want %d", value, got, size)
		}
	}
	store := NewKVStore(12, 100)
	for limit, want := range map[int]int{size: http.StatusOK, size - 1: http.StatusBadRequest, 0: http.StatusOK} {
		store.MaxValueBytes = limit
		if status, reply := store.Commit(0, wire.Txn{Then: []wire.Op{{Set: "a", Value: wire.Raw(received)}}}); status != want {
			t.Errorf("limit of %d bytes: status %d %q, want %d", limit, status, reply.Error, want)
		}
	}
}
