package e2e

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/standin"
	"rattanchute/internal/testsite"
)

// longEngine takes 10 ms per token, so that answers of some hundred tokens take seconds. A KV
// transfer takes 5 ms per token of the cache.
var longEngine = standin.EngineConfig{
	Slots:                  16,
	TokenMillis:            10,
	PrefillTokensPerSecond: 20000,
	CacheTokens:            50000,
	BlockTokens:            16,
	KeepMillis:             2000,
	KVBytesPerToken:        1000,
	KVBytesPerSecond:       200_000,
}

func TestPromiseAcceptedWorkSurvivesReclaim(t *testing.T) {
	cases := []struct {
		name    string
		provoke func(t *testing.T, s *testsite.Site)
		// allowReconnects is set if a daemon is killed, so that its callers have to reconnect.
		// Otherwise no caller may have to.
		allowReconnects bool
	}{
		{"host noticed", noticeHost, false},
		{"data centre noticed", noticeDataCentre, false},
		{"import target reclaimed too", noticeTargetToo, false},
		{"engine dies before the deadline", engineDiesEarly, false},
		{"host lost without a notice", engineDies, false},
		{"daemon killed before the move", killDaemon(0), true},
		{"daemon killed while caches are transferred", killDaemon(200 * time.Millisecond), true},
		{"daemon killed after the move", killDaemon(900 * time.Millisecond), true},
		{"data centre noticed, daemon killed, engine dies", severalFaults, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := startSite(t, testsite.Options{
				Daemons: 3, Engines: 6, DataCentres: 3, Engine: longEngine,
				Cloud: standin.CloudConfig{ListLagMillis: 3000},
			})
			jobs := newJobs(24, 300)
			wait := startJobs(s, jobs)
			waitRunning(t, s, len(jobs))
			tc.provoke(t, s)
			for _, r := range wait() {
				r.check(t)
				if !tc.allowReconnects {
					r.checkNoReconnect(t)
				}
			}
		})
	}
}

// testNotice is the notice period in noticeHost and noticeDataCentre.
const testNotice = 1500 * time.Millisecond

func noticeHost(t *testing.T, s *testsite.Site) {
	is := is.New(t)
	_, err := s.Standin.Cloud.Notice("engine-host-0", "", testNotice)
	is.NoErr(err)
}

func noticeDataCentre(t *testing.T, s *testsite.Site) {
	is := is.New(t)
	_, err := s.Standin.Cloud.Notice("", "dc-0", testNotice)
	is.NoErr(err)
}

// noticeTargetToo reclaims further hosts while streams of the first are moving to them.
func noticeTargetToo(t *testing.T, s *testsite.Site) {
	noticeHost(t, s)
	time.Sleep(testNotice / 3)
	is := is.New(t)
	for _, host := range []string{"engine-host-1", "engine-host-2", "engine-host-3"} {
		_, err := s.Standin.Cloud.Notice(host, "", testNotice/3)
		is.NoErr(err)
	}
}

func engineDiesEarly(t *testing.T, s *testsite.Site) {
	noticeHost(t, s)
	time.Sleep(testNotice / 4)
	engineDies(t, s)
}

func engineDies(_ *testing.T, s *testsite.Site) {
	s.Standin.Engine("engine-0").SetFaults(standin.Faults{Die: true})
}

// killDaemon returns a function that sends a notice for a data centre, kills a daemon after
// the given time and starts it again.
func killDaemon(after time.Duration) func(*testing.T, *testsite.Site) {
	return func(t *testing.T, s *testsite.Site) {
		noticeDataCentre(t, s)
		time.Sleep(after)
		is := is.New(t)
		is.NoErr(s.Daemons[1].Kill())
		is.NoErr(s.Daemons[1].Start())
	}
}

// severalFaults starts the killed daemon last: that may take longer than the notice period.
func severalFaults(t *testing.T, s *testsite.Site) {
	is := is.New(t)
	noticeDataCentre(t, s)
	time.Sleep(100 * time.Millisecond)
	is.NoErr(s.Daemons[1].Kill())
	s.Standin.Engine("engine-1").SetFaults(standin.Faults{Die: true})
	noticeDataCentre(t, s)
	is.NoErr(s.Daemons[1].Start())
}

func TestPromiseLeavingGetsNoNewWork(t *testing.T) {
	cases := []struct {
		name    string
		provoke func(t *testing.T, s *testsite.Site)
	}{
		{"list still says live", func(*testing.T, *testsite.Site) {}},
		{"platform outage", func(_ *testing.T, s *testsite.Site) {
			s.Standin.Store.SetFaults(standin.StoreFaults{Outage: true})
		}},
		{"one daemon dead", func(t *testing.T, s *testsite.Site) {
			is := is.New(t)
			is.NoErr(s.Daemons[0].Kill())
		}},
		{"configuration changes", func(t *testing.T, s *testsite.Site) {
			is := is.New(t)
			is.NoErr(s.Apply(append([]byte("// changed\n"), s.Configuration()...)))
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := startSite(t, testsite.Options{
				Daemons: 3, Engines: 3, DataCentres: 3, Engine: smallEngine,
				Cloud: standin.CloudConfig{ListLagMillis: 60_000},
			})
			tc.provoke(t, s)
			checkNoNewWorkOnLeavingHost(t, s)
		})
	}
}

// maxNoticeDelay is how long after the notice an endpoint may still get new work.
const maxNoticeDelay = 4 * time.Second

func checkNoNewWorkOnLeavingHost(t *testing.T, s *testsite.Site) {
	is := is.New(t)
	_, err := s.Standin.Cloud.Notice("engine-host-0", "", time.Minute)
	is.NoErr(err)
	bound := time.Now().Add(maxNoticeDelay)
	for round := 0; time.Now().Before(bound); round++ {
		startJobs(s, newJobs(3, 2))()
	}
	leaving := s.Standin.Engine("engine-0")
	before := len(leaving.Ledger())
	var jobs []streamJob
	for i := range 90 {
		jobs = append(jobs, streamJob{key: testsite.CallerKey, prompt: fmt.Sprintf("late %d", i), tokens: 2})
	}
	for _, r := range startJobs(s, jobs)() {
		r.check(t)
	}
	is.Equal(len(leaving.Ledger()), before) // new work at a leaving endpoint
}
