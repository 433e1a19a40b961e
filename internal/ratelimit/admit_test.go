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

func testAdmitter(name string, members int) *Limiter {
	a := NewLimiter(name)
	a.SetMembers(testStart, members)
	a.SetConfiguration(testStart, testConfiguration())
	return a
}

// TestRetryBudget: for each organisation and each endpoint, retries stay within their
// share of first attempts and the floor.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := testAdmitter("a", 1)
		now := testStart
		attempts, retries := make(map[string]int), make(map[string]int)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			organisation := rapid.SampledFrom([]string{"large", "small", "limited"}).Draw(t, "organisation")
			endpoint := rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "endpoint")
			counts := retries
			if rapid.Bool().Draw(t, "first") {
				a.RecordAttempt(now, organisation, endpoint)
				counts = attempts
			} else if !a.AllowRetry(now, organisation, endpoint) {
				continue
			}
			counts[organisation]++
			counts[endpoint]++
			for _, name := range []string{organisation, endpoint} {
				bound := retryStart + retryShare*float64(attempts[name]) + retryFloor*now.Sub(testStart).Seconds()
				if float64(retries[name]) > bound+1e-6 {
					t.Fatalf("%s: %d retries of %d attempts", name, retries[name], attempts[name])
				}
			}
		}
	})
}

// TestConcurrentUse: configuration, members and requests meet; what was admitted is given
// back in full.
func TestConcurrentUse(t *testing.T) {
	is := is.New(t)
	a := testAdmitter("a", 1)
	var group sync.WaitGroup
	for worker := range 8 {
		group.Go(func() {
			for i := range 500 {
				now := testStart.Add(time.Duration(i) * time.Millisecond)
				if a.Admit(now, Request{Organisation: "large", Fleet: "llm", Priority: worker}).Admitted {
					a.RecordAttempt(now, "large", "e1")
					a.AllowRetry(now, "large", "e1")
					a.Done(now, Completion{Organisation: "large", Fleet: "llm"})
				}
				a.ApplyGrants(now, a.GrantShares(now, a.ShareRequests(now)))
				if i%100 == worker {
					a.SetMembers(now, worker+1)
					a.SetConfiguration(now, testConfiguration())
				}
			}
		})
	}
	group.Wait()
	is.Equal(a.state.Load().fleets["llm"].inFlight, 0)
}

// BenchmarkAdmit has the target of no allocation.
func BenchmarkAdmit(b *testing.B) {
	a := testAdmitter("a", 1)
	now := testStart
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(50 * time.Millisecond)
		if !a.Admit(now, Request{Organisation: "limited", Fleet: "llm", Priority: 5}).Admitted {
			b.Fatal("not admitted")
		}
		a.RecordAttempt(now, "limited", "endpoint")
		a.Done(now, Completion{Organisation: "limited", Fleet: "llm"})
	}
}
