// Command simulator serves a simulated key-value store and cloud on the loopback interface, so that
// a controller can be tried out without a platform. It also submits jobs to a controller.
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
	command := kong.Parse(&commands, kong.Name(programName),
		kong.Description("Simulates the systems that a yarrowgap controller talks to."))
	if err := command.Run(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", programName, err)
		os.Exit(1)
	}
}
