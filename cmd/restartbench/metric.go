package main

import (
	"fmt"

	"github.com/yarrowgap/yarrowgap/internal/restartsim"
)

// metric is a value computed from the result of a simulated restart.
type metric struct {
	name  string
	value func(restartsim.Result) float64
}

// metrics lists the columns of the table, each of which is also plotted.
var metrics = []metric{
	{"starts over need", func(r restartsim.Result) float64 { return float64(r.Issued.Starts - r.Needed.Starts) }},
	{"stops over need", func(r restartsim.Result) float64 { return float64(r.Issued.Stops - r.Needed.Stops) }},
	{"machines provisioned over need", func(r restartsim.Result) float64 { return float64(r.Issued.Provisioned - r.Needed.Provisioned) }},
	{"machines released over need", func(r restartsim.Result) float64 { return float64(r.Issued.Releases - r.Needed.Releases) }},
	{"calls to the key-value store", func(r restartsim.Result) float64 { return float64(r.KVStoreCalls) }},
	{"calls to the cloud", func(r restartsim.Result) float64 { return float64(r.CloudCalls) }},
	{"direct calls", func(r restartsim.Result) float64 { return float64(r.DirectCalls) }},
	{"first new start, s", func(r restartsim.Result) float64 { return r.FirstStartAfter.Seconds() }},
	{"settled, s", func(r restartsim.Result) float64 { return r.SettledAfter.Seconds() }},
	{"last team complete, s", func(r restartsim.Result) float64 { return r.TeamsCompleteAfter.Seconds() }},
	{"last machine answered, s", func(r restartsim.Result) float64 { return r.MachinesAnsweredAfter.Seconds() }},
	{"violations", func(r restartsim.Result) float64 { return float64(len(r.Violations)) }},
}

// summary holds the lowest, mean and highest value of a metric over all seeds.
type summary struct{ lowest, mean, highest float64 }

func (m metric) summarize(results []restartsim.Result) summary {
	first := m.value(results[0])
	s := summary{lowest: first, highest: first}
	for _, result := range results {
		value := m.value(result)
		s.lowest, s.highest = min(s.lowest, value), max(s.highest, value)
		s.mean += value / float64(len(results))
	}
	return s
}

func (s summary) String() string {
	if s.lowest == s.highest {
		return fmt.Sprintf("%.4g", s.mean)
	}
	return fmt.Sprintf("%.4g (%.4g to %.4g)", s.mean, s.lowest, s.highest)
}
