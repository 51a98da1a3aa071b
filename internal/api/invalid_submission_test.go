package api_test

import (
	"fmt"
	"maps"
	"math"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/yarrowgap/yarrowgap/wire"
)

// submissionFields are a submission's, as its user sends it.
func submissionFields(id string) map[string]any {
	return map[string]any{
		"uid": id, "docket": "c", "crew": testTeam, "shape": "batch", "rank": "normal", "shifts": 1,
		"cpus": 1.0, "gpus": 0.0, "memory_gb": 1.0, "kit": "img", "pull_gb": 0.1,
		"breeds": nil, "pasture": nil, "together": false, "scatter": false, "loaners": false,
		"reckon_s": 1.0, "tally_s": 0.0, "stow_s": 0.0, "due_s": nil,
	}
}

// nullableFields may be null or missing.
var nullableFields = map[string]bool{"breeds": true, "pasture": true, "due_s": true}

// invalidSubmission is a submission that is wrong in one way. A name starts with its field.
type invalidSubmission struct {
	name   string
	status int
	change map[string]any // of fields
	remove string         // a field, if not empty
}

func (s invalidSubmission) fields(id string) map[string]any {
	fields := submissionFields(id)
	maps.Copy(fields, s.change)
	delete(fields, s.remove)
	return fields
}

// invalidSubmissions makes a submission wrong in every way that the protocol tells, field by
// field.
func invalidSubmissions() []invalidSubmission {
	var all []invalidSubmission
	for field, valid := range submissionFields("") {
		if field == "uid" {
			continue // without a readable id, it is no known job's: see TestSubmissionWithInvalidIDIsRejected
		}
		for _, value := range wrongValues(field, valid) {
			all = append(all, withField(http.StatusBadRequest, field, fmt.Sprintf("%T %v", value, value), value))
		}
		if nullableFields[field] {
			continue
		}
		all = append(all, withField(http.StatusBadRequest, field, "null", nil),
			invalidSubmission{name: field + " missing", status: http.StatusBadRequest, remove: field})
	}
	longList := make([]string, 40)
	for i := range longList {
		longList[i] = strings.Repeat("x", 190)
	}
	return append(all,
		withField(http.StatusBadRequest, "shape", "unknown", "Batch"),
		withField(http.StatusBadRequest, "rank", "unknown", "high"),
		withField(http.StatusBadRequest, "breeds", "of numbers", []any{1}),
		withField(http.StatusBadRequest, "breeds", "with null", []any{nil}),
		withField(http.StatusBadRequest, "breeds", "too long to record", append(longList, "box")),
		withField(http.StatusUnprocessableEntity, "crew", "unknown", "nobody"),
		withField(http.StatusUnprocessableEntity, "cpus", "over every type", 4.5),
		withField(http.StatusUnprocessableEntity, "gpus", "over every type", 1.0),
		withField(http.StatusUnprocessableEntity, "memory_gb", "over every type", 16.5),
		withField(http.StatusUnprocessableEntity, "breeds", "unknown", []string{"barge"}),
		withField(http.StatusUnprocessableEntity, "breeds", "empty", []string{}),
		withField(http.StatusUnprocessableEntity, "pasture", "unknown", "z"),
		invalidSubmission{name: "service over the limit", status: http.StatusUnprocessableEntity,
			change: map[string]any{"shape": "daemon", "shifts": 9}},
	)
}

func withField(status int, field, what string, value any) invalidSubmission {
	return invalidSubmission{name: field + " " + what, status: status, change: map[string]any{field: value}}
}

// wrongValues are values that a field of the type of valid must not have.
func wrongValues(field string, valid any) []any {
	switch valid.(type) {
	case string:
		return []any{1, 1.5, true, []string{"a"}, map[string]any{}, []byte("batch"), ""}
	case float64:
		return []any{"1", true, []float64{1}, map[string]any{}, math.NaN(), math.Inf(1), math.Inf(-1), -1.0, -1, 1e300}
	case int:
		return []any{"1", true, 1.5, math.NaN(), 0, -1, 100_001, uint64(math.MaxUint64), []int{1}}
	case bool:
		return []any{0, 1, "true", []bool{true}}
	}
	if field == "due_s" {
		return []any{true, "1", math.NaN(), math.Inf(1), -1.0, []float64{1}}
	}
	return []any{true, map[string]any{}, 1}
}

// postFields submits fields as they are.
func (c *cluster) postFields(i int, fields map[string]any) reply {
	c.tb.Helper()
	body, err := wire.Marshal(fields)
	if err != nil {
		c.tb.Error(err)
	}
	return c.post(i, body)
}

// forEachConcurrently calls check for all submissions, some at a time.
func forEachConcurrently(all []invalidSubmission, check func(k int, submission invalidSubmission)) {
	const parts = 16
	var running sync.WaitGroup
	for part := range parts {
		running.Go(func() {
			for k := part; k < len(all); k += parts {
				check(k, all[k])
			}
		})
	}
	running.Wait()
}

