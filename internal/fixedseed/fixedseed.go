// Package fixedseed runs a package's tests with generated inputs that are the same every
// time, unless others are asked for with -rapid.seed.
package fixedseed

import (
	"flag"
	"testing"
)

// seed is what generated inputs follow from by default.
const seed = "20261201"

// Run runs the tests of a package that uses rapid and returns its exit code.
func Run(m *testing.M) int {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", seed)
	}
	_ = flag.Set("rapid.nofailfile", "true")
	return m.Run()
}
