package route

import (
	"sync/atomic"
	"time"
)

const (
	sketchRows  = 2
	sketchWidth = 4096 // a power of two
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
		for row := range p.counts {
			p.cell(row, prefix).Add(1)
		}
	}
}

func (p *popularity) cell(row int, prefix uint64) *atomic.Uint32 {
	return &p.counts[row][mix(prefix+uint64(row))%sketchWidth]
}

// share is the part of the requests that have the prefix, zero for a rare one.
func (p *popularity) share(prefix uint64) float64 {
	count := p.cell(0, prefix).Load()
	for row := 1; row < sketchRows; row++ {
		count = min(count, p.cell(row, prefix).Load())
	}
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
