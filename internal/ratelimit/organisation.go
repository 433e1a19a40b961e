package ratelimit

import (
	"sync"
	"time"

	"rattanchute/internal/fleet"
)

// demandWindow is the time over which asked requests are averaged.
const demandWindow = 2 * time.Second

// organisation is one organisation's token bucket on this member, and the shares that
// it has lent to and borrowed from other members.
type organisation struct {
	name string

	mu      sync.Mutex
	limit   float64 // requests a second over all members; zero means no limit
	burst   float64 // requests at once over all members
	members int
	tokens  float64
	at      time.Time // tokens and demand are as of this moment
	demand  meter
	lent    []loan
	held    []loan
	offered map[uint64]time.Time // outstanding offers by number, with when they were made
	offers  uint64
	retries budget
}

func newOrganisation(name string) *organisation {
	return &organisation{name: name, offered: make(map[uint64]time.Time), retries: newBudget()}
}

func (o *organisation) configure(now time.Time, declared fleet.Organisation, members int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	fresh := o.at.IsZero()
	if !fresh {
		o.refill(now)
	}
	o.at = now
	o.limit = declared.RequestsPerSecond
	o.burst = float64(declared.Burst)
	o.members = members
	if fresh {
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

// take takes a token; without one it returns how long until there is one.
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

func (o *organisation) giveBack() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.limit > 0 {
		o.tokens++
	}
}

func (o *organisation) refill(now time.Time) {
	elapsed := now.Sub(o.at)
	if elapsed <= 0 {
		return
	}
	o.at = now
	o.expire(now)
	o.tokens = min(o.tokens+elapsed.Seconds()*o.rate(now), o.capacity(now))
}

// base is this member's share before any is moved.
func (o *organisation) base() float64 { return o.limit / float64(o.members) }

// rate is this member's share now.
func (o *organisation) rate(now time.Time) float64 {
	return max(o.base()-sum(o.lent, now), 0) + sum(o.held, now)
}

// capacity is the part of the burst that goes with the share; at least one request,
// so that a small share is of use at all.
func (o *organisation) capacity(now time.Time) float64 {
	if o.limit <= 0 {
		return 0
	}
	return max(o.burst*o.rate(now)/o.limit, 1)
}
