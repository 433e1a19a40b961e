package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/ctl/api"
	"rattanchute/internal/fleet"
	"rattanchute/internal/standin"
	"rattanchute/internal/testsite"
)

// maxApplyDelay bounds the time until an accepted configuration is in force on all daemons.
const maxApplyDelay = 17 * time.Second

// maxPutAttempts bounds how often a change is sent with the same id. The operators' tool
// also retries while the platform is unavailable.
const maxPutAttempts = 10

// put sends a configuration that is based on a generation to a daemon. It retries, up to
// maxPutAttempts times in all, while the daemon responds with 503: the platform is
// unavailable, or it is unknown whether the change was accepted.
func put(d *testsite.Daemon, base fleet.Generation, id string, text []byte) (int, []byte, error) {
	for range maxPutAttempts {
		status, body, err := putOnce(d, base, id, text)
		if err != nil || status != http.StatusServiceUnavailable {
			return status, body, err
		}
	}
	return http.StatusServiceUnavailable, nil, nil
}

func putOnce(d *testsite.Daemon, base fleet.Generation, id string, text []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	resp, err := testsite.NewCaller(testsite.OperatorKey, d.Operators).Call(ctx, http.MethodPut,
		api.PathConfiguration, text,
		testsite.Header{Name: api.HeaderIfMatch, Value: fmt.Sprintf("%q", fmt.Sprint(base))},
		testsite.Header{Name: api.HeaderChangeID, Value: id})
	return resp.Status, resp.Body, err
}

// generation returns the generation in force on a daemon, or zero if the daemon does not
// respond.
func generation(d *testsite.Daemon) fleet.Generation {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	resp, err := testsite.NewCaller(testsite.OperatorKey, d.Operators).Call(ctx, http.MethodGet, api.PathStatus, nil)
	var status api.Status
	if err != nil || json.Unmarshal(resp.Body, &status) != nil {
		return 0
	}
	return status.Generation
}

// watcher records the generations in force on a daemon and those that were reverted.
type watcher struct {
	daemon   *testsite.Daemon
	highest  fleet.Generation
	reverted []string
}

func (w *watcher) observe() {
	g := generation(w.daemon)
	if g != 0 && g < w.highest {
		w.reverted = append(w.reverted, fmt.Sprintf("%s: %d after %d", w.daemon.Name, g, w.highest))
	}
	w.highest = max(w.highest, g)
}

// watchAll polls all daemons until stop is called, which returns the reverted generations.
func watchAll(s *testsite.Site) (stop func() []string) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	watchers := make([]*watcher, len(s.Daemons))
	for i, d := range s.Daemons {
		watchers[i] = &watcher{daemon: d}
		wg.Go(func() {
			for {
				watchers[i].observe()
				select {
				case <-done:
					return
				case <-time.After(20 * time.Millisecond):
				}
			}
		})
	}
	return func() []string {
		close(done)
		wg.Wait()
		var reverted []string
		for _, w := range watchers {
			reverted = append(reverted, w.reverted...)
		}
		return reverted
	}
}

// TestConcurrentConfigurationChanges sends concurrent changes to daemons that are separate
// processes. In one round, responses of the platform are lost. In another, the platform goes
// down and a daemon restarts right after a change was accepted. In each round exactly one
// change must be accepted and reach all daemons, and no daemon may revert to an earlier
// generation.
func TestConcurrentConfigurationChanges(t *testing.T) {
	is := is.New(t)
	s := startSite(t, testsite.Options{Daemons: 4, Engines: 1, Engine: smallEngine, DataCentres: 2})
	stop := watchAll(s)
	text := s.Configuration()
	base := fleet.Generation(1)
	for round := range 4 {
		if round == 1 {
			s.Standin.Store.SetFaults(standin.StoreFaults{LoseAnswers: 6})
		}
		accepted := applyConcurrently(t, s, base, round, text)
		is.Equal(accepted, 1) // of the concurrent changes
		base++
		if round == 2 {
			s.Standin.Store.SetFaults(standin.StoreFaults{Outage: true})
			is.NoErr(s.Daemons[3].Kill())
			is.NoErr(s.Daemons[3].Start())
		}
		acceptedAt := time.Now()
		waitUntil(t, "all daemons have the generation", func() bool { return lowestGeneration(s) == base })
		is.True(time.Since(acceptedAt) < maxApplyDelay)
		s.Standin.Store.SetFaults(standin.StoreFaults{})
	}
	is.Equal(stop(), nil) // reverted generations
}

// applyConcurrently sends one change to each daemon at the same time, all with the same
// base. It returns the number of accepted changes.
func applyConcurrently(t *testing.T, s *testsite.Site, base fleet.Generation, round int, text []byte) int {
	var mu sync.Mutex
	var wg sync.WaitGroup
	accepted := 0
	for i, d := range s.Daemons {
		wg.Go(func() {
			mine := fmt.Appendf(nil, "// change %d of round %d\n%s", i, round, text)
			status, body, err := put(d, base, fmt.Sprintf("change-%d-%d", round, i), mine)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || (status != http.StatusOK && status != http.StatusConflict) {
				t.Errorf("round %d, operator %d: status %d %s, %v", round, i, status, body, err)
			}
			if status == http.StatusOK {
				accepted++
			}
		})
	}
	wg.Wait()
	return accepted
}

func lowestGeneration(s *testsite.Site) fleet.Generation {
	low := fleet.Generation(1 << 62)
	for _, d := range s.Daemons {
		low = min(low, generation(d))
	}
	return low
}
