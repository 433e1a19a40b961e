package e2e

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"rattanchute/internal/outcome"
	"rattanchute/internal/standin"
	"rattanchute/internal/testsite"
)

// smallEngine generates a token every 5 ms.
var smallEngine = standin.EngineConfig{
	Slots:                  8,
	TokenMillis:            5,
	PrefillTokensPerSecond: 20000,
	CacheTokens:            20000,
	BlockTokens:            16,
	KeepMillis:             2000,
}

func TestEachDaemonServesStreamsAndCalls(t *testing.T) {
	is := is.New(t)
	s := startSite(t, testsite.Options{Daemons: 3, Engines: 3, Services: 2, DataCentres: 3, Engine: smallEngine})
	ctx := context.Background()
	for _, d := range s.Daemons {
		caller := testsite.NewCaller(testsite.CallerKey, d.Callers)
		body := testsite.ChatBody("a prompt for "+d.Callers, 24, true)
		stream, err := caller.Open(ctx, body)
		is.NoErr(err)
		is.Equal(stream.Head.Status, http.StatusOK)
		is.NoErr(stream.ReadAll())
		is.True(stream.Completed)
		is.Equal(stream.Text, standin.ExpectedAnswer(body))

		resp, err := caller.Call(ctx, http.MethodGet, "/app/prices?crop=rice", nil)
		is.NoErr(err)
		is.Equal(resp.Status, http.StatusOK)
		is.Equal(resp.Outcome, outcome.Completed)

		resp, err = caller.Call(ctx, http.MethodPost, "/app/book", []byte(`{}`),
			testsite.Header{Name: "Idempotency-Key", Value: "key-" + d.Callers})
		is.NoErr(err)
		is.Equal(resp.Status, http.StatusOK)
	}
}
