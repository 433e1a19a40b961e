package e2e

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"rattanchute/internal/outcome"
	"rattanchute/internal/testsite"
)

// TestStreamsOverTheLimitAreRefused opens one stream more than a daemon may have open, which
// must be refused, and tries again once the others have ended.
func TestStreamsOverTheLimitAreRefused(t *testing.T) {
	is := is.New(t)
	s := startSite(t, testsite.Options{Daemons: 1, Engines: 1, Engine: longEngine, MaxOpenStreams: 2})
	caller := testsite.NewCaller(testsite.CallerKey, s.Daemons[0].Callers)
	var open []*testsite.Stream
	for range 2 {
		stream, err := caller.Open(t.Context(), testsite.ChatBody("long", 200, true))
		is.NoErr(err)
		is.Equal(stream.Head.Status, http.StatusOK)
		open = append(open, stream)
	}
	refused, err := caller.Open(t.Context(), testsite.ChatBody("one more", 2, true))
	is.NoErr(err)
	is.Equal(refused.Head.Status, http.StatusServiceUnavailable)
	is.Equal(refused.Head.Error.Code, "too_many_streams")
	is.Equal(refused.Head.Outcome, outcome.NotRun)
	is.True(refused.Head.RetryAfter != "")
	for _, stream := range open {
		is.NoErr(stream.ReadAll())
	}
	waitUntil(t, "a stream is taken again", func() bool {
		again, err := caller.Open(t.Context(), testsite.ChatBody("one more", 2, true))
		return err == nil && again.Head.Status == http.StatusOK && again.ReadAll() == nil
	})
}
