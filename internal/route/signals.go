package route

import (
	"math/rand/v2"
	"sync"
	"time"

	"rattanchute/internal/backpressure"
)

// signalState is what one run of an endpoint said in its responses about further requests.
type signalState struct {
	mu       sync.Mutex
	instance string
	endpoint *backpressure.Endpoint
}

// current returns the state of the endpoint's present run.
func (s *signalState) current() *backpressure.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentLocked()
}

func (s *signalState) currentLocked() *backpressure.Endpoint {
	if s.endpoint == nil {
		s.endpoint = &backpressure.Endpoint{}
	}
	return s.endpoint
}

// of returns the state of the run with the given name. A name that is not that of the present run begins
// a new one; the empty name is that of the present run.
func (s *signalState) of(instance string) *backpressure.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	if instance == "" || instance == s.instance {
		return s.currentLocked()
	}
	if s.instance != "" {
		s.endpoint = nil
	}
	s.instance = instance
	return s.currentLocked()
}

// restart begins a new run whose name is not known.
func (s *signalState) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instance, s.endpoint = "", nil
}

// Acquire asks, immediately before a request is sent, whether the endpoint at the address still accepts
// requests. The error is ErrLeaving or ErrClosed.
func (r *Router) Acquire(now time.Time, address string) (*backpressure.Permit, error) {
	t := r.view.Load().byAddress[address]
	if t == nil {
		return &backpressure.Permit{}, nil
	}
	permit, verdict := t.state.signals.current().Acquire(now)
	switch {
	case permit != nil:
		return permit, nil
	case verdict.Leaving:
		return nil, ErrLeaving
	}
	return nil, ErrClosed
}

// Observe records what a response of the endpoint at the address says about further requests. The
// instance is the name of the endpoint's run, empty if it did not name it.
func (r *Router) Observe(now time.Time, address, instance string, s backpressure.Signal) {
	t := r.view.Load().byAddress[address]
	if t == nil {
		return
	}
	change := t.state.signals.of(instance).Observe(now, rand.Float64(), s, "")
	if r.onSignal != nil && (change.Left || !change.OpensAt.IsZero()) {
		r.onSignal(t.info.endpoint.Name, change)
	}
}

// OnSignal sets a function that is called when an endpoint begins to leave, or is closed for a time or a
// longer one. It must be set before the router is used.
func (r *Router) OnSignal(f func(endpoint string, c backpressure.Change)) { r.onSignal = f }

// Opening reports whether all endpoints that an organisation may use of a fleet are closed for some time,
// apart from those that leave, and if so, after which time a caller that is refused now should return.
func (r *Router) Opening(now time.Time, organisation, fleetName string) (returnIn time.Duration, closed bool) {
	list := r.view.Load().lists[listKey{organisation, fleetName}]
	if list == nil {
		return 0, false
	}
	var opensAt time.Time
	slots, duration := 0, 0.0
	var p *pool
	for _, t := range list.targets {
		v := t.state.signals.current().Verdict(now)
		if v.Leaving || !t.host.usable.Load() {
			continue
		}
		if v.Allowed {
			return 0, false
		}
		p = t.pool
		slots += max(t.info.slots, 1)
		duration = max(duration, t.state.meanDuration())
		if opensAt.IsZero() || v.OpensAt.Before(opensAt) {
			opensAt = v.OpensAt
		}
	}
	if p == nil {
		return 0, false
	}
	interval := time.Duration(duration / float64(slots) * float64(time.Second))
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.returns.Next(now, opensAt, interval), true
}
