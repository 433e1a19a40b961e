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
			answers := sendCalls(t, s, 40)
			is.True(countOutcome(answers, tc.want) > 0)
			checkNotRun(t, s, answers)
		})
	}
}

// sendCalls sends n non-idempotent calls without Idempotency-Key concurrently.
func sendCalls(t *testing.T, s *testsite.Site, n int) []testsite.Response {
	answers := make([]testsite.Response, n)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() {
			caller := testsite.NewCaller(testsite.CallerKey, s.Daemons[i%len(s.Daemons)].Callers)
			a, err := caller.Call(context.Background(), http.MethodPost, "/app/book", fmt.Appendf(nil, "%d", i))
			if err != nil {
				t.Error(err)
			}
			answers[i] = a
		})
	}
	wg.Wait()
	return answers
}

func countOutcome(answers []testsite.Response, o outcome.Outcome) int {
	n := 0
	for _, a := range answers {
		if a.Outcome == o {
			n++
		}
	}
	return n
}

// checkNotRun compares each "not run" outcome with the services' ledgers.
func checkNotRun(t *testing.T, s *testsite.Site, answers []testsite.Response) {
	t.Helper()
	ran := map[string]int{}
	for _, name := range []string{"service-0", "service-1"} {
		for id, n := range s.Standin.Service(name).Ledger().Attempts {
			ran[id] += n
		}
	}
	for _, a := range answers {
		if a.Outcome == outcome.NotRun && ran[a.RequestID] > 0 {
			t.Errorf("%s: outcome is not run, but the call ran", a.RequestID)
		}
		if a.Outcome == outcome.NotRun && a.RetryAfter == "" {
			t.Errorf("%s: refused without Retry-After", a.RequestID)
		}
	}
}

// TestRateLimitedRequestsAreNotRun sends more requests than the limit of an organisation.
func TestRateLimitedRequestsAreNotRun(t *testing.T) {
	is := is.New(t)
	s := startSite(t, testsite.Options{Daemons: 2, Engines: 1, Services: 2, Engine: smallEngine, RequestsPerSecond: 4})
	answers := sendCalls(t, s, 60)
	is.True(countOutcome(answers, outcome.NotRun) > 0)
	is.True(countOutcome(answers, outcome.Completed) > 0)
	checkNotRun(t, s, answers)
}
