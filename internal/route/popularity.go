package route

import (
	"sync/atomic"
	"time"
)

const (
	sketchRows  = 2
	sketchWidth = 8192 // a power of two
	// halvingInterval is the time after which all counts are halved, so that old requests lose
	// weight.
	halvingInterval = 10 * time.Second
	// minPopularCount is the count from which a prefix is treated as popular.
	minPopularCount = 8
)

// popularity estimates the share of a fleet's requests at this node that have a given prefix.
// It is a count-min sketch with exponential decay.
type popularity struct {
	counts   [sketchRows][sketchWidth]atomic.Uint32
	total    atomic.Uint32
	halvedAt atomic.Int64 // Unix nanoseconds
}

// observe counts a request and its prefixes.
func (p *popularity) observe(now time.Time, prefixes []uint64) {
	p.decay(now)
	p.total.Add(1)
	for _, prefix := range prefixes {
		first, second := p.counters(prefix)
		first.Add(1)
		second.Add(1)
	}
}

// counters returns the counters of a prefix, one in each row.
func (p *popularity) counters(prefix uint64) (first, second *atomic.Uint32) {
	word := mix(prefix)
	return &p.counts[0][word%sketchWidth], &p.counts[1][word>>32%sketchWidth]
}

// share returns the share of the requests that have the prefix, zero if it is not popular.
func (p *popularity) share(prefix uint64) float64 {
	first, second := p.counters(prefix)
	count := min(first.Load(), second.Load())
	if count < minPopularCount {
		return 0
	}
	return min(float64(count)/float64(max(p.total.Load(), 1)), 1)
}

func (p *popularity) decay(now time.Time) {
	last := p.halvedAt.Load()
	if now.UnixNano()-last < int64(halvingInterval) || !p.halvedAt.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	p.total.Store(p.total.Load() / 2)
	for row := range p.counts {
		for i := range p.counts[row] {
			cell := &p.counts[row][i]
			cell.Store(cell.Load() / 2)
		}
	}
}
