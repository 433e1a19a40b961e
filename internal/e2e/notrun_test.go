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
		// told is an outcome that must have been given at least once.
		told outcome.Outcome
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
			answers := callOften(t, s, 40)
			is.True(countOutcome(answers, tc.told) > 0)
			checkNotRun(t, s, answers)
		})
	}
}

// callOften sends non-idempotent calls without keys, each with its own request id.
func callOften(t *testing.T, s *testsite.Site, n int) []testsite.Answer {
	answers := make([]testsite.Answer, n)
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

func countOutcome(answers []testsite.Answer, o outcome.Outcome) int {
	n := 0
	for _, a := range answers {
		if a.Outcome == o {
			n++
		}
	}
	return n
}

// checkNotRun holds each "not run" against the services' own ledgers.
func checkNotRun(t *testing.T, s *testsite.Site, answers []testsite.Answer) {
	t.Helper()
	ran := map[string]int{}
	for _, name := range []string{"service-0", "service-1"} {
		for id, n := range s.Standin.Service(name).Ledger().Attempts {
			ran[id] += n
		}
	}
	for _, a := range answers {
		if a.Outcome == outcome.NotRun && ran[a.RequestID] > 0 {
			t.Errorf("%s: told not run, ran", a.RequestID)
		}
		if a.Outcome == outcome.NotRun && a.RetryAfter == "" {
			t.Errorf("%s: given up without a time to come back", a.RequestID)
		}
	}
}

// TestShedRequestsAreNotRun offers more than an organisation's limit.
func TestShedRequestsAreNotRun(t *testing.T) {
	is := is.New(t)
	s := startSite(t, testsite.Options{Daemons: 2, Engines: 1, Services: 2, Engine: smallEngine, RequestsPerSecond: 4})
	answers := callOften(t, s, 60)
	is.True(countOutcome(answers, outcome.NotRun) > 0)
	is.True(countOutcome(answers, outcome.Completed) > 0)
	checkNotRun(t, s, answers)
}
