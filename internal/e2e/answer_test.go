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
			jobs := newJobs(24, 40)
			for i := range jobs[:12] {
				jobs[i].key = testsite.OtherCallerKey
			}
			for _, r := range startJobs(s, jobs)() {
				r.check(t)
				r.checkNoReconnect(t)
			}
		})
	}
}

// TestCallerResumesAtAnotherDaemon kills two of three daemons while callers read streams
// from them. The callers must get their whole answers from the daemons that are left.
func TestCallerResumesAtAnotherDaemon(t *testing.T) {
	s := startSite(t, testsite.Options{Daemons: 3, Engines: 3, Engine: longEngine})
	wait := startJobs(s, newJobs(9, 200))
	waitRunning(t, s, 9)
	for _, d := range s.Daemons[:2] {
		is := is.New(t)
		is.NoErr(d.Kill())
	}
	reconnects := 0
	for _, r := range wait() {
		r.check(t)
		reconnects += r.reconnects
	}
	if reconnects < 6 {
		t.Errorf("callers reconnected %d times, want at least 6, for the streams of two daemons", reconnects)
	}
}

// TestKeysAndTokensAreScopedToOrganisation checks that an Idempotency-Key and a resume token of
// one organisation give no access to the responses of another.
func TestKeysAndTokensAreScopedToOrganisation(t *testing.T) {
	is := is.New(t)
	s := startSite(t, testsite.Options{Daemons: 1, Engines: 1, Services: 1, Engine: smallEngine})
	first := testsite.NewCaller(testsite.CallerKey, s.Daemons[0].Callers)
	second := testsite.NewCaller(testsite.OtherCallerKey, s.Daemons[0].Callers)
	key := testsite.Header{Name: "Idempotency-Key", Value: "one-key"}
	var bodies []string
	for i, caller := range []*testsite.Caller{first, second, first} {
		resp, err := caller.Call(t.Context(), http.MethodPost, "/app/book", fmt.Appendf(nil, "%d", i), key)
		is.NoErr(err)
		is.Equal(resp.Status, http.StatusOK)
		bodies = append(bodies, string(resp.Body))
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

// TestStreamWithProgressSurvivesFrequentCuts cuts every attempt after a few tokens. The
// stream needs more attempts than a request without progress is allowed, but must complete
// because each attempt makes progress.
func TestStreamWithProgressSurvivesFrequentCuts(t *testing.T) {
	s := startSite(t, testsite.Options{Daemons: 1, Engines: 4, Engine: smallEngine})
	for i := range 4 {
		s.Standin.Engine(fmt.Sprintf("engine-%d", i)).SetFaults(standin.Faults{CutAfterChunks: 3})
	}
	for _, r := range startJobs(s, newJobs(4, 40))() {
		r.check(t)
		r.checkNoReconnect(t)
	}
}
