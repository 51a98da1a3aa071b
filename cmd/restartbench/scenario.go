package main

import (
	"runtime"
	"sync"

	"github.com/yarrowgap/yarrowgap/internal/restartsim"
)

// scenario is a restart that is run with several seeds, without and with the recovery.
type scenario struct {
	machines int
	changed  float64
	variants []variant
}

// variant is the results of a scenario under one setting of the recovery.
type variant struct {
	name     string
	recovery bool
	results  []restartsim.Result // by seed
}

func newScenarios(o options) []scenario {
	var all []scenario
	for _, machines := range o.Machines {
		for _, changed := range o.Changed {
			all = append(all, scenario{machines: machines, changed: changed, variants: []variant{
				{name: "off", recovery: false, results: make([]restartsim.Result, o.Seeds)},
				{name: "on", recovery: true, results: make([]restartsim.Result, o.Seeds)},
			}})
		}
	}
	return all
}

// plan is what a scenario runs for a seed, which counts from 0.
func (s scenario) plan(v variant, seed int) restartsim.Plan {
	return restartsim.Plan{Machines: s.machines, Changed: s.changed, Seed: uint64(seed + 1), Recovery: v.recovery}
}

// runAll runs all scenarios, with a number of runs at once or, for 0, one for each
// processor.
func runAll(scenarios []scenario, parallel int) {
	if parallel <= 0 {
		parallel = runtime.NumCPU()
	}
	slots := make(chan struct{}, parallel)
	var running sync.WaitGroup
	for _, s := range scenarios {
		for _, v := range s.variants {
			for seed := range v.results {
				slots <- struct{}{}
				running.Go(func() {
					defer func() { <-slots }()
					v.results[seed] = restartsim.Run(s.plan(v, seed))
				})
			}
		}
	}
	running.Wait()
}
