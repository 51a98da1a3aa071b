package soak

import (
	"testing"
	"time"
)

func TestUnansweredTimesAreOfOneJobAndAfterTheFaults(t *testing.T) {
	times := newUnansweredTimes()
	at := func(seconds int) time.Duration { return time.Duration(seconds) * time.Second }
	times.answered(at(1), "run-000001")
	times.failed(at(200), "run-000001")
	if summary := times.summary(); summary.Longest != 0 {
		t.Errorf("before the end of the faults: %v", summary)
	}
	times.faultsEnded(at(200))
	times.answered(at(216), "run-000001") // 16 s
	times.failed(at(220), "run-000001")
	times.answered(at(231), "run-000002") // 31 s, never asked about before
	times.answered(at(232), "run-000002")
	times.failed(at(276), "run-000003") // 76 s and not answered at all
	times.accepted(at(300), "run-000004")
	times.failed(at(310), "run-000004") // 10 s since it was accepted
	want := UnansweredSummary{Jobs: 4, Longest: at(76), LongestJob: "run-000003", OverNotice: 3, OverTarget: 2, OverLimit: 1}
	if summary := times.summary(); summary != want {
		t.Errorf("got %+v, want %+v", summary, want)
	}
}
