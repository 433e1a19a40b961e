package speed

import (
	"math/rand/v2"
	"time"
)

const (
	// maxWeight bounds the weight of an endpoint relative to the mean of its fleet, so that one that is faster than
	// all others is not sent what all hosts have.
	maxWeight = 1.5
	// weightsMaxAge is how long the mean is used before it is worked out again, which looks at all endpoints.
	weightsMaxAge = 50 * time.Millisecond
	// drawsPerPick bounds the draws for one pick: a slow endpoint may be drawn many times.
	drawsPerPick = 8
)

// Weights picks endpoints of a fleet at random, in proportion to their speed up to maxWeight of the mean. The zero
// value is ready for use.
type Weights struct {
	most      float64
	updatedAt time.Time
}

// Outdated reports whether Update is due.
func (w *Weights) Outdated(now time.Time) bool {
	return w.updatedAt.IsZero() || now.Sub(w.updatedAt) >= weightsMaxAge || now.Before(w.updatedAt)
}

// Update sets the mean speed of the fleet, 1 for as usual.
func (w *Weights) Update(now time.Time, meanSpeed float64) {
	w.most, w.updatedAt = maxWeight*meanSpeed, now
}

// Pick returns the index of one of n endpoints, whose slowness a function returns; false if it finds none in the
// allowed number of draws. A slowness that is not positive excludes the endpoint.
func (w *Weights) Pick(random *rand.PCG, n int, slowness func(int) float64) (int, bool) {
	if n == 0 {
		return 0, false
	}
	for range drawsPerPick {
		i := int(random.Uint64() % uint64(n))
		s := slowness(i)
		if s > 0 && float64(random.Uint64()>>11)/(1<<53)*w.most < min(1/s, w.most) {
			return i, true
		}
	}
	return 0, false
}
