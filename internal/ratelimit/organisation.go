package ratelimit

import (
	"sync"
	"time"

	"rattanchute/internal/fleet"
)

// demandWindow is the time over which the request rate is averaged.
const demandWindow = 2 * time.Second

// organisation holds one organisation's token bucket and retry budget on this member, and the
// shares that this member has lent to and borrowed from other members.
type organisation struct {
	name string

	mu              sync.Mutex
	limit           float64 // requests per second over all members; zero means no limit
	burst           float64 // in requests, over all members
	members         int
	tokens          float64
	updatedAt       time.Time // time of the last update of tokens
	demand          meter
	lent            []loan
	borrowed        []loan
	pendingRequests map[uint64]time.Time // unanswered requests by number, with the time of sending
	lastNumber      uint64
	retryBudget     budget
}

func newOrganisation(name string) *organisation {
	return &organisation{name: name, pendingRequests: make(map[uint64]time.Time), retryBudget: newBudget()}
}

func (o *organisation) configure(now time.Time, declared fleet.Organisation, members int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	first := o.updatedAt.IsZero()
	if !first {
		o.refill(now)
	}
	o.updatedAt = now
	o.limit = declared.RequestsPerSecond
	o.burst = float64(declared.Burst)
	o.members = members
	if first {
		o.tokens = o.capacity(now)
	}
	o.tokens = min(o.tokens, o.capacity(now))
}

func (o *organisation) setMembers(now time.Time, members int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refill(now)
	o.members = members
	o.tokens = min(o.tokens, o.capacity(now))
}

// take counts a request towards the demand, removes a token and returns zero. If there is no token,
// it returns the time until one is available, or maxRetryAfter while the rate is zero. Without a
// limit it removes nothing and returns zero.
func (o *organisation) take(now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.demand.add(now, demandWindow)
	if o.limit <= 0 {
		return 0
	}
	o.refill(now)
	if o.tokens >= 1 {
		o.tokens--
		return 0
	}
	rate := o.rate(now)
	if rate <= 0 {
		return maxRetryAfter
	}
	return time.Duration((1 - o.tokens) / rate * float64(time.Second))
}

// refund returns the token of a request that was not admitted after all.
func (o *organisation) refund() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.limit > 0 {
		o.tokens++
	}
}

func (o *organisation) refill(now time.Time) {
	elapsed := now.Sub(o.updatedAt)
	if elapsed <= 0 {
		return
	}
	o.updatedAt = now
	o.expireLoans(now)
	o.tokens = min(o.tokens+elapsed.Seconds()*o.rate(now), o.capacity(now))
}

// baseRate is this member's equal share of the limit, before any loans.
func (o *organisation) baseRate() float64 { return o.limit / float64(o.members) }

// rate is this member's share of the limit, including loans.
func (o *organisation) rate(now time.Time) float64 {
	return max(o.baseRate()-totalRate(o.lent, now), 0) + totalRate(o.borrowed, now)
}

// capacity is the part of the burst that corresponds to the share. It is at least one request,
// because a bucket that cannot hold one token would never admit anything.
func (o *organisation) capacity(now time.Time) float64 {
	if o.limit <= 0 {
		return 0
	}
	return max(o.burst*o.rate(now)/o.limit, 1)
}
