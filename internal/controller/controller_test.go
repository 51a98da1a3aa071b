package controller

import (
	"io"
	"log/slog"
	"os"
	"testing"

	"github.com/yarrowgap/yarrowgap/internal/config"
	"github.com/yarrowgap/yarrowgap/internal/policy"
)

func newTestController(t *testing.T) *Controller {
	b, err := os.ReadFile("../../examples/local.toml")
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Parse(b)
	if err != nil {
		t.Fatal(err)
	}
	return New(cfg, policy.Defaults(false), slog.New(slog.NewTextHandler(io.Discard, nil)))
}
