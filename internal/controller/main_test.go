package controller

import (
	"os"
	"testing"

	"github.com/yarrowgap/yarrowgap/internal/fixedseed"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m)) }
