package api_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/yarrowgap/yarrowgap/wire"
)

// invalidRepeats are submissions of an accepted job whose bodies have become invalid.
func invalidRepeats(t *testing.T, job *wire.Job) map[string][]byte {
	t.Helper()
	lacksFields, err := wire.Marshal(map[string]any{"uid": job.ID, "docket": "c"})
	if err != nil {
		t.Fatal(err)
	}
	tooLong := *job
	tooLong.MachineTypes = []string{"box"}
	for i := range 40 {
		tooLong.MachineTypes = append(tooLong.MachineTypes, fmt.Sprint(strings.Repeat("x", 190), i))
	}
	tooLarge := *job
	tooLarge.MemoryGB = 99
	return map[string][]byte{
		"lacks fields": lacksFields,
		"is too long":  encodeSubmission(t, &tooLong),
		"fits nowhere": encodeSubmission(t, &tooLarge),
	}
}

// A repeated submission of an accepted job never gets 400 or 422, whatever has become of
// its body, and also while the key-value store refuses: what cannot be looked up cannot be
// decided.
func TestIdempotentSubmissionIsNeverInvalid(t *testing.T) {
	c := startCluster(t, 1)
	job := newJob(1, 1)
	job.Shape = wire.ShapeService
	c.submitUntilCreated(0, job)
	repeats := invalidRepeats(t, job)
	for name, body := range repeats {
		if got := c.post(0, body); got.status != http.StatusOK {
			t.Errorf("a repeat that %s gets %d", name, got.status)
		}
	}
	c.simulation.StartKVStoreOutage()
	for name, body := range repeats {
		if got := c.post(0, body); got.status != http.StatusServiceUnavailable {
			t.Errorf("a repeat that %s gets %d while the key-value store refuses", name, got.status)
		}
	}
	c.simulation.EndKVStoreOutage()
	if t.Failed() {
		return
	}
	for name, body := range repeats {
		c.eventually("an answer after the outage to a repeat that "+name, func() bool { return c.post(0, body).status == http.StatusOK })
	}
	// Of a job that nobody has accepted, the same are refused.
	for name, body := range repeats {
		fresh := []byte(strings.ReplaceAll(string(body), job.ID, "run-000002"))
		if got := c.post(0, fresh); got.status != http.StatusBadRequest && got.status != http.StatusUnprocessableEntity {
			t.Errorf("a new job that %s gets %d", name, got.status)
		}
	}
}
