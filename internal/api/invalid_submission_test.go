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

// submissionFields returns the fields of a valid submission, as a user sends them.
func submissionFields(id string) map[string]any {
	return map[string]any{
		"uid": id, "docket": "c", "crew": testTeam, "shape": "batch", "rank": "normal", "shifts": 1,
		"cpus": 1.0, "gpus": 0.0, "memory_gb": 1.0, "kit": "img", "pull_gb": 0.1,
		"breeds": nil, "pasture": nil, "together": false, "scatter": false, "loaners": false,
		"reckon_s": 1.0, "tally_s": 0.0, "stow_s": 0.0, "due_s": nil,
	}
}

// nullableFields are the fields of a submission that may be null or missing.
var nullableFields = map[string]bool{"breeds": true, "pasture": true, "due_s": true}

// invalidSubmission is a submission with one error. Its name starts with the invalid field.
type invalidSubmission struct {
	name         string
	status       int            // expected
	changes      map[string]any // new values of fields
	removedField string         // field to remove, if not empty
}

func (s invalidSubmission) fields(id string) map[string]any {
	fields := submissionFields(id)
	maps.Copy(fields, s.changes)
	delete(fields, s.removedField)
	return fields
}

// invalidSubmissions lists submissions with each of the errors that the protocol describes, field by
// field.
func invalidSubmissions() []invalidSubmission {
	var submissions []invalidSubmission
	for field, valid := range submissionFields("") {
		if field == "uid" {
			// TestSubmissionWithInvalidIDIsRejected covers the id: without a valid one, the job
			// cannot be a known one.
			continue
		}
		for _, value := range invalidValues(field, valid) {
			submissions = append(submissions, withField(http.StatusBadRequest, field, fmt.Sprintf("%T %v", value, value), value))
		}
		if nullableFields[field] {
			continue
		}
		submissions = append(submissions, withField(http.StatusBadRequest, field, "null", nil),
			invalidSubmission{name: field + " missing", status: http.StatusBadRequest, removedField: field})
	}
	longList := make([]string, 40)
	for i := range longList {
		longList[i] = strings.Repeat("x", 190)
	}
	return append(submissions,
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
			changes: map[string]any{"shape": "daemon", "shifts": 9}},
		// Guards against a job that is accepted and never starts.
		invalidSubmission{name: "gang of several tasks", status: http.StatusUnprocessableEntity,
			changes: map[string]any{"shape": "gang", "shifts": 2}},
	)
}

func withField(status int, field, problem string, value any) invalidSubmission {
	return invalidSubmission{name: field + " " + problem, status: status, changes: map[string]any{field: value}}
}

// invalidValues lists values that are invalid for a field, given a valid value of the field.
func invalidValues(field string, valid any) []any {
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

// postFields submits fields to controller i without validating them.
func (c *cluster) postFields(i int, fields map[string]any) reply {
	c.tb.Helper()
	body, err := wire.Marshal(fields)
	if err != nil {
		c.tb.Error(err)
	}
	return c.post(i, body)
}

// forEachConcurrently calls check for all submissions, several at a time.
func forEachConcurrently(submissions []invalidSubmission, check func(k int, submission invalidSubmission)) {
	const concurrency = 16
	var running sync.WaitGroup
	for first := range concurrency {
		running.Go(func() {
			for k := first; k < len(submissions); k += concurrency {
				check(k, submissions[k])
			}
		})
	}
	running.Wait()
}

// An invalid submission is refused immediately and creates no job. A repeated submission of a known
// job is answered with the job's state, even if its body has become invalid.
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
	submissions := invalidSubmissions()
	forEachConcurrently(submissions, func(k int, invalid invalidSubmission) {
		newID, receiver, other := jobID(8000+k), k%2, 1-k%2
		if got := c.postFields(receiver, invalid.fields(newID)); got.status != invalid.status {
			t.Errorf("%s: %d, want %d", invalid.name, got.status, invalid.status)
		}
		if got := c.query(other, newID); got.status != http.StatusNotFound {
			t.Errorf("%s: query of the refused job: %d", invalid.name, got.status)
		}
		got := c.postFields(receiver, invalid.fields(known.ID))
		if got.status != http.StatusOK || got.view.State != wire.JobPending && got.view.State != wire.JobRunning {
			t.Errorf("%s, for a known job: %d %q", invalid.name, got.status, got.view.State)
		}
		got = c.postFields(other, invalid.fields(ended.ID))
		if got.status != http.StatusOK || got.view.State != wire.JobDone {
			t.Errorf("%s, for a job that is done: %d %q", invalid.name, got.status, got.view.State)
		}
	})
	// In an outage a controller cannot tell whether the job is known, so it asks users to retry.
	c.simulation.StartKVStoreOutage()
	forEachConcurrently(submissions, func(k int, invalid invalidSubmission) {
		got := c.postFields(k%2, invalid.fields(known.ID))
		retryable := got.header.Get("Retry-After") != "" && got.header.Get("Connection") == "close"
		if got.status != http.StatusServiceUnavailable || !retryable {
			t.Errorf("%s, for a known job in an outage: %d %q, retryable: %v", invalid.name, got.status, got.view.State, retryable)
		}
	})
}

// A submission with a malformed job id is answered with 400, and a query or a cancellation with 404.
func TestSubmissionWithInvalidIDIsRejected(t *testing.T) {
	c := startCluster(t, 1)
	c.submitUntilCreated(0, newJob(7101, 1)) // returns only after the machine types are known
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
				return // the id cannot be part of a path
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

// Valid submissions are accepted: with fields at their limits, without nullable fields, with unknown
// fields, and of jobs that must be spread over zones but may use only one zone, so that only half of
// their tasks can run at a time.
func TestSubmissionsAtLimitsAreAccepted(t *testing.T) {
	c := startCluster(t, 1)
	c.submitUntilCreated(0, newJob(7201, 1)) // returns only after the machine types are known
	for k, changes := range []map[string]any{
		{"shifts": 100_000}, {"cpus": 4}, {"cpus": 4.0, "memory_gb": 16.0}, {"breeds": []string{"barge", "box"}}, {"pasture": "a"}, {"due_s": 0.5},
		{"shape": "daemon", "shifts": 8}, {"shape": "daemon", "scatter": true, "together": true, "pasture": "a"},
		{"shifts": 5, "scatter": true, "together": true}, {"shifts": 5, "scatter": true, "pasture": "a"},
		{"shape": "daemon", "shifts": 2, "together": true}, {"shape": "daemon", "shifts": 2, "scatter": true, "together": true},
		{"shape": "daemon", "shifts": 3, "scatter": true, "pasture": "a"}, {"loaners": true}, {"colour": "blue", "size": []int{1}},
	} {
		t.Run(fmt.Sprint(changes), func(t *testing.T) {
			fields := submissionFields(jobID(7300 + k))
			if k%2 == 0 {
				maps.DeleteFunc(fields, func(field string, _ any) bool { return nullableFields[field] })
			}
			maps.Copy(fields, changes)
			if got := c.postFields(0, fields); got.status != http.StatusCreated {
				t.Errorf("%d", got.status)
			}
		})
	}
}
