package main

import (
	"runtime"
	"sync"

	"github.com/yarrowgap/yarrowgap/internal/restartsim"
)

// scenario is a restart that is simulated with several seeds, each with the setting recovery off and
// on.
type scenario struct {
	machines     int
	changedShare float64 // share of the machines that change while no controller runs, 0 to 1
	variants     []variant
}

// variant holds the results of a scenario with the setting recovery either off or on.
type variant struct {
	name     string
	recovery bool
	results  []restartsim.Result // by seed
}

func newScenarios(o options) []scenario {
	var scenarios []scenario
	for _, machines := range o.Machines {
		for _, changed := range o.Changed {
			scenarios = append(scenarios, scenario{machines: machines, changedShare: changed, variants: []variant{
				{name: "off", recovery: false, results: make([]restartsim.Result, o.Seeds)},
				{name: "on", recovery: true, results: make([]restartsim.Result, o.Seeds)},
			}})
		}
	}
	return scenarios
}

// plan returns the plan of the simulated restart whose result is at seedIndex in v.results. The
// seed of the plan is 1 above the index.
func (s scenario) plan(v variant, seedIndex int) restartsim.Plan {
	return restartsim.Plan{Machines: s.machines, ChangedShare: s.changedShare, Seed: uint64(seedIndex + 1), Recovery: v.recovery}
}

// runAll simulates all scenarios and stores their results. It runs up to concurrency simulations
// at a time, or one per processor if concurrency is 0 or negative.
func runAll(scenarios []scenario, concurrency int) {
	if concurrency <= 0 {
		concurrency = runtime.NumCPU()
	}
	slots := make(chan struct{}, concurrency)
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
