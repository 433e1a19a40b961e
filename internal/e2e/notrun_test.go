package e2e

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"

	"rattanchute/internal/outcome"
	"rattanchute/internal/standin"
	"rattanchute/internal/testsite"
)

func TestPromiseNotRunMeansNotRun(t *testing.T) {
	cases := []struct {
		name   string
		faults standin.Faults
		// want is an outcome that at least one caller must have got.
		want outcome.Outcome
	}{
		{"refused by the endpoints", standin.Faults{Refuse: true}, outcome.NotRun},
		{"listeners gone", standin.Faults{Die: true}, outcome.NotRun},
		{"cut before anything is read", standin.Faults{CutBeforeRead: true}, outcome.Unknown},
		{"cut in the request", standin.Faults{CutAfterRequestBytes: 40}, outcome.Unknown},
		{"cut after the run", standin.Faults{CutAfterRun: true}, outcome.Unknown},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s := startSite(t, testsite.Options{Daemons: 2, Engines: 1, Services: 2, Engine: smallEngine})
			for _, name := range []string{"service-0", "service-1"} {
				s.Standin.Service(name).SetFaults(tc.faults)
			}
			responses := sendCalls(t, s, 40)
			is.True(countOutcome(responses, tc.want) > 0)
			checkNotRun(t, s, responses)
		})
	}
}

// sendCalls sends n non-idempotent calls without Idempotency-Key concurrently. The daemons
// give each call its own request id, which the services record as the attempt id.
func sendCalls(t *testing.T, s *testsite.Site, n int) []testsite.Response {
	responses := make([]testsite.Response, n)
	var wg sync.WaitGroup
	for i := range responses {
		wg.Go(func() {
			caller := testsite.NewCaller(testsite.CallerKey, s.Daemons[i%len(s.Daemons)].Callers)
			resp, err := caller.Call(context.Background(), http.MethodPost, "/app/book", fmt.Appendf(nil, "%d", i))
			if err != nil {
				t.Error(err)
			}
			responses[i] = resp
		})
	}
	wg.Wait()
	return responses
}

func countOutcome(responses []testsite.Response, o outcome.Outcome) int {
	n := 0
	for _, resp := range responses {
		if resp.Outcome == o {
			n++
		}
	}
	return n
}

// checkNotRun checks by the services' ledgers that no call with the outcome not-run has run,
// and that the response to each of them says when to retry.
func checkNotRun(t *testing.T, s *testsite.Site, responses []testsite.Response) {
	t.Helper()
	ran := map[string]int{}
	for _, name := range []string{"service-0", "service-1"} {
		for id, n := range s.Standin.Service(name).Ledger().Attempts {
			ran[id] += n
		}
	}
	for _, resp := range responses {
		if resp.Outcome == outcome.NotRun && ran[resp.RequestID] > 0 {
			t.Errorf("%s: outcome is not run, but the call ran", resp.RequestID)
		}
		if resp.Outcome == outcome.NotRun && resp.RetryAfter == "" {
			t.Errorf("%s: refused without Retry-After", resp.RequestID)
		}
	}
}

// TestRateLimitedRequestsAreNotRun sends more requests than the rate limit of an organisation
// allows. Those that are refused must have the outcome not-run, must not have run, and must
// say when to retry.
func TestRateLimitedRequestsAreNotRun(t *testing.T) {
	is := is.New(t)
	s := startSite(t, testsite.Options{Daemons: 2, Engines: 1, Services: 2, Engine: smallEngine, RequestsPerSecond: 4})
	responses := sendCalls(t, s, 60)
	is.True(countOutcome(responses, outcome.NotRun) > 0)
	is.True(countOutcome(responses, outcome.Completed) > 0)
	checkNotRun(t, s, responses)
}
