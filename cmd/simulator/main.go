// Command simulator serves a simulated key-value store and cloud on the loopback
// interface, for trying a controller without a platform, and submits jobs to it.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

const programName = "simulator"

func main() {
	var commands struct {
		Serve  serveCommand  `cmd:"" default:"withargs" help:"Serve the simulated systems."`
		Submit submitCommand `cmd:"" help:"Submit a job to a controller."`
	}
	parsed := kong.Parse(&commands, kong.Name(programName),
		kong.Description("Simulates the systems that a yarrowgap controller talks to."))
	if err := parsed.Run(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", programName, err)
		os.Exit(1)
	}
}
