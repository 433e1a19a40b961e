// Package fixedseed runs the property tests of a package with the same seed each time.
package fixedseed

import (
	"flag"
	"testing"
)

const (
	seedFlag = "rapid.seed"
	// unset is the flag's default, with which rapid draws a random seed.
	unset = "0"
	fixed = "1"
)

// Run runs the tests with a fixed seed, unless the flag -rapid.seed sets another one, and returns
// the exit code. The package under test must import rapid, which defines the flag.
func Run(m *testing.M) int {
	flag.Parse()
	if seed := flag.Lookup(seedFlag); seed.Value.String() == unset {
		if err := seed.Value.Set(fixed); err != nil {
			panic(err)
		}
	}
	return m.Run()
}
