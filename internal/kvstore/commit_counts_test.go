package kvstore

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/yarrowgap/yarrowgap/wire"
)

// Guards against writes that the store refuses without an operator seeing which limit they exceed:
// every transaction is counted by its outcome, and a rejected one is reported with its sizes.
func TestTransactionsAreCountedAndRejectionsReported(t *testing.T) {
	statuses := []int{http.StatusConflict, http.StatusBadRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusTeapot}
	next := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(statuses[next])
		next++
	}))
	defer srv.Close()
	client := New(srv.Listener.Addr().String(), 1000)
	var rejections []Rejection
	client.OnRejection = func(r Rejection) { rejections = append(rejections, r) }
	txn := wire.Txn{Then: []wire.Op{{Delete: "first"}, {Set: "second", Value: "abc"}, {Set: "third", Value: "abcdef"}}}
	for range statuses {
		_, _, _ = client.Commit(context.Background(), PriorityLeader, txn)
	}
	want := CommitCounts{Conflicts: 1, Rejected: 1, RateLimited: 1, Unavailable: 1, Unknown: 1}
	if counts := client.CommitCounts(); counts != want || counts.NotExecuted() != 4 {
		t.Errorf("counts %+v, want %+v", counts, want)
	}
	if len(rejections) != 1 {
		t.Fatalf("rejections: %+v", rejections)
	}
	if r := rejections[0]; r.FirstKey != "first" || r.Operations != 3 || r.LargestValueBytes != len(`"abcdef"`) || r.Bytes != wire.JSONSize(txn) {
		t.Errorf("rejection: %+v", r)
	}
}
