package controller

import (
	"reflect"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/yarrowgap/yarrowgap/internal/scheduler"
)

// Upper bound, in milliseconds, and precision of the latency histograms.
const (
	maxLatencyMilli          = 600_000
	latencySignificantDigits = 2
)

// metrics are the counters and latency histograms that are kept after a term ends. Guarded by
// Controller.mu.
type metrics struct {
	endedTermCounters   scheduler.Counters // totals of the ended terms of this controller
	startToAck          *hdrhistogram.Histogram
	submitToAnswer      *hdrhistogram.Histogram
	invariantViolations uint64
}

func newMetrics() metrics {
	return metrics{
		startToAck:     hdrhistogram.New(1, maxLatencyMilli, latencySignificantDigits),
		submitToAnswer: hdrhistogram.New(1, maxLatencyMilli, latencySignificantDigits),
	}
}

// recordLatency adds a latency to a histogram. Latencies below 1 ms or above maxLatencyMilli count
// as that bound.
func recordLatency(histogram *hdrhistogram.Histogram, latency time.Duration) {
	// RecordValue fails only for values out of bounds.
	_ = histogram.RecordValue(min(max(1, latency.Milliseconds()), maxLatencyMilli))
}

// addTerm adds the counters of a term that ends to the totals of the ended terms.
func (m *metrics) addTerm(counters scheduler.Counters) { addCounters(&m.endedTermCounters, counters) }

// addCounters adds each counter of a term to the total.
func addCounters(total *scheduler.Counters, term scheduler.Counters) {
	totalFields, termFields := reflect.ValueOf(total).Elem(), reflect.ValueOf(term)
	for i := range totalFields.NumField() {
		totalFields.Field(i).SetUint(totalFields.Field(i).Uint() + termFields.Field(i).Uint())
	}
}
