package standin

import (
	"os"
	"testing"

	"rattanchute/internal/fixedseed"
)

// TestMain runs the property tests with a fixed seed unless -rapid.seed is set.
func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m)) }
