package main

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/policy"
)

// configFlags holds the flags that name the settings files, for the commands serve and check.
type configFlags struct {
	Config string `required:"" placeholder:"FILE" help:"The platform's settings file (TOML)."`
	// Script lists the scripts on the command line, in the order of evaluation. EnvScript is
	// evaluated last, so that it overrides them, in particular the script that the command line
	// in deploy/service.toml names.
	Script    []string `placeholder:"FILE" sep:"none" help:"The operators' own settings (Starlark); see docs/operations.md. May be repeated: later ones win, and the file that YARROWGAP_SCRIPT names over all."`
	EnvScript string   `name:"env-script" hidden:"" env:"YARROWGAP_SCRIPT"`
}

// scripts returns the operator scripts in the order of evaluation. Later scripts override earlier
// ones.
func (f configFlags) scripts() []string {
	if f.EnvScript == "" {
		return f.Script
	}
	return append(slices.Clone(f.Script), f.EnvScript)
}

// load reads the platform's settings file and the operators' scripts.
func (f configFlags) load() (*config.Settings, policy.Settings, error) {
	cfg, err := config.Load(f.Config)
	if err != nil {
		return nil, policy.Settings{}, usageError{err}
	}
	operatorSettings := policy.Defaults(policy.CostSensitivity(cfg.CostSensitive()))
	for _, script := range f.scripts() {
		operatorSettings, err = policy.Load(script, operatorSettings)
		if err != nil {
			return nil, operatorSettings, usageError{err}
		}
	}
	return cfg, operatorSettings, nil
}

// checkCmd checks the settings file and the operator scripts without starting a controller.
type checkCmd struct{ configFlags }

func (c checkCmd) Run(w io.Writer) error {
	cfg, _, err := c.load()
	if err != nil {
		return err
	}
	_, err = io.WriteString(w, describeSettings(cfg))
	return err
}

// describeSettings lists the settings below their recommended minimums, and the estimated number of
// machines that this controller can serve within each of the platform's limits.
func describeSettings(cfg *config.Settings) string {
	var text strings.Builder
	for _, shortfall := range cfg.Shortfalls() {
		fmt.Fprintln(&text, "falls short:", shortfall)
	}
	capacity := cfg.Capacity()
	describeCapacity(&text, "sockets and memory", capacity.ByConnections)
	describeCapacity(&text, "processor", capacity.ByCPU)
	fmt.Fprintf(&text, "ok: node %s, %d peers, %d teams\n", cfg.Node, len(cfg.Peers), len(cfg.Deployment.Teams))
	return text.String()
}

func describeCapacity(w io.Writer, limit string, machines int) {
	if machines > 0 {
		fmt.Fprintf(w, "capacity for about %d machines: %s\n", machines, limit)
	}
}
