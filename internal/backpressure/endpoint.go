package backpressure

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// fullWindow is the number of requests in progress with which the slow start ends.
	fullWindow = 64
	// jitterShare is the largest part of a pause by which a host makes it longer; the jitter's range is
	// between minJitter and maxJitter.
	jitterShare = 0.25
	minJitter   = 100 * time.Millisecond
	maxJitter   = time.Second
)

// leavingInfo says how it is known that an endpoint leaves: the host that it told, and when.
type leavingInfo struct {
	source string
	since  time.Time
}

// Verdict says whether a request may be sent to an endpoint.
type Verdict struct {
	Allowed bool
	// Leaving is set if the endpoint leaves: it will never be allowed again.
	Leaving bool
	// OpensAt is when requests may return to a closed endpoint; zero if it is not closed.
	OpensAt time.Time
	// Limited is set if the endpoint is closed only because this host's share of its rate limit is used up.
	Limited bool
}

// Change is what a signal changed.
type Change struct {
	// Left is set if it was not known before that the endpoint leaves.
	Left bool
	// OpensAt is when requests may return; zero if the signal did not close the endpoint or has not
	// moved that time back.
	OpensAt time.Time
}

// Endpoint is what is known of one run of an endpoint. It is safe for concurrent use.
type Endpoint struct {
	// restricted is set while a restriction may apply. Requests to other endpoints take no lock.
	restricted atomic.Bool
	mu         sync.Mutex
	leaving    *leavingInfo
	// opensAt is the latest end of a pause; zero once the slow start after it has ended.
	opensAt time.Time
	// window bounds the requests that are in progress since opensAt, of which running are. It is zero
	// until the first one is sent.
	window  int
	running int
	// round counts the times for which the endpoint was closed, so that a permit of an earlier one
	// changes nothing in a later one.
	round int
	// bucket is this host's share of the rate limit that the endpoint states.
	bucket bucket
}

// Observe records a signal of a response that arrived now at the host with the given name. The random
// number, from 0 to 1, is the jitter. A pause that ends before an earlier one changes nothing.
func (e *Endpoint) Observe(now time.Time, random float64, s Signal, host string) Change {
	if !s.Leaving && s.RetryAfter <= 0 {
		return Change{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var c Change
	if s.Leaving {
		c.Left = e.markLeavingLocked(leavingInfo{source: host, since: now})
	}
	if s.RetryAfter > 0 {
		c.OpensAt = e.closeLocked(now, random, s.RetryAfter)
	}
	return c
}

// markLeavingLocked records that the endpoint leaves, and reports whether that was not known.
func (e *Endpoint) markLeavingLocked(info leavingInfo) bool {
	if e.leaving != nil {
		return false
	}
	e.leaving = &info
	e.restricted.Store(true)
	return true
}

// closeLocked closes the endpoint for a time, and returns when it opens; zero if it was closed for
// longer.
func (e *Endpoint) closeLocked(now time.Time, random float64, retryAfter time.Duration) time.Time {
	retryAfter = min(retryAfter, MaxRetryAfter)
	if !now.Add(retryAfter).After(e.opensAt) {
		return time.Time{}
	}
	jitter := min(max(time.Duration(jitterShare*float64(retryAfter)), minJitter), maxJitter)
	e.opensAt = now.Add(retryAfter + time.Duration(random*float64(jitter)))
	e.window, e.running = 0, 0
	e.round++
	e.restricted.Store(true)
	return e.opensAt
}

// Verdict returns whether a request may be sent now.
func (e *Endpoint) Verdict(now time.Time) Verdict {
	if !e.restricted.Load() {
		return Verdict{Allowed: true}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.verdictLocked(now)
}

func (e *Endpoint) verdictLocked(now time.Time) Verdict {
	switch {
	case e.leaving != nil:
		return Verdict{Leaving: true}
	case now.Before(e.opensAt):
		return Verdict{OpensAt: e.opensAt}
	case e.bucket.wait(now) > 0:
		return Verdict{OpensAt: now.Add(e.bucket.wait(now)), Limited: true}
	case e.opensAt.IsZero():
		return Verdict{Allowed: true}
	}
	return Verdict{Allowed: e.running < max(e.window, 1), OpensAt: e.opensAt}
}

// Acquire asks for permission to send a request now. The permit is nil if that is not allowed. It has to
// be released when the request ends.
func (e *Endpoint) Acquire(now time.Time) (*Permit, Verdict) {
	if !e.restricted.Load() {
		return &Permit{}, Verdict{Allowed: true}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	v := e.verdictLocked(now)
	if !v.Allowed {
		return nil, v
	}
	e.bucket.take(now)
	if e.opensAt.IsZero() {
		return &Permit{}, v
	}
	first := e.window == 0
	e.window = max(e.window, 1)
	e.running++
	return &Permit{endpoint: e, round: e.round, First: first}, v
}

// Permit is the permission to send one request to an endpoint.
type Permit struct {
	// First is set for the first request after the endpoint was closed.
	First bool
	// endpoint is nil unless the endpoint limits the requests in progress.
	endpoint *Endpoint
	round    int
}

// Answered records that the endpoint has begun to respond, and did not close itself again. Only the
// first call has an effect.
func (p *Permit) Answered() {
	e := p.take()
	if e == nil {
		return
	}
	defer e.mu.Unlock()
	e.running--
	e.window *= 2
	if e.window < fullWindow {
		return
	}
	e.opensAt, e.window, e.running = time.Time{}, 0, 0
	e.round++
	e.updateRestrictedLocked()
}

// updateRestrictedLocked sets restricted from the other fields.
func (e *Endpoint) updateRestrictedLocked() {
	e.restricted.Store(e.leaving != nil || !e.opensAt.IsZero() || e.bucket.limit.Stated)
}

// Release records that the request has ended. It has no effect after Answered.
func (p *Permit) Release() {
	if e := p.take(); e != nil {
		e.running--
		e.mu.Unlock()
	}
}

// take returns the endpoint, locked, and detaches the permit from it. It returns nil if the permit was
// taken before, or if the endpoint has been closed or completely opened since.
func (p *Permit) take() *Endpoint {
	e := p.endpoint
	if e == nil {
		return nil
	}
	p.endpoint = nil
	e.mu.Lock()
	if e.round != p.round {
		e.mu.Unlock()
		return nil
	}
	return e
}
