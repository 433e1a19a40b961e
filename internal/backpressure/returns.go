package backpressure

import "time"

// Returns spreads the return of callers that were refused because all endpoints are closed: the first
// returns when an endpoint opens, and each other one after the time in which one more request finds
// room. The zero value is ready for use; it is not safe for concurrent use.
type Returns struct {
	next time.Time
}

// maxReturnsAhead bounds how long after the opening the last caller returns.
const maxReturnsAhead = 5 * time.Second

// Next returns after which time a caller that is refused now should return. opensAt is when the first
// endpoint opens, and interval how often the endpoints find room for one more request.
func (r *Returns) Next(now, opensAt time.Time, interval time.Duration) time.Duration {
	at := opensAt
	if at.Before(now) {
		at = now
	}
	latest := at.Add(maxReturnsAhead)
	if r.next.After(at) {
		at = r.next
	}
	if at.After(latest) {
		at = latest
	}
	r.next = at.Add(interval)
	return at.Sub(now)
}
