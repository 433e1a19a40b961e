package ratelimit

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"rattanchute/internal/fleet"
)

const (
	testLimit = 40.0
	testBurst = 20
)

var testStart = time.Unix(1_700_000_000, 0)

func testConfiguration() *fleet.Configuration {
	return &fleet.Configuration{
		Organisations: []fleet.Organisation{
			{Name: "large", Weight: 1}, {Name: "small", Weight: 1},
			{Name: "limited", RequestsPerSecond: testLimit, Burst: testBurst},
		},
		Fleets:    []fleet.Fleet{{Name: "llm", SlotsPerEndpoint: 16}},
		Endpoints: []fleet.Endpoint{{Name: "e1", Fleet: "llm"}, {Name: "e2", Fleet: "llm"}},
	}
}

func newTestLimiter(name string, members int) *Limiter {
	l := NewLimiter(name)
	l.SetMembers(testStart, members)
	l.SetConfiguration(testStart, testConfiguration())
	return l
}

// TestRetryBudget checks that the retries of each organisation and of each endpoint never exceed
// the sum of the initial tokens, the ratio of first attempts and the minimum rate.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newTestLimiter("a", 1)
		now := testStart
		attempts, retries := make(map[string]int), make(map[string]int)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			organisation := rapid.SampledFrom([]string{"large", "small", "limited"}).Draw(t, "organisation")
			endpoint := rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "endpoint")
			counts := retries
			if rapid.Bool().Draw(t, "first") {
				l.RecordAttempt(now, organisation, endpoint)
				counts = attempts
			} else if !l.AllowRetry(now, organisation, endpoint) {
				continue
			}
			counts[organisation]++
			counts[endpoint]++
			for _, name := range []string{organisation, endpoint} {
				bound := initialRetryTokens + retryRatio*float64(attempts[name]) + minRetriesPerSecond*now.Sub(testStart).Seconds()
				if float64(retries[name]) > bound+1e-6 {
					t.Fatalf("%s: %d retries of %d attempts", name, retries[name], attempts[name])
				}
			}
		}
	})
}

// TestConcurrentUse runs requests concurrently with changes of the configuration and of the
// membership. At the end no request may be counted as in flight.
func TestConcurrentUse(t *testing.T) {
	is := is.New(t)
	l := newTestLimiter("a", 1)
	var group sync.WaitGroup
	for worker := range 8 {
		group.Go(func() {
			for i := range 500 {
				now := testStart.Add(time.Duration(i) * time.Millisecond)
				if l.Admit(now, Request{Organisation: "large", Fleet: "llm", Priority: worker}).Admitted {
					l.RecordAttempt(now, "large", "e1")
					l.AllowRetry(now, "large", "e1")
					l.Done(now, Completion{Organisation: "large", Fleet: "llm"})
				}
				l.ApplyGrants(now, l.GrantShares(now, l.ShareRequests(now)))
				if i%100 == worker {
					l.SetMembers(now, worker+1)
					l.SetConfiguration(now, testConfiguration())
				}
			}
		})
	}
	group.Wait()
	is.Equal(l.state.Load().fleets["llm"].inFlight, 0)
}

// BenchmarkAdmit reports allocations; the target is none.
func BenchmarkAdmit(b *testing.B) {
	l := newTestLimiter("a", 1)
	now := testStart
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(50 * time.Millisecond)
		if !l.Admit(now, Request{Organisation: "limited", Fleet: "llm", Priority: 5}).Admitted {
			b.Fatal("not admitted")
		}
		l.RecordAttempt(now, "limited", "endpoint")
		l.Done(now, Completion{Organisation: "limited", Fleet: "llm"})
	}
}
