// Command restartbench simulates restarts of all controllers, with the setting recovery off and
// on, and writes a table to the standard output and a self-contained HTML page. Its figures are
// simulated: they can be compared with one another, but not with those of a real cluster.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

const programName = "restartbench"

// options holds the flags of the command line.
type options struct {
	Machines []int     `default:"50,500,4000" help:"Numbers of machines."`
	Changed  []float64 `default:"0,0.01,0.1,0.5" help:"Shares of machines that change while no controller runs."`
	Seeds    int       `default:"5" help:"Runs of each."`
	Jobs     int       `default:"0" help:"Runs at once; 0: one for each processor."`
	Out      string    `default:"target/restarts.html" help:"The page."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Name(programName), kong.Description("Simulates restarts of all controllers."))
	if err := o.run(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", programName, err)
		os.Exit(1)
	}
}

func (o options) run() error {
	scenarios := newScenarios(o)
	runAll(scenarios, o.Jobs)
	if err := writeTable(os.Stdout, scenarios); err != nil {
		return err
	}
	return writePage(o.Out, scenarios)
}
