package e2e

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"rattanchute/internal/outcome"
	"rattanchute/internal/standin"
	"rattanchute/internal/testsite"
)

func TestPromiseWholeOwnAnswer(t *testing.T) {
	cases := []struct {
		name   string
		faults standin.Faults
	}{
		{"no fault", standin.Faults{}},
		{"chunks of other streams", standin.Faults{ForeignChunks: true}},
		{"chunks twice", standin.Faults{DuplicateChunks: true}},
		{"streams cut", standin.Faults{CutAfterChunks: 7}},
		{"streams cut, with chunks twice and of others", standin.Faults{CutAfterChunks: 5, ForeignChunks: true, DuplicateChunks: true}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := startSite(t, testsite.Options{Daemons: 3, Engines: 4, DataCentres: 2, Engine: smallEngine})
			for _, name := range []string{"engine-0", "engine-1", "engine-2"} {
				s.Standin.Engine(name).SetFaults(tc.faults)
			}
			jobs := manyJobs(24, 40)
			for i := range jobs[:12] {
				jobs[i].key = testsite.OtherCallerKey
			}
			for _, r := range runAll(s, jobs)() {
				r.check(t)
				r.checkUncut(t)
			}
		})
	}
}

// TestCallerComesBackToAnotherDaemon kills each daemon that a caller reads from.
func TestCallerComesBackToAnotherDaemon(t *testing.T) {
	s := startSite(t, testsite.Options{Daemons: 3, Engines: 3, Engine: longEngine})
	wait := runAll(s, manyJobs(9, 200))
	awaitRunning(t, s, 9)
	for _, d := range s.Daemons[:2] {
		is := is.New(t)
		is.NoErr(d.Kill())
	}
	returns := 0
	for _, r := range wait() {
		r.check(t)
		returns += r.returns
	}
	if returns < 6 {
		t.Errorf("callers came back %d times, want those of two daemons", returns)
	}
}

// TestOneKeyOfTwoOrganisations checks that an Idempotency-Key and a resume token of one
// organisation open nothing of another's.
func TestOneKeyOfTwoOrganisations(t *testing.T) {
	is := is.New(t)
	s := startSite(t, testsite.Options{Daemons: 1, Engines: 1, Services: 1, Engine: smallEngine})
	first := testsite.NewCaller(testsite.CallerKey, s.Daemons[0].Callers)
	second := testsite.NewCaller(testsite.OtherCallerKey, s.Daemons[0].Callers)
	key := testsite.Header{Name: "Idempotency-Key", Value: "one-key"}
	var bodies []string
	for i, caller := range []*testsite.Caller{first, second, first} {
		answer, err := caller.Call(t.Context(), http.MethodPost, "/app/book", fmt.Appendf(nil, "%d", i), key)
		is.NoErr(err)
		is.Equal(answer.Status, http.StatusOK)
		bodies = append(bodies, string(answer.Body))
	}
	is.True(bodies[0] != bodies[1])
	is.Equal(bodies[0], bodies[2])

	body := testsite.ChatBody("a secret prompt", 16, true)
	stream, err := first.Open(t.Context(), body)
	is.NoErr(err)
	is.NoErr(stream.ReadAll())
	stolen, err := second.Resume(t.Context(), body, stream)
	is.NoErr(err)
	is.Equal(stolen.Head.Status, http.StatusForbidden)
	is.Equal(stolen.Head.Outcome, outcome.NotRun)
}

// TestStreamCutOftenGoesOnWhileItAdvances cuts every attempt after a few tokens, more
// often than a request that makes no progress is tried.
func TestStreamCutOftenGoesOnWhileItAdvances(t *testing.T) {
	s := startSite(t, testsite.Options{Daemons: 1, Engines: 4, Engine: smallEngine})
	for i := range 4 {
		s.Standin.Engine(fmt.Sprintf("engine-%d", i)).SetFaults(standin.Faults{CutAfterChunks: 3})
	}
	for _, r := range runAll(s, manyJobs(4, 40))() {
		r.check(t)
		r.checkUncut(t)
	}
}
