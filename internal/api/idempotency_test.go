package api_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/yarrowgap/yarrowgap/wire"
)

// invalidRepeats makes repeated submissions of a job with invalid bodies. The keys say what is wrong
// with each.
func invalidRepeats(t *testing.T, job *wire.Job) map[string][]byte {
	t.Helper()
	missingFields, err := wire.Marshal(map[string]any{"uid": job.ID, "docket": "c"})
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
		"lacks fields": missingFields,
		"is too long":  encodeSubmission(t, &tooLong),
		"fits nowhere": encodeSubmission(t, &tooLarge),
	}
}

// A repeated submission of an accepted job is never answered with 400 or 422, even if its body has
// become invalid. While the key-value store refuses requests, the answer is 503, because without a
// lookup a controller cannot tell whether the job exists.
func TestIdempotentSubmissionIsNeverInvalid(t *testing.T) {
	c := startCluster(t, 1)
	job := newJob(1, 1)
	job.Shape = wire.ShapeService
	c.submitUntilCreated(0, job)
	repeats := invalidRepeats(t, job)
	for name, body := range repeats {
		if got := c.post(0, body); got.status != http.StatusOK {
			t.Errorf("a repeated submission that %s gets %d", name, got.status)
		}
	}
	c.simulation.StartKVStoreOutage()
	for name, body := range repeats {
		if got := c.post(0, body); got.status != http.StatusServiceUnavailable {
			t.Errorf("a repeated submission that %s gets %d while the key-value store refuses requests", name, got.status)
		}
	}
	c.simulation.EndKVStoreOutage()
	if t.Failed() {
		return
	}
	for name, body := range repeats {
		c.eventually("an answer after the outage to a repeated submission that "+name, func() bool { return c.post(0, body).status == http.StatusOK })
	}
	// Submissions of a new job with the same errors are refused.
	for name, body := range repeats {
		newSubmission := []byte(strings.ReplaceAll(string(body), job.ID, "run-000002"))
		if got := c.post(0, newSubmission); got.status != http.StatusBadRequest && got.status != http.StatusUnprocessableEntity {
			t.Errorf("a new job that %s gets %d", name, got.status)
		}
	}
}
