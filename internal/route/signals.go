package route

import (
	"sync"
	"sync/atomic"
	"time"

	"rattanchute/internal/backpressure"
)

// signalState is what one run of an endpoint said in its responses about further requests.
type signalState struct {
	endpoint atomic.Pointer[backpressure.Endpoint]
	// mu guards instance, and its change together with that of endpoint.
	mu       sync.Mutex
	instance string
}

// current returns the state of the endpoint's present run.
func (s *signalState) current() *backpressure.Endpoint {
	if e := s.endpoint.Load(); e != nil {
		return e
	}
	s.endpoint.CompareAndSwap(nil, &backpressure.Endpoint{})
	return s.endpoint.Load()
}

// of returns the state of the run with the given name. A name that is not that of the present run begins
// a new one; the empty name is that of the present run.
func (s *signalState) of(instance string) *backpressure.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	if instance == "" || instance == s.instance {
		return s.current()
	}
	if s.instance != "" {
		s.endpoint.Store(&backpressure.Endpoint{})
	}
	s.instance = instance
	return s.current()
}

// restart begins a new run whose name is not known.
func (s *signalState) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instance = ""
	s.endpoint.Store(&backpressure.Endpoint{})
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
// instance is the name of the endpoint's run, empty if it did not name it. The random number, from 0 to 1,
// is the jitter of a pause.
func (r *Router) Observe(now time.Time, random float64, address, instance string, s backpressure.Signal) {
	t := r.view.Load().byAddress[address]
	if t == nil {
		return
	}
	change := t.state.signals.of(instance).Observe(now, random, s, "")
	if r.signalLog != nil && (change.Left || !change.OpensAt.IsZero()) {
		r.signalLog.SignalChanged(t.info.endpoint.Name, change)
	}
}

// ObserveLimit records what a response of the endpoint at the address says about its rate limit; sentAt is
// when its request was sent. The instance is as for Observe.
func (r *Router) ObserveLimit(now, sentAt time.Time, address, instance string, l backpressure.Limit) {
	t := r.view.Load().byAddress[address]
	if t == nil {
		return
	}
	changed := t.state.signals.of(instance).ObserveLimit(now, sentAt, l, r.shareOf(t))
	if changed && r.signalLog != nil {
		r.signalLog.LimitChanged(t.info.endpoint.Name, l)
	}
}

// shareOf returns the function with which this daemon's share of an endpoint's limits is worked out.
func (r *Router) shareOf(t *target) func(backpressure.Limit) float64 {
	return func(l backpressure.Limit) float64 {
		return r.limitSharers.Load().Share(t.info.endpoint.Name, l.PerSecond)
	}
}

// SetLimitSharers sets the daemons that share the endpoints' rate limits.
func (r *Router) SetLimitSharers(now time.Time, h backpressure.Hosts) {
	r.limitSharers.Store(&h)
	for _, t := range r.view.Load().targets {
		t.state.signals.current().UpdateShare(now, r.shareOf(t))
	}
}

// Malformed records that a part of what a response of the endpoint at the address says was ignored.
func (r *Router) Malformed(address string, err error) {
	if t := r.view.Load().byAddress[address]; t != nil && r.signalLog != nil {
		r.signalLog.SignalIgnored(t.info.endpoint.Name, err)
	}
}

// SignalLog is told what endpoints say about further requests.
type SignalLog interface {
	// SignalChanged is called when an endpoint begins to leave, or is closed for a time or a longer one.
	SignalChanged(endpoint string, c backpressure.Change)
	// LimitChanged is called when an endpoint states another rate limit than before, or none any more.
	LimitChanged(endpoint string, l backpressure.Limit)
	// SignalIgnored is called when a statement of an endpoint is malformed.
	SignalIgnored(endpoint string, err error)
}

// SetSignalLog must be called before the router is used.
func (r *Router) SetSignalLog(l SignalLog) { r.signalLog = l }

// Opening reports whether all endpoints that an organisation may use of a fleet are closed for some time,
// apart from those that leave, and if so, after which time a caller that is refused now should return.
func (r *Router) Opening(now time.Time, organisation, fleetName string) (returnIn time.Duration, closed bool) {
	list := r.view.Load().lists[listKey{organisation, fleetName}]
	if list == nil {
		return 0, false
	}
	var outlook backpressure.Outlook
	var p *pool
	duration := 0.0
	for _, t := range list.targets {
		if !t.host.usable.Load() {
			continue
		}
		p = t.pool
		duration = max(duration, t.state.meanDuration())
		outlook.Add(t.state.signals.current().Verdict(now), t.info.slots)
	}
	if !outlook.AllClosed() {
		return 0, false
	}
	interval := time.Duration(duration / float64(outlook.Slots) * float64(time.Second))
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.returns.Next(now, outlook.OpensAt, interval), true
}
