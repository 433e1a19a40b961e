package main

import (
	"os"
	"os/exec"
	"testing"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"rattanchute/internal/asynclog"
)

// closedOutputEnvironment makes the test binary run logToClosedOutput instead of the tests.
const closedOutputEnvironment = "RATTANCHUTED_TEST_CLOSED_OUTPUT"

func TestMain(m *testing.M) {
	if os.Getenv(closedOutputEnvironment) != "" {
		logToClosedOutput()
		return
	}
	os.Exit(m.Run())
}

// logToClosedOutput waits until standard input ends, by which time nobody reads standard output, and
// logs some lines.
func logToClosedOutput() {
	ignoreClosedOutput()
	logger := asynclog.New(os.Stdout, log.InfoLevel)
	_, _ = os.Stdin.Read(make([]byte, 1))
	for range 100 {
		logger.Info().Msg("line")
	}
	if logger.Close() == nil {
		os.Exit(exitFailed) // the output was still open
	}
}

// TestClosedOutputDoesNotEndTheDaemon checks that a process outlives the reader of its log.
func TestClosedOutputDoesNotEndTheDaemon(t *testing.T) {
	is := is.New(t)
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), closedOutputEnvironment+"=1")
	stdin, err := child.StdinPipe()
	is.NoErr(err)
	stdout, err := child.StdoutPipe()
	is.NoErr(err)
	is.NoErr(child.Start())
	is.NoErr(stdout.Close())
	is.NoErr(stdin.Close())
	is.NoErr(child.Wait())
}
