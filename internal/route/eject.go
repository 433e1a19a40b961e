package route

import (
	"sync"
	"time"
)

const (
	// failuresToEject is the number of consecutive failures that eject an endpoint.
	failuresToEject = 5
	// maxEjectedShare bounds the ejected part of a fleet's usable endpoints.
	maxEjectedShare = 0.3
	ejectionBase    = 5 * time.Second
	ejectionMax     = 5 * time.Minute
	// ejectionJitter is the largest share of an ejection that is taken off it.
	ejectionJitter = 0.25
	maxDoublings   = 6
)

// group is a fleet's endpoints; its lock makes the cap on ejections hold.
type group struct {
	mu      sync.Mutex
	members []*target
}

// succeed clears the failures that count towards the next ejection.
func (s *endpointState) succeed(now time.Time) {
	if s.failures.Load() == 0 || s.ejected(now) {
		return
	}
	s.failures.Store(0)
	s.mu.Lock()
	s.ejections = 0
	s.mu.Unlock()
}

// fail counts a failure and ejects the endpoint when it has had enough of them and
// the cap allows it.
func (g *group) fail(now time.Time, t *target) {
	if t.state.failures.Add(1) < failuresToEject || t.state.ejected(now) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.roomToEject(now) {
		return
	}
	t.state.mu.Lock()
	defer t.state.mu.Unlock()
	t.state.ejections++
	until := now.Add(ejectionTime(t.info.hash, t.state.ejections, now))
	t.state.ejectedUntil.Store(until.UnixNano())
	// One more failure after the ejection ejects again.
	t.state.failures.Store(failuresToEject - 1)
}

func (g *group) roomToEject(now time.Time) bool {
	usable, ejected := 0, 0
	for _, member := range g.members {
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

// ejectionTime doubles with each ejection; the jitter follows from the endpoint and
// the moment.
func ejectionTime(hash uint64, ejections int, now time.Time) time.Duration {
	doublings := min(ejections-1, maxDoublings)
	full := min(ejectionBase<<doublings, ejectionMax)
	word := mix(hash ^ uint64(now.UnixNano()))
	jitter := ejectionJitter * float64(word>>11) / (1 << 53)
	return time.Duration(float64(full) * (1 - jitter))
}
