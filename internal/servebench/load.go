package servebench

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// arrivals is a Poisson process.
type arrivals struct {
	random  *rand.Rand
	rate    float64
	elapsed time.Duration
}

func newArrivals(seed uint64, rate float64) *arrivals {
	return &arrivals{random: rand.New(rand.NewPCG(seed, 0)), rate: rate}
}

// next returns the time of the next request, relative to the start.
func (a *arrivals) next() time.Duration {
	a.elapsed += time.Duration(a.random.ExpFloat64() / a.rate * float64(time.Second))
	return a.elapsed
}

// load describes requests that arrive at an average rate for a duration. Every variant that it is
// offered to gets the same schedule, which depends only on the seed, the rate and the duration.
type load struct {
	rate        float64
	seed        uint64
	duration    time.Duration
	requestSpec requestSpec
}

// offer sends each request at its scheduled time, regardless of the progress of earlier requests,
// and returns once all have ended.
func (l load) offer(ctx context.Context, v *variant, start time.Time, onResult func(result), onToken func(now, last time.Time)) {
	var running sync.WaitGroup
	process := newArrivals(l.seed, l.rate)
	for due := process.next(); due < l.duration; due = process.next() {
		spec := l.requestSpec
		spec.intended = start.Add(due)
		time.Sleep(time.Until(spec.intended))
		running.Go(func() { onResult(v.run(ctx, spec, onToken)) })
	}
	running.Wait()
}

func ignoreToken(time.Time, time.Time) {}
