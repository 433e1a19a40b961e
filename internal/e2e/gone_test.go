package e2e

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"rattanchute/internal/engine"
	"rattanchute/internal/standin"
	"rattanchute/internal/testsite"
)

// TestDisconnectedCallerCancelsItsStream checks that a stream whose caller has closed the
// connection is cancelled at the engine and no longer counted as in flight by the daemon.
func TestDisconnectedCallerCancelsItsStream(t *testing.T) {
	is := is.New(t)
	s := startSite(t, testsite.Options{Daemons: 1, Engines: 1, Engine: standin.EngineConfig{Slots: 2, TokenMillis: 5}})
	d := s.Daemons[0]
	stream, err := s.Caller(d).Open(t.Context(), testsite.ChatBody("a long answer", 10000, true))
	is.NoErr(err)
	is.NoErr(stream.Next())
	is.True(strings.Contains(metrics(t, d), "rattanchute_requests_in_flight 1\n"))
	stream.Close()
	waitUntil(t, "the request is counted out", func() bool {
		return strings.Contains(metrics(t, d), "rattanchute_requests_in_flight 0\n")
	})
	waitUntil(t, "the engine is told to stop", func() bool { return cancelled(s.Standin.Engine("engine-0").Ledger()) })
}

func cancelled(ledger map[engine.StreamID]standin.LedgerEntry) bool {
	for _, entry := range ledger {
		if entry.Cancelled {
			return true
		}
	}
	return false
}
