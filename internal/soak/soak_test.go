package soak

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	"rattanchute/internal/invariant"
	"rattanchute/internal/standin"
)

// The flags of a long run.
var (
	soakMinutes = flag.Float64("soak.minutes", 0, "length of TestSoak in minutes; 0 runs the short fixed seeds")
	soakSeed    = flag.Uint64("soak.seed", 0, "seed of TestSoak; 0 takes the time")
)

// shortRun is the length of a run with a fixed seed.
const shortRun = 6 * time.Second

func TestSoak(t *testing.T) {
	if *soakMinutes == 0 {
		for _, seed := range []uint64{1, 2} {
			t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { soak(t, seed, shortRun) })
		}
		return
	}
	seed := *soakSeed
	if seed == 0 {
		seed = uint64(time.Now().UnixNano())
	}
	soak(t, seed, time.Duration(*soakMinutes*float64(time.Minute)))
}

// told is a "not run" to look at again at the end.
type told struct {
	attempt, name string
}

var (
	toldMu sync.Mutex
	later  map[*world][]told
)

// lookLater remembers that an attempt was told not to have run.
func (w *world) lookLater(attempt, name string) {
	toldMu.Lock()
	defer toldMu.Unlock()
	later[w] = append(later[w], told{attempt, name})
}

func soak(t *testing.T, seed uint64, length time.Duration) {
	fmt.Printf("seed: %d\n", seed)
	later = map[*world][]told{}
	w := newWorld(seed)
	invariant.SetHandler(w.report.breach)
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	d := &driver{w: w}
	var callers, driving sync.WaitGroup
	driving.Go(func() { d.run(ctx) })
	for i := range workers {
		callers.Go(func() { (&caller{w: w, id: i}).run(ctx) })
	}
	driving.Wait()
	w.store.SetFaults(standin.StoreFaults{})
	callers.Wait()
	w.settle()
	w.report.finish(t)
}

// settleTime lets daemons that were paused act on whatever they still hold.
const settleTime = 500 * time.Millisecond

// settle ends the daemons and holds every "not run" against the ledger once more.
func (w *world) settle() {
	time.Sleep(settleTime)
	for _, n := range w.nodeList() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		n.service.StopAccepting()
		err := n.service.Drain(ctx)
		cancel()
		w.report.check(promiseStop, err == nil, "%s does not come to rest", n.writer)
		n.claims.Close()
	}
	toldMu.Lock()
	defer toldMu.Unlock()
	for _, l := range later[w] {
		ran := w.ledger.attemptRuns(l.attempt)
		w.report.check(promiseNotRun, ran == 0, "%s told not run, ran %d times", l.name, ran)
	}
}
