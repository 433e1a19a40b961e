package route

import (
	"sync/atomic"
	"time"
)

const (
	sketchRows  = 2
	sketchWidth = 8192 // a power of two
	// halveEvery is how often the counts are halved, so that old requests fade.
	halveEvery = 10 * time.Second
	// minCount is how often a prefix must have been seen to count as popular.
	minCount = 8
)

// popularity estimates which part of a fleet's requests, seen by this node, shares a
// prefix. It is a count-min sketch that fades.
type popularity struct {
	counts [sketchRows][sketchWidth]atomic.Uint32
	total  atomic.Uint32
	halved atomic.Int64 // Unix nanoseconds
}

// observe counts a request with its prefixes.
func (p *popularity) observe(now time.Time, prefixes []uint64) {
	p.fade(now)
	p.total.Add(1)
	for _, prefix := range prefixes {
		first, second := p.cells(prefix)
		first.Add(1)
		second.Add(1)
	}
}

// cells are a prefix's counts, one in each row.
func (p *popularity) cells(prefix uint64) (first, second *atomic.Uint32) {
	word := mix(prefix)
	return &p.counts[0][word%sketchWidth], &p.counts[1][word>>32%sketchWidth]
}

// share is the part of the requests that have the prefix, zero for a rare one.
func (p *popularity) share(prefix uint64) float64 {
	first, second := p.cells(prefix)
	count := min(first.Load(), second.Load())
	if count < minCount {
		return 0
	}
	return min(float64(count)/float64(max(p.total.Load(), 1)), 1)
}

func (p *popularity) fade(now time.Time) {
	last := p.halved.Load()
	if now.UnixNano()-last < int64(halveEvery) || !p.halved.CompareAndSwap(last, now.UnixNano()) {
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
