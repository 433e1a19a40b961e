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

// notRunReport is a request whose caller got the outcome "not run", to be checked again at the end
// of the run.
type notRunReport struct {
	attempt, name string
}

var (
	recheckMu    sync.Mutex
	recheckAtEnd map[*environment][]notRunReport
)

// recheckLater records an attempt whose caller got the outcome that it had not run.
func (env *environment) recheckLater(attempt, name string) {
	recheckMu.Lock()
	defer recheckMu.Unlock()
	recheckAtEnd[env] = append(recheckAtEnd[env], notRunReport{attempt, name})
}

func soak(t *testing.T, seed uint64, length time.Duration) {
	fmt.Printf("seed: %d\n", seed)
	recheckAtEnd = map[*environment][]notRunReport{}
	env := newEnvironment(seed)
	invariant.SetHandler(env.report.recordViolation)
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	f := &faultInjector{env: env}
	var callers, injecting sync.WaitGroup
	injecting.Go(func() { f.run(ctx) })
	for i := range workers {
		callers.Go(func() { (&caller{env: env, id: i}).run(ctx) })
	}
	injecting.Wait()
	env.store.SetFaults(standin.StoreFaults{})
	callers.Wait()
	env.settle()
	env.report.finish(t)
}

// settleDelay gives paused daemons time to act on the requests that they still have.
const settleDelay = 500 * time.Millisecond

// settle drains the daemons and checks every "not run" against the ledger once more.
func (env *environment) settle() {
	time.Sleep(settleDelay)
	for _, n := range env.nodeList() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		n.service.StopAccepting()
		err := n.service.Drain(ctx)
		cancel()
		env.report.check(guaranteeGracefulStop, err == nil, "%s does not come to rest", n.writer)
		n.claims.Close()
	}
	recheckMu.Lock()
	defer recheckMu.Unlock()
	for _, l := range recheckAtEnd[env] {
		ran := env.ledger.attemptRuns(l.attempt)
		env.report.check(guaranteeNotRun, ran == 0, "%s told not run, ran %d times", l.name, ran)
	}
}
