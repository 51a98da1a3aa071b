// Command restartbench plays restarts of all controllers against stand-ins in simulated
// time, with the recovery off and on, and writes a table and a self-contained HTML page.
// Its figures are simulated and are compared only among themselves.
package main

import (
	"fmt"
	"os"
	"runtime"
	"sync"

	"github.com/alecthomas/kong"

	"github.com/yarrowgap/yarrowgap/internal/restartsim"
)

// options are the command line.
type options struct {
	Machines []int     `default:"50,500,4000" help:"Sizes of the fleet."`
	Changed  []float64 `default:"0,0.01,0.1,0.5" help:"Shares of machines that are not as they were."`
	Seeds    int       `default:"5" help:"Plays of each."`
	Jobs     int       `default:"0" help:"Plays at once; 0: one for each processor."`
	Out      string    `default:"target/restarts.html" help:"The page."`
}

// scenario is what is played with several seeds, without and with the recovery.
type scenario struct {
	machines        int
	changed         float64
	withoutRecovery []restartsim.Result
	withRecovery    []restartsim.Result
}

func main() {
	var o options
	kong.Parse(&o, kong.Name("restartbench"), kong.Description("Plays restarts of all controllers in simulated time."))
	if err := o.run(); err != nil {
		fmt.Fprintln(os.Stderr, "restartbench:", err)
		os.Exit(1)
	}
}

func (o options) run() error {
	scenarios := o.scenarios()
	o.runAll(scenarios)
	if err := printTable(os.Stdout, scenarios); err != nil {
		return err
	}
	return writePage(o.Out, scenarios)
}

func (o options) scenarios() []*scenario {
	var all []*scenario
	for _, machines := range o.Machines {
		for _, changed := range o.Changed {
			all = append(all, &scenario{machines: machines, changed: changed,
				withoutRecovery: make([]restartsim.Result, o.Seeds), withRecovery: make([]restartsim.Result, o.Seeds)})
		}
	}
	return all
}

// runAll plays all scenarios, some at once. Each result has a place of its own.
func (o options) runAll(scenarios []*scenario) {
	jobs := o.Jobs
	if jobs <= 0 {
		jobs = runtime.NumCPU()
	}
	places := make(chan struct{}, jobs)
	var all sync.WaitGroup
	for _, s := range scenarios {
		for seed := range o.Seeds {
			for _, recovery := range []bool{false, true} {
				places <- struct{}{}
				all.Go(func() {
					defer func() { <-places }()
					result := restartsim.Run(restartsim.Plan{Machines: s.machines, Changed: s.changed, Seed: uint64(seed + 1), Recovery: recovery})
					if recovery {
						s.withRecovery[seed] = result
					} else {
						s.withoutRecovery[seed] = result
					}
				})
			}
		}
	}
	all.Wait()
}
