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

// forceBound is how long an accepted configuration may take to be in force everywhere.
const forceBound = 17 * time.Second

// putTries is how often a change is offered under the same id, as the operators' tool
// does while the platform does not answer.
const putTries = 10

// put offers a configuration to a daemon, based on a generation, until the daemon knows
// what became of it.
func put(d *testsite.Daemon, base fleet.Generation, id string, text []byte) (int, []byte, error) {
	for range putTries {
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
	a, err := testsite.NewCaller(testsite.OperatorKey, d.Operators).Call(ctx, http.MethodPut, api.PathConfiguration, text,
		testsite.Header{Name: api.HeaderIfMatch, Value: fmt.Sprintf("%q", fmt.Sprint(base))},
		testsite.Header{Name: api.HeaderChangeID, Value: id})
	return a.Status, a.Body, err
}

// generation is the one in force on a daemon; zero if it does not answer.
func generation(d *testsite.Daemon) fleet.Generation {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	a, err := testsite.NewCaller(testsite.OperatorKey, d.Operators).Call(ctx, http.MethodGet, api.PathStatus, nil)
	var status api.Status
	if err != nil || json.Unmarshal(a.Body, &status) != nil {
		return 0
	}
	return status.Generation
}

// watcher notes the generations that a daemon has in force.
type watcher struct {
	daemon   *testsite.Daemon
	highest  fleet.Generation
	reverted []string
}

func (w *watcher) look() {
	g := generation(w.daemon)
	if g != 0 && g < w.highest {
		w.reverted = append(w.reverted, fmt.Sprintf("%s: %d after %d", w.daemon.Name, g, w.highest))
	}
	w.highest = max(w.highest, g)
}

// watchAll looks at all daemons until stopped.
func watchAll(s *testsite.Site) (stop func() []string) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	watchers := make([]*watcher, len(s.Daemons))
	for i, d := range s.Daemons {
		watchers[i] = &watcher{daemon: d}
		wg.Go(func() {
			for {
				watchers[i].look()
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

// TestConfigurationOverProcesses lets operators race one another while daemons restart,
// the platform is down and its answers are lost.
func TestConfigurationOverProcesses(t *testing.T) {
	is := is.New(t)
	s := startSite(t, testsite.Options{Daemons: 4, Engines: 1, Engine: smallEngine, DataCentres: 2})
	stop := watchAll(s)
	text := s.Configuration()
	base := fleet.Generation(1)
	for round := range 4 {
		if round == 1 {
			s.Standin.Store.SetFaults(standin.StoreFaults{LoseAnswers: 6})
		}
		accepted := race(t, s, base, round, text)
		is.Equal(accepted, 1) // of the racing changes
		base++
		if round == 2 {
			s.Standin.Store.SetFaults(standin.StoreFaults{Outage: true})
			is.NoErr(s.Daemons[3].Kill())
			is.NoErr(s.Daemons[3].Start())
		}
		acceptedAt := time.Now()
		await(t, "all daemons have the generation", func() bool { return lowest(s) == base })
		is.True(time.Since(acceptedAt) < forceBound)
		s.Standin.Store.SetFaults(standin.StoreFaults{})
	}
	is.Equal(stop(), nil) // reverted
}

// race offers as many changes as there are daemons, all with the same base.
func race(t *testing.T, s *testsite.Site, base fleet.Generation, round int, text []byte) int {
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

func lowest(s *testsite.Site) fleet.Generation {
	low := fleet.Generation(1 << 62)
	for _, d := range s.Daemons {
		low = min(low, generation(d))
	}
	return low
}
