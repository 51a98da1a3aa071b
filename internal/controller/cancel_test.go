package controller

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/yarrowgap/yarrowgap/internal/kvstore"
	"github.com/yarrowgap/yarrowgap/internal/records"
	"github.com/yarrowgap/yarrowgap/internal/scheduler"
	"github.com/yarrowgap/yarrowgap/wire"
)

// Guards against a job that cannot be cancelled: the store has a lower limit on values than the
// settings say, and the job's record is larger.
func TestRejectedCancellationIsMadeSmaller(t *testing.T) {
	const maxRequestBytes = 600
	requests := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests++
		status, reply := http.StatusOK, wire.TxnReply{Revision: 8}
		if r.ContentLength > maxRequestBytes {
			status, reply = http.StatusBadRequest, wire.TxnReply{Error: "the value is too large"}
		}
		body, err := wire.Marshal(reply)
		if err != nil {
			t.Error(err)
		}
		w.WriteHeader(status)
		_, _ = w.Write(body)
	}))
	defer srv.Close()
	store := kvstore.New(srv.Listener.Addr().String(), 1000)
	job := wire.Job{ID: "run-000412", Class: "train", Team: "red", Shape: wire.ShapeService, Tasks: 3, MachineTypes: []string{strings.Repeat("x", maxRequestBytes)}}
	live := &scheduler.LiveJob{Record: &records.Job{Job: job}, ModRevision: 7}
	if revision, err := commitCancellation(t.Context(), store, live, 4<<10); err != nil || requests != 2 || revision != 8 {
		t.Errorf("revision %d, error %v after %d requests", revision, err, requests)
	}
}
