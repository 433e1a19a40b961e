package e2e

import (
	"fmt"
	"os"
	"testing"

	"rattanchute/internal/testsite"
)

// daemonBinary is the path of the daemon built for these tests.
var daemonBinary string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "rattanchute-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	if daemonBinary, err = testsite.Build(dir, "rattanchuted"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// startSite starts a site that is closed at the end of the test.
func startSite(t *testing.T, o testsite.Options) *testsite.Site {
	t.Helper()
	s, err := testsite.Start(t.TempDir(), daemonBinary, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}
