package backpressure

import "time"

// Outlook tells when a fleet's endpoints, all of which are closed for some time, have room again. The zero
// value is that of no endpoints.
type Outlook struct {
	// OpensAt is when the first closed endpoint opens, and Slots the number of requests that all of them
	// serve at once.
	OpensAt time.Time
	Slots   int
	open    bool
}

// Add adds an endpoint with a number of slots. Leaving endpoints do not count. A limited endpoint has room for
// one request at a time.
func (o *Outlook) Add(v Verdict, slots int) {
	if v.Leaving {
		return
	}
	if v.Allowed {
		o.open = true
		return
	}
	if v.Limited {
		slots = 1
	}
	o.Slots += max(slots, 1)
	if o.OpensAt.IsZero() || v.OpensAt.Before(o.OpensAt) {
		o.OpensAt = v.OpensAt
	}
}

// AllClosed reports whether there are closed endpoints and no open ones.
func (o *Outlook) AllClosed() bool { return !o.open && o.Slots > 0 }

// RetrySchedule spreads the return of callers that were refused because all endpoints are closed: the first
// returns when an endpoint opens, and each other one after the time in which one more request finds
// room. The zero value is ready for use; it is not safe for concurrent use.
type RetrySchedule struct {
	next time.Time
}

// maxScheduleAhead bounds how long after the opening the last caller returns.
const maxScheduleAhead = 5 * time.Second

// Next returns after which time a caller that is refused now should return. opensAt is when the first
// endpoint opens, and interval how often the endpoints find room for one more request.
func (s *RetrySchedule) Next(now, opensAt time.Time, interval time.Duration) time.Duration {
	at := opensAt
	if at.Before(now) {
		at = now
	}
	latest := at.Add(maxScheduleAhead)
	if s.next.After(at) {
		at = s.next
	}
	if at.After(latest) {
		at = latest
	}
	s.next = at.Add(interval)
	return at.Sub(now)
}
