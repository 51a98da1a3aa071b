package controller

import (
	"reflect"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/yarrowgap/yarrowgap/internal/scheduler"
)

// Bounds and precision of latency histograms.
const (
	maxLatencyMilli          = 600_000
	latencySignificantDigits = 2
)

// metrics are the signals that outlive a term. Guarded by Controller.mu.
type metrics struct {
	earlierTerms   scheduler.Counters
	startToAck     *hdrhistogram.Histogram
	submitToAnswer *hdrhistogram.Histogram
}

func newMetrics() metrics {
	return metrics{
		startToAck:     hdrhistogram.New(1, maxLatencyMilli, latencySignificantDigits),
		submitToAnswer: hdrhistogram.New(1, maxLatencyMilli, latencySignificantDigits),
	}
}

// observe adds a latency to a histogram; one out of bounds counts as the bound.
func observe(histogram *hdrhistogram.Histogram, latency time.Duration) {
	_ = histogram.RecordValue(min(max(1, latency.Milliseconds()), maxLatencyMilli)) // within bounds
}

// addTerm keeps the counters of a term that ends.
func (m *metrics) addTerm(counters scheduler.Counters) { addCounters(&m.earlierTerms, counters) }

// addCounters adds each counter of a term to the total.
func addCounters(total *scheduler.Counters, term scheduler.Counters) {
	totalFields, termFields := reflect.ValueOf(total).Elem(), reflect.ValueOf(term)
	for i := range totalFields.NumField() {
		totalFields.Field(i).SetUint(totalFields.Field(i).Uint() + termFields.Field(i).Uint())
	}
}
