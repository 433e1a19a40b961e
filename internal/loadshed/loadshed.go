// Package loadshed decides which requests are admitted while the endpoints of a fleet are
// overloaded: after data centres were reclaimed in a row or during a burst of requests, when even
// the best endpoint is busy. Less urgent requests are then rejected immediately, with a retry
// delay, so that the others are served in time. An endpoint is overloaded if most of its slots are in use
// or if the prompts that it has still to compute would make the request late: an engine with many slots
// and long prompts is at its limit while most slots are free. The package does no I/O.
//
// It serves the pass-through interface (packages node and proxy). The daemon's own chat and call
// interface (packages app and dispatcher) sheds load in package ratelimit.
package loadshed

import (
	"slices"
	"time"

	"rattanchute/internal/fleet"
)

const (
	// maxRemainingShare is the part of the caller's remaining time that the expected time to the
	// first event may take. Requests that would take longer are rejected whatever their rank.
	maxRemainingShare = 0.9
	// topRankWaitShare, secondRankWaitShare and lowerRankWaitShare bound the expected time to the
	// first event, relative to the latency target, of the most urgent, the second and all other
	// ranks. A longer queue of the most urgent requests would make all of them late.
	topRankWaitShare    = 1.0
	secondRankWaitShare = 0.4
	lowerRankWaitShare  = 0.1
	// busySlotShare is the part of an endpoint's slots that must be in use before requests are
	// rejected for their expected time to the first event.
	busySlotShare = 0.6
	// topRankBacklogShare, secondRankBacklogShare and lowerRankBacklogShare bound the part of the expected
	// time that is due to other requests, relative to the latency target, whatever slots are free. The
	// time that the request's own prompt takes does not count.
	topRankBacklogShare    = 1.0
	secondRankBacklogShare = 0.8
	lowerRankBacklogShare  = 0.6
)

// Request holds the properties of a request that a decision depends on.
type Request struct {
	// Rank is the number of more urgent priorities among the routes to the same fleet.
	Rank int
	// LatencyTarget is the target for the time to the first event. Zero means unknown; the request is
	// then not rejected for its rank.
	LatencyTarget time.Duration
	// Remaining is the time until the caller's deadline.
	Remaining time.Duration
}

// Estimate describes the best endpoint and its expected response.
type Estimate struct {
	// FirstEvent is the expected time to the first event.
	FirstEvent time.Duration
	// Backlog is the part of FirstEvent for which the request waits for others.
	Backlog time.Duration
	// Queued indicates that the endpoint has no free slot, so that the request would wait. InFlight
	// is how many of its Slots are in use.
	Queued   bool
	InFlight int
	Slots    int
}

// busy reports whether a request may have to wait. An engine that processes prompts at its maximum
// rate responds late long before all its slots are in use.
func (e *Estimate) busy() bool {
	return e.Queued || float64(e.InFlight) >= busySlotShare*float64(e.Slots)
}

// Decision indicates whether the request is admitted and, if not, after which delay the caller should
// retry.
type Decision struct {
	Admit      bool
	RetryAfter time.Duration
}

// Decide decides on a request that was not dispatched yet. It rejects a request whose first event
// would come too close to the caller's deadline, and one whose rank does not justify the expected
// wait at a busy endpoint.
func Decide(r Request, e Estimate) Decision {
	if float64(e.FirstEvent) > maxRemainingShare*float64(r.Remaining) {
		return Decision{RetryAfter: e.FirstEvent - r.Remaining/2}
	}
	if r.LatencyTarget <= 0 {
		return Decision{Admit: true}
	}
	if e.busy() && e.FirstEvent > r.maxWait() {
		return Decision{RetryAfter: e.FirstEvent}
	}
	if e.Backlog > r.maxBacklog() {
		return Decision{RetryAfter: e.Backlog}
	}
	return Decision{Admit: true}
}

// maxWait is the longest expected time to the first event with which the request is admitted to a
// busy endpoint.
func (r *Request) maxWait() time.Duration {
	return r.targetShare(topRankWaitShare, secondRankWaitShare, lowerRankWaitShare)
}

// maxBacklog is the longest expected wait for other requests with which the request is admitted to any
// endpoint.
func (r *Request) maxBacklog() time.Duration {
	return r.targetShare(topRankBacklogShare, secondRankBacklogShare, lowerRankBacklogShare)
}

// targetShare returns the share of the latency target that belongs to the request's rank.
func (r *Request) targetShare(top, second, lower float64) time.Duration {
	share := lower
	switch r.Rank {
	case 0:
		share = top
	case 1:
		share = second
	}
	return time.Duration(share * float64(r.LatencyTarget))
}

// Ranks maps the name of a fleet to the priorities of its routes, most urgent first.
type Ranks map[string][]int

// NewRanks collects the priorities of the routes to each fleet.
func NewRanks(routes []fleet.Route) Ranks {
	ranks := Ranks{}
	for i := range routes {
		r := &routes[i]
		for _, part := range r.Split {
			if !slices.Contains(ranks[part.Fleet], r.Priority) {
				ranks[part.Fleet] = append(ranks[part.Fleet], r.Priority)
			}
		}
	}
	for _, priorities := range ranks {
		slices.Sort(priorities)
	}
	return ranks
}

// Rank returns the number of the fleet's priorities that are more urgent than the given one.
func (r Ranks) Rank(name string, priority int) int {
	n, _ := slices.BinarySearch(r[name], priority)
	return n
}
