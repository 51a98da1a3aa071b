// Package fixedseed runs a package's property tests with the same generated inputs in every
// run, unless the flag -rapid.seed sets another seed.
package fixedseed

import (
	"flag"
	"testing"
)

// defaultSeed is the default seed of the generator of test inputs.
const defaultSeed = "20261201"

// Run runs the tests of a package that uses rapid, without writing files for failed tests, and
// returns the exit code.
func Run(m *testing.M) int {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", defaultSeed)
	}
	_ = flag.Set("rapid.nofailfile", "true")
	return m.Run()
}
