package api_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/yarrowgap/yarrowgap/wire"
)

// A repeated submission of an accepted job never gets 400 or 422, whatever has become of
// its body, and also while the state service refuses: what cannot be looked up cannot be
// decided.
func TestIdempotentSubmissionIsNeverInvalid(t *testing.T) {
	c := startCluster(t, 1)
	j := newJob(1, 1)
	j.Shape = wire.ShapeService
	c.eventually("acceptance", func() bool { s, _, _ := c.request(0, "POST", "/v2/runs", encodeSubmission(t, j)); return s == 201 })
	lacking, err := wire.Marshal(map[string]any{"uid": j.ID, "docket": "c"})
	if err != nil {
		t.Fatal(err)
	}
	long := *j
	long.MachineTypes = []string{"box"}
	for i := range 40 {
		long.MachineTypes = append(long.MachineTypes, fmt.Sprint(strings.Repeat("x", 190), i))
	}
	unfit := *j
	unfit.MemoryGB = 99
	repeats := map[string][]byte{"lacks fields": lacking, "is too long": encodeSubmission(t, &long), "fits nowhere": encodeSubmission(t, &unfit)}
	for name, b := range repeats {
		if s, _, _ := c.request(0, "POST", "/v2/runs", b); s != 200 {
			t.Errorf("a repeat that %s gets %d", name, s)
		}
	}
	c.simulation.StartKVStoreOutage()
	for name, b := range repeats {
		if s, _, _ := c.request(0, "POST", "/v2/runs", b); s != 503 {
			t.Errorf("a repeat that %s gets %d while the state service refuses", name, s)
		}
	}
	c.simulation.EndKVStoreOutage()
	if t.Failed() {
		return
	}
	for name, b := range repeats {
		c.eventually("an answer after the outage to a repeat that "+name, func() bool { s, _, _ := c.request(0, "POST", "/v2/runs", b); return s == 200 })
	}
	// Of a job that nobody has accepted, the same are refused.
	for name, b := range repeats {
		fresh := []byte(strings.ReplaceAll(string(b), j.ID, "run-000002"))
		if s, _, _ := c.request(0, "POST", "/v2/runs", fresh); s != 400 && s != 422 {
			t.Errorf("a new job that %s gets %d", name, s)
		}
	}
}
