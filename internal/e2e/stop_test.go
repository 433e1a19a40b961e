package e2e

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/outcome"
	"rattanchute/internal/standin"
	"rattanchute/internal/testsite"
)

func TestPromiseGracefulStop(t *testing.T) {
	cases := []struct {
		name    string
		jobs    []streamJob
		provoke func(t *testing.T, s *testsite.Site)
	}{
		{"under load", newJobs(30, 40), func(*testing.T, *testsite.Site) {}},
		{"long streams, stopped twice", newJobs(12, 400), stopAgain},
		{"slow caller", slowJobs(6, 60), func(*testing.T, *testsite.Site) {}},
		{"during a reclaim", newJobs(18, 300), noticeDataCentre},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := startSite(t, testsite.Options{
				Daemons: 3, Engines: 6, DataCentres: 3, Engine: smallEngine,
			})
			wait := startJobs(s, tc.jobs)
			waitRunning(t, s, len(tc.jobs))
			stopDaemon(t, s)
			tc.provoke(t, s)
			for _, r := range wait() {
				r.check(t)
				r.checkNoReconnect(t)
			}
			code, err := s.Daemons[0].Wait(waitTimeout)
			is := is.New(t)
			is.NoErr(err)
			is.Equal(code, 0)
		})
	}
}

func slowJobs(n, tokens int) []streamJob {
	jobs := newJobs(n, tokens)
	for i := range jobs {
		jobs[i].pause = 30 * time.Millisecond
	}
	return jobs
}

func stopDaemon(t *testing.T, s *testsite.Site) {
	is := is.New(t)
	is.NoErr(s.Daemons[0].Signal(syscall.SIGTERM))
}

func stopAgain(t *testing.T, s *testsite.Site) {
	time.Sleep(100 * time.Millisecond)
	stopDaemon(t, s)
}

// TestStoppingDaemonRefusesWithNotRun checks that a stopping daemon refuses new requests with
// the outcome not-run and Retry-After, while it completes the stream that is still open.
func TestStoppingDaemonRefusesWithNotRun(t *testing.T) {
	is := is.New(t)
	s := startSite(t, testsite.Options{Daemons: 1, Engines: 1, Engine: longEngine})
	wait := startJobs(s, newJobs(1, 300))
	waitRunning(t, s, 1)
	caller := testsite.NewCaller(testsite.CallerKey, s.Daemons[0].Callers)
	stopDaemon(t, s)
	var resp testsite.Response
	waitUntil(t, "new requests are refused", func() bool {
		var err error
		resp, err = caller.Call(t.Context(), "POST", "/v1/chat/completions", testsite.ChatBody("x", 1, false))
		is.NoErr(err)
		return resp.Status != 200
	})
	is.Equal(resp.Status, 503)
	is.Equal(string(resp.Outcome), "not-run")
	is.True(resp.RetryAfter != "")
	for _, r := range wait() {
		r.check(t)
	}
}

// TestStreamOpenAfterGracePeriodGetsResumeToken checks that a stream that is still open at
// the end of the grace period is ended with a token that resumes it at another daemon.
func TestStreamOpenAfterGracePeriodGetsResumeToken(t *testing.T) {
	is := is.New(t)
	s := startSite(t, testsite.Options{
		Daemons: 2, Engines: 2, ShutdownGrace: "100ms",
		Engine: standin.EngineConfig{Slots: 4, TokenMillis: 10, CacheTokens: 1000, BlockTokens: 16, KeepMillis: 500},
	})
	wait := startJobs(s, newJobs(2, 400))
	waitRunning(t, s, 2)
	stopDaemon(t, s)
	results := wait()
	for _, r := range results {
		r.check(t)
	}
	is.True(results[0].reconnects+results[1].reconnects > 0) // no stream was ended early
}

// TestCallOpenAfterGracePeriodIsAnswered guards against a call that may run once and is cut off without an answer when
// the daemon ends.
func TestCallOpenAfterGracePeriodIsAnswered(t *testing.T) {
	is := is.New(t)
	s := startSite(t, testsite.Options{Daemons: 1, Engines: 1, Engine: smallEngine, Services: 1, ServiceDelayMillis: 20_000, ShutdownGrace: "100ms"})
	answered := make(chan error, 1)
	var resp testsite.Response
	go func() {
		var err error
		caller := testsite.NewCaller(testsite.CallerKey, s.Daemons[0].Callers)
		resp, err = caller.Call(t.Context(), http.MethodPost, "/app/book", []byte("one"))
		answered <- err
	}()
	waitUntil(t, "the call runs", func() bool { return s.Standin.Service("service-0").Ledger().Runs == 1 })
	stopDaemon(t, s)
	is.NoErr(<-answered)
	is.Equal(resp.Status, http.StatusBadGateway)
	is.Equal(resp.Outcome, outcome.Unknown)
	code, err := s.Daemons[0].Wait(waitTimeout)
	is.NoErr(err)
	is.Equal(code, 1) // the call did not end within the grace period
}