// Whatever is wrong with a submission is answered at once; nothing is made of it. A known
// job's repeated submission gets the job's state, however its body has changed.
func TestInvalidSubmissionsAreRejected(t *testing.T) {
	c := startCluster(t, 2)
	known, ended := newJob(7001, 1), newJob(7002, 1)
	c.simulation.UploadJob(known, time.Hour)
	c.simulation.UploadJob(ended, 0)
	for i := range c.userAddrs {
		c.submitUntilAccepted(i, known)
		c.submitUntilAccepted(i, ended)
	}
	c.waitUntilDone(0, ended.ID)
	all := invalidSubmissions()
	forEachConcurrently(all, func(k int, invalid invalidSubmission) {
		fresh, asked, other := jobID(8000+k), k%2, 1-k%2
		if got := c.postFields(asked, invalid.fields(fresh)); got.status != invalid.status {
			t.Errorf("%s: %d, want %d", invalid.name, got.status, invalid.status)
		}
		if got := c.query(other, fresh); got.status != http.StatusNotFound {
			t.Errorf("%s: then the job is known: %d", invalid.name, got.status)
		}
		got := c.postFields(asked, invalid.fields(known.ID))
		if got.status != http.StatusOK || got.view.State != wire.JobPending && got.view.State != wire.JobRunning {
			t.Errorf("%s, for a known job: %d %q", invalid.name, got.status, got.view.State)
		}
		got = c.postFields(other, invalid.fields(ended.ID))
		if got.status != http.StatusOK || got.view.State != wire.JobDone {
			t.Errorf("%s, for a job that is done: %d %q", invalid.name, got.status, got.view.State)
		}
	})
	// What cannot be decided now is refused for now: it may be a known job's.
	c.simulation.StartKVStoreOutage()
	forEachConcurrently(all, func(k int, invalid invalidSubmission) {
		got := c.postFields(k%2, invalid.fields(known.ID))
		retryable := got.header.Get("Retry-After") != "" && got.header.Get("Connection") == "close"
		if got.status != http.StatusServiceUnavailable || !retryable {
			t.Errorf("%s, for a known job in an outage: %d %q, retryable: %v", invalid.name, got.status, got.view.State, retryable)
		}
	})
}

// A submission that names no job in a form that jobs have is malformed whoever sends it.
func TestSubmissionWithInvalidIDIsRejected(t *testing.T) {
	c := startCluster(t, 1)
	c.submitUntilCreated(0, newJob(7101, 1)) // the machine types are known then
	for _, id := range []any{
		nil, "", 7101, true, []string{"run-007101"}, "run-", "run-1", "run-00710", "run-00710x", "run-007101 ", " run-007101",
		"RUN-007101", "run_007101", "run-007101/0", "run-٠٠٧١٠١", "run-0071010071010071010", "run--07101", "run-+07101", "job-007101",
	} {
		t.Run(fmt.Sprintf("%T %v", id, id), func(t *testing.T) {
			fields := submissionFields("")
			fields["uid"] = id
			if got := c.postFields(0, fields); got.status != http.StatusBadRequest {
				t.Errorf("submission: %d", got.status)
			}
			text, ok := id.(string)
			if !ok || text == "" || strings.ContainsAny(text, " /") {
				return // no path can have it
			}
			if got := c.query(0, text); got.status != http.StatusNotFound {
				t.Errorf("query: %d", got.status)
			}
			if got := c.cancel(0, text); got.status != http.StatusNotFound {
				t.Errorf("cancellation: %d", got.status)
			}
		})
	}
}

// What can run is accepted: each field at its limits, what may be null left out, fields
// that nobody knows, and jobs of which half may run at a time.
func TestSubmissionsAtLimitsAreAccepted(t *testing.T) {
	c := startCluster(t, 1)
	c.submitUntilCreated(0, newJob(7201, 1)) // the machine types are known then
	for k, change := range []map[string]any{
		{"shifts": 100_000}, {"cpus": 4}, {"cpus": 4.0, "memory_gb": 16.0}, {"breeds": []string{"barge", "box"}}, {"pasture": "a"}, {"due_s": 0.5},
		{"shape": "daemon", "shifts": 8}, {"shape": "daemon", "scatter": true, "together": true, "pasture": "a"},
		{"shifts": 5, "scatter": true, "together": true}, {"shifts": 5, "scatter": true, "pasture": "a"},
		{"shape": "daemon", "shifts": 2, "together": true}, {"shape": "daemon", "shifts": 2, "scatter": true, "together": true},
		{"shape": "daemon", "shifts": 3, "scatter": true, "pasture": "a"}, {"loaners": true}, {"colour": "blue", "size": []int{1}},
	} {
		t.Run(fmt.Sprint(change), func(t *testing.T) {
			fields := submissionFields(jobID(7300 + k))
			if k%2 == 0 {
				maps.DeleteFunc(fields, func(field string, _ any) bool { return nullableFields[field] })
			}
			maps.Copy(fields, change)
			if got := c.postFields(0, fields); got.status != http.StatusCreated {
				t.Errorf("%d", got.status)
			}
		})
	}
}
