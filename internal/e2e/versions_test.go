package e2e

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/standin"
	"rattanchute/internal/testsite"
)

// TestChatResumesOnlyAtItsVersion has engines of two versions, of which none checks which version
// began a stream.
func TestChatResumesOnlyAtItsVersion(t *testing.T) {
	versions := []string{"v1", "v1", "v2"}
	cases := []struct {
		name    string
		provoke func(t *testing.T, s *testsite.Site)
	}{
		{"streams cut", cutStreams},
		{"host noticed", noticeHost},
		{"daemon killed", func(t *testing.T, s *testsite.Site) { is.New(t).NoErr(s.Daemons[0].Kill()) }},
		{"all daemons killed", killAllDaemons},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := startSite(t, testsite.Options{Daemons: 3, Engines: 6, Engine: longEngine, EngineVersions: versions})
			jobs := newJobs(24, 300)
			wait := startJobs(s, jobs)
			waitRunning(t, s, len(jobs))
			tc.provoke(t, s)
			for _, r := range wait() {
				r.check(t)
			}
			checkVersions(t, s, versions)
		})
	}
}

// killAllDaemons ends all daemons at once without a shutdown, and starts new ones, which have heard of no stream.
func killAllDaemons(t *testing.T, s *testsite.Site) {
	is := is.New(t)
	for _, d := range s.Daemons {
		is.NoErr(d.Kill())
	}
	for _, d := range s.Daemons {
		is.NoErr(d.Start())
	}
	is.NoErr(s.WaitReady(20 * time.Second))
}

// cutStreams has all engines cut each stream that begins from now on after some chunks, and one engine die.
func cutStreams(_ *testing.T, s *testsite.Site) {
	for i := range 6 {
		s.Standin.Engine(fmt.Sprint("engine-", i)).SetFaults(standin.Faults{CutAfterChunks: 60})
	}
	s.Standin.Engine("engine-0").SetFaults(standin.Faults{Die: true})
}

// checkVersions checks that each request has tokens of engines of one version only.
func checkVersions(t *testing.T, s *testsite.Site, versions []string) {
	t.Helper()
	began := map[string]string{}
	mixed := map[string]bool{}
	for i := 0; ; i++ {
		e := s.Standin.Engine(fmt.Sprint("engine-", i))
		if e == nil {
			break
		}
		version := versions[i%len(versions)]
		for id, entry := range e.Ledger() {
			request, _, _ := strings.Cut(string(id), ".")
			if !entry.Computed {
				continue
			}
			if known, found := began[request]; found && known != version {
				mixed[request] = true
			}
			began[request] = version
		}
	}
	if len(mixed) > 0 {
		t.Errorf("%d of %d requests have tokens of two versions", len(mixed), len(began))
	}
}
