package controller

import (
	"io"
	"log/slog"
	"os"
	"testing"

	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/policy"
)

// newTestController creates a controller with the example settings. It logs nothing, and its loops
// do not run.
func newTestController(t *testing.T) *Controller {
	t.Helper()
	b, err := os.ReadFile("../../examples/local.toml")
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Parse(b)
	if err != nil {
		t.Fatal(err)
	}
	return New(cfg, policy.Defaults(policy.CostInsensitive), slog.New(slog.NewTextHandler(io.Discard, nil)))
}
