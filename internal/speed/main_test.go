package speed

import (
	"os"
	"testing"

	"rattanchute/internal/fixedseed"
)

// TestMain gives property tests a fixed seed unless -rapid.seed names one.
func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m)) }
