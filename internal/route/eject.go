package route

import (
	"sync"
	"time"

	"rattanchute/internal/backpressure"
)

const (
	// ejectAfterFailures is the number of consecutive failures after which an endpoint is
	// ejected.
	ejectAfterFailures = 5
	// maxEjectedShare is the largest share of a fleet's usable endpoints that may be ejected at
	// once.
	maxEjectedShare  = 0.3
	baseEjectionTime = 5 * time.Second
	maxEjectionTime  = 5 * time.Minute
	// maxEjectionJitter is the largest share of an ejection time that is subtracted at random.
	maxEjectionJitter = 0.25
	maxDoublings      = 6
)

// pool holds the endpoints of a fleet. Its lock is held while the number of ejected endpoints
// is checked and changed, so that the limit holds.
type pool struct {
	mu      sync.Mutex
	members []*target
	// returns spreads the callers that were refused because all endpoints are closed.
	returns backpressure.RetrySchedule
}

// recordSuccess resets the consecutive failures and the backoff of ejections, unless the
// endpoint is ejected.
func (s *endpointState) recordSuccess(now time.Time) {
	if s.failures.Load() == 0 || s.ejected(now) {
		return
	}
	s.failures.Store(0)
	s.mu.Lock()
	s.ejections = 0
	s.mu.Unlock()
}

// recordFailure counts a failure and ejects the endpoint after ejectAfterFailures of them in a
// row, unless too many endpoints of the pool are ejected already. A failure during an ejection
// does not prolong it.
func (p *pool) recordFailure(now time.Time, t *target) {
	if t.state.failures.Add(1) < ejectAfterFailures || t.state.ejected(now) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.mayEject(now) {
		return
	}
	t.state.mu.Lock()
	defer t.state.mu.Unlock()
	t.state.ejections++
	until := now.Add(ejectionTime(t.info.hash, t.state.ejections, now))
	t.state.ejectedUntil.Store(until.UnixNano())
	// After the ejection, a single failure ejects the endpoint again.
	t.state.failures.Store(ejectAfterFailures - 1)
}

func (p *pool) mayEject(now time.Time) bool {
	usable, ejected := 0, 0
	for _, member := range p.members {
		if !member.host.usable.Load() {
			continue
		}
		usable++
		if member.state.ejected(now) {
			ejected++
		}
	}
	return float64(ejected+1) <= maxEjectedShare*float64(usable)
}

// ejectionTime returns the length of an ejection. Before the jitter is subtracted, it doubles
// with each ejection up to maxEjectionTime. The jitter is derived from the endpoint and the
// time, so that it needs no random source.
func ejectionTime(hash uint64, ejections int, now time.Time) time.Duration {
	doublings := min(ejections-1, maxDoublings)
	full := min(baseEjectionTime<<doublings, maxEjectionTime)
	word := mix(hash ^ uint64(now.UnixNano()))
	jitter := maxEjectionJitter * float64(word>>11) / (1 << 53)
	return time.Duration(float64(full) * (1 - jitter))
}
