package costbench

import (
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"rattanchute/internal/capacity"
	"rattanchute/internal/fleet"
)

const (
	testWarmUp = 6 * time.Minute
	testLength = 15 * time.Minute
)

// siteWithManyReclaims returns a site that loses a host every few minutes.
func siteWithManyReclaims() Site {
	s := agroprecios()
	s.hostsPerKind = 4
	s.day = reclaimDay
	s.day.singleReclaims = 500
	return s
}

func TestRunRepeatsAndAnswersAll(t *testing.T) {
	is := is.New(t)
	first := run(siteWithManyReclaims(), Production, 1, testWarmUp, testLength)
	again := run(siteWithManyReclaims(), Production, 1, testWarmUp, testLength)
	is.Equal(first.Cost, again.Cost)
	is.Equal(first.recomputed, again.recomputed)
	is.True(reflect.DeepEqual(first.windows, again.windows))
	is.True(first.requests > 1000)
	is.True(first.moved > 0) // a reclaimed host had streams
	is.Equal(first.cut, 0)   // all were moved in time
	other := run(siteWithManyReclaims(), Restart, 1, testWarmUp, testLength)
	is.Equal(other.requests, first.requests) // the same arrivals regardless of the policy
	is.Equal(other.moved, 0)
}

func TestMinutesWithoutReclaimsRecomputeNothing(t *testing.T) {
	is := is.New(t)
	s := siteWithManyReclaims()
	s.day.reclaimWaves, s.day.singleReclaims = 0, 0
	r := run(s, Production, 1, testWarmUp, testLength/2)
	is.Equal(r.recomputed, 0.0)
	is.True(r.Cost > 0)
}

func TestEngineComputesWhatWasNotTransferred(t *testing.T) {
	is := is.New(t)
	c := &clock{now: epoch}
	first := map[*request]time.Duration{}
	e := newEngine(c, largeClass, func(r *request) { first[r] = c.now.Sub(epoch) })
	done := 0
	r := &request{prompt: 1600, output: 10}
	e.submit(r, func() { done++ })
	moved := &request{prompt: 1600, output: 20, generated: 10, transferred: true}
	e.submit(moved, func() { done++ })
	c.runUntil(epoch.Add(150 * time.Millisecond))
	is.Equal(first[r], 100*time.Millisecond)     // 1,600 tokens at 16,000 a second
	is.Equal(first[moved], 100*time.Millisecond) // nothing more to compute
	computed := moved.attempt.leave()
	is.True(computed > 1610) // the prompt, the transferred tokens and the new ones
	c.runUntil(epoch.Add(time.Minute))
	is.Equal(done, 1) // the other one has left
	is.Equal(e.running, 0)
}

func TestEngineQueuesBeyondItsSlots(t *testing.T) {
	is := is.New(t)
	c := &clock{now: epoch}
	e := newEngine(c, largeClass, func(*request) {})
	for range largeClass.Slots + 3 {
		e.submit(&request{prompt: 1, output: 100}, func() {})
	}
	is.Equal(e.load().Running, largeClass.Slots)
	is.Equal(e.load().Queued, 3)
	c.runUntil(epoch.Add(time.Minute))
	is.Equal(e.load().Running+e.load().Queued, 0)
}

func TestCloudBillsFromStartToStop(t *testing.T) {
	is := is.New(t)
	s := agroprecios()
	c := &clock{now: epoch}
	f := newCloud(c, nil, &s)
	f.newEngine = func() *fakeEngine { return newEngine(c, s.class, func(*request) {}) }
	f.onChange = func(*machine, fleet.Phase) {}
	m := f.byName["quito-norte-r00"]
	is.True(f.start(m))
	c.runUntil(epoch.Add(f.settings.BootTime + time.Second))
	is.Equal(m.phase, capacity.PhaseWaiting)
	f.load(m)
	c.runUntil(epoch.Add(time.Hour))
	is.Equal(m.phase, capacity.PhaseReady)
	is.Equal(f.total(), 1240.0)
	f.reclaimWave("quito-norte", 30*time.Second, time.Hour)
	is.Equal(m.phase, capacity.PhaseLeaving)
	c.runUntil(epoch.Add(2 * time.Hour))
	is.Equal(m.phase, capacity.PhaseStopped)
	is.True(f.total() > 1240 && f.total() < 1260) // billed until it was reclaimed
	f.refuse("quito-norte", time.Hour)
	is.True(!f.start(m))
	is.True(f.start(f.byName["quito-norte-d00"])) // on demand
}
