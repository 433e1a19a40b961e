package e2e

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/outcome"
	"rattanchute/internal/standin"
	"rattanchute/internal/testsite"
)

// booking holds all responses to one non-idempotent call.
type booking struct {
	key       string
	responses []testsite.Response
}

// book calls /app/book with a key at a daemon. It returns false if there was no response.
func book(s *testsite.Site, daemon int, key string) (testsite.Response, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	caller := testsite.NewCaller(testsite.CallerKey, s.Daemons[daemon].Callers)
	resp, err := caller.Call(ctx, http.MethodPost, "/app/book", []byte(key),
		testsite.Header{Name: "Idempotency-Key", Value: key})
	return resp, err == nil
}

// bookEverywhere sends the call of each key as often as attempts says, all at the same time, to
// the daemons in turn.
func bookEverywhere(s *testsite.Site, keys, attempts int) []*booking {
	var mu sync.Mutex
	var wg sync.WaitGroup
	bookings := make([]*booking, keys)
	for k := range bookings {
		b := &booking{key: fmt.Sprintf("key-%d", k)}
		bookings[k] = b
		for attempt := range attempts {
			wg.Go(func() {
				resp, ok := book(s, (k+attempt)%len(s.Daemons), b.key)
				mu.Lock()
				defer mu.Unlock()
				if ok {
					b.responses = append(b.responses, resp)
				}
			})
		}
	}
	wg.Wait()
	return bookings
}

// runs returns how often the call of each key ran, according to the services' ledgers.
func runs(s *testsite.Site) map[string]int {
	sum := map[string]int{}
	for i := 0; ; i++ {
		service := s.Standin.Service(fmt.Sprintf("service-%d", i))
		if service == nil {
			return sum
		}
		for key, n := range service.Ledger().Keys {
			sum[key] += n
		}
	}
}

// checkOnce checks that no key's call ran more than once and that the responses agree with
// the services' ledgers.
func checkOnce(t *testing.T, s *testsite.Site, bookings []*booking) {
	t.Helper()
	ran := runs(s)
	for _, b := range bookings {
		if ran[b.key] > 1 {
			t.Errorf("%s ran %d times", b.key, ran[b.key])
		}
		b.check(t, ran[b.key])
	}
}

func (b *booking) check(t *testing.T, ran int) {
	t.Helper()
	var body []byte
	for _, resp := range b.responses {
		if resp.Outcome == outcome.Completed && ran == 0 {
			t.Errorf("%s: outcome is completed, but the call never ran", b.key)
		}
		if resp.Outcome == outcome.Completed && body != nil && !bytes.Equal(resp.Body, body) {
			t.Errorf("%s: two different responses: %s and %s", b.key, resp.Body, body)
		}
		if resp.Outcome == outcome.Completed {
			body = resp.Body
		}
	}
	if ran > 0 && len(b.responses) > 0 && allNotRun(b.responses) {
		t.Errorf("%s: the call ran, but all outcomes are not run", b.key)
	}
}

func allNotRun(responses []testsite.Response) bool {
	for _, resp := range responses {
		if resp.Outcome != outcome.NotRun {
			return false
		}
	}
	return true
}

func TestPromiseAtMostOnce(t *testing.T) {
	cases := []struct {
		name    string
		provoke func(t *testing.T, s *testsite.Site)
	}{
		{"several daemons at once", func(*testing.T, *testsite.Site) {}},
		{"answers of the service lost", func(_ *testing.T, s *testsite.Site) {
			s.Standin.Service("service-0").SetFaults(standin.Faults{CutAfterRun: true})
		}},
		{"answers of the store lost", func(_ *testing.T, s *testsite.Site) {
			s.Standin.Store.SetFaults(standin.StoreFaults{LoseAnswers: 10})
		}},
		{"platform outage", func(_ *testing.T, s *testsite.Site) {
			s.Standin.Store.SetFaults(standin.StoreFaults{Outage: true})
		}},
		{"slow platform, daemon killed", func(t *testing.T, s *testsite.Site) {
			s.Standin.Store.SetFaults(standin.StoreFaults{DelayMillis: 50})
			time.AfterFunc(120*time.Millisecond, func() { _ = s.Daemons[0].Kill() })
		}},
		{"slow platform, daemon paused", func(t *testing.T, s *testsite.Site) {
			s.Standin.Store.SetFaults(standin.StoreFaults{DelayMillis: 50})
			time.AfterFunc(120*time.Millisecond, func() { _ = s.Daemons[0].Signal(syscall.SIGSTOP) })
			time.AfterFunc(4*time.Second, func() { _ = s.Daemons[0].Signal(syscall.SIGCONT) })
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := startSite(t, testsite.Options{Daemons: 3, Engines: 1, Services: 2, Engine: smallEngine, ServiceDelayMillis: 30})
			tc.provoke(t, s)
			bookings := bookEverywhere(s, 12, 5)
			s.Standin.Store.SetFaults(standin.StoreFaults{})
			s.Standin.Service("service-0").SetFaults(standin.Faults{})
			checkOnce(t, s, bookings)
			again := bookEverywhere(s, 12, 2)
			checkOnce(t, s, again)
		})
	}
}

// TestNonIdempotentCallWithoutKeyIsSentOnce cuts the connection after the call has run. The
// call must not be sent again.
func TestNonIdempotentCallWithoutKeyIsSentOnce(t *testing.T) {
	is := is.New(t)
	s := startSite(t, testsite.Options{Daemons: 1, Engines: 1, Services: 2, Engine: smallEngine})
	total := 0
	for _, name := range []string{"service-0", "service-1"} {
		s.Standin.Service(name).SetFaults(standin.Faults{CutAfterRun: true})
	}
	caller := testsite.NewCaller(testsite.CallerKey, s.Daemons[0].Callers)
	resp, err := caller.Call(t.Context(), http.MethodPost, "/app/book", []byte("x"))
	is.NoErr(err)
	is.Equal(resp.Outcome, outcome.Unknown)
	for _, name := range []string{"service-0", "service-1"} {
		total += s.Standin.Service(name).Ledger().Runs
	}
	is.Equal(total, 1)
}
