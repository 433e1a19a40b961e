package e2e

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/standin"
	"rattanchute/internal/testsite"
)

// longEngine makes answers that last seconds, with KV transfers that take a while.
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
		// cut: a daemon dies, so that its callers have to come back. Otherwise no
		// caller notices anything.
		cut bool
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
			jobs := manyJobs(24, 300)
			wait := runAll(s, jobs)
			awaitRunning(t, s, len(jobs))
			tc.provoke(t, s)
			for _, r := range wait() {
				r.check(t)
				if !tc.cut {
					r.checkUncut(t)
				}
			}
		})
	}
}

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

// noticeTargetToo takes a second host while streams of the first are moving to it.
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

// killDaemon kills a daemon some time after a data centre was noticed, and starts it
// again.
func killDaemon(after time.Duration) func(*testing.T, *testsite.Site) {
	return func(t *testing.T, s *testsite.Site) {
		noticeDataCentre(t, s)
		time.Sleep(after)
		is := is.New(t)
		is.NoErr(s.Daemons[1].Kill())
		is.NoErr(s.Daemons[1].Start())
	}
}

func severalFaults(t *testing.T, s *testsite.Site) {
	killDaemon(100*time.Millisecond)(t, s)
	s.Standin.Engine("engine-1").SetFaults(standin.Faults{Die: true})
	noticeDataCentre(t, s)
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
			leavingGetsNone(t, s)
		})
	}
}

// leavingBound is how long after a notice an endpoint may still get new work.
const leavingBound = 4 * time.Second

func leavingGetsNone(t *testing.T, s *testsite.Site) {
	is := is.New(t)
	_, err := s.Standin.Cloud.Notice("engine-host-0", "", time.Minute)
	is.NoErr(err)
	bound := time.Now().Add(leavingBound)
	for round := 0; time.Now().Before(bound); round++ {
		runAll(s, manyJobs(3, 2))()
	}
	leaving := s.Standin.Engine("engine-0")
	before := len(leaving.Ledger())
	var jobs []streamJob
	for i := range 90 {
		jobs = append(jobs, streamJob{key: testsite.CallerKey, prompt: fmt.Sprintf("late %d", i), tokens: 2})
	}
	for _, r := range runAll(s, jobs)() {
		r.check(t)
	}
	is.Equal(len(leaving.Ledger()), before) // new work at a leaving endpoint
}
