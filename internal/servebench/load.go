package servebench

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// arrivals is a Poisson process.
type arrivals struct {
	random *rand.Rand
	rate   float64
	at     time.Duration
}

func newArrivals(seed uint64, rate float64) *arrivals {
	return &arrivals{random: rand.New(rand.NewPCG(seed, 0)), rate: rate}
}

// next is when the next request is due, from the start.
func (a *arrivals) next() time.Duration {
	a.at += time.Duration(a.random.ExpFloat64() / a.rate * float64(time.Second))
	return a.at
}

// load is what is offered to one arm.
type load struct {
	rate   float64
	seed   uint64
	length time.Duration
	wish   wish
}

// offer sends requests when they are due, whatever became of the earlier ones, and
// returns once all have ended.
func (l load) offer(ctx context.Context, a *arm, start time.Time, onResult func(result), onToken func(now, last time.Time)) {
	var running sync.WaitGroup
	clock := newArrivals(l.seed, l.rate)
	for due := clock.next(); due < l.length; due = clock.next() {
		w := l.wish
		w.intended = start.Add(due)
		time.Sleep(time.Until(w.intended))
		running.Go(func() { onResult(a.run(ctx, w, onToken)) })
	}
	running.Wait()
}

func noToken(time.Time, time.Time) {}
