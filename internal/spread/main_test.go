package spread_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives property tests a fixed seed unless -rapid.seed names one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
