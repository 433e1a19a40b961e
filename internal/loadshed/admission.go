// Package loadshed decides which requests are taken while the endpoints of a fleet are
// short: when data centres are reclaimed one after the other, or callers come in a burst,
// and every endpoint has as many requests as it runs at once. What is less urgent is then
// refused at once, with a time to come back, so that the rest is answered in time; while a
// place is free nobody is refused. It does no I/O.
package loadshed

import (
	"slices"
	"time"

	"rattanchute/internal/fleet"
)

const (
	// lateShare of the time left must be enough for the first event.
	lateShare = 0.9
	// firstShare, secondShare and lowerShare of their goal are what the most urgent, the second
	// and the other kinds of request may be expected to wait in a queue. A longer queue of the
	// most urgent makes all of them late.
	firstShare  = 1.0
	secondShare = 0.4
	lowerShare  = 0.1
	// busyShare of an endpoint's slots is taken before anybody is refused for the queue.
	busyShare = 0.6
)

// Request is what a decision depends on.
type Request struct {
	// Rank is the number of more urgent kinds of request for the same fleet.
	Rank int
	// LatencyTarget is the time to the first event that callers want; zero if unknown.
	LatencyTarget time.Duration
	// Remaining is the time until the caller gives up.
	Remaining time.Duration
}

// Estimate is how the best endpoint is expected to answer.
type Estimate struct {
	FirstEvent time.Duration
	// Queued tells that it has no free place, and InFlight how many of its Slots are taken.
	Queued   bool
	InFlight int
	Slots    int
}

// busy reports whether a request may have to wait: an engine that reads prompts as fast as it
// can is late long before all its slots are taken.
func (o *Estimate) busy() bool {
	return o.Queued || float64(o.InFlight) >= busyShare*float64(o.Slots)
}

// Decision says whether the request is taken, or when its caller should come back.
type Decision struct {
	Admit      bool
	RetryAfter time.Duration
}

// Decide decides about a request that was not sent yet.
func Decide(r Request, o Estimate) Decision {
	if float64(o.FirstEvent) > lateShare*float64(r.Remaining) {
		return Decision{RetryAfter: o.FirstEvent - r.Remaining/2}
	}
	if !o.busy() || r.LatencyTarget <= 0 || o.FirstEvent <= r.patience() {
		return Decision{Admit: true}
	}
	return Decision{RetryAfter: o.FirstEvent}
}

// patience is the longest expected wait that the request is taken for.
func (r *Request) patience() time.Duration {
	share := lowerShare
	switch r.Rank {
	case 0:
		share = firstShare
	case 1:
		share = secondShare
	}
	return time.Duration(share * float64(r.LatencyTarget))
}

// Ranks are the priorities of the routes to each fleet, the most urgent first.
type Ranks map[string][]int

// NewRanks collects the priorities.
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

// Rank counts the priorities of a fleet that are more urgent than the given one.
func (r Ranks) Rank(name string, priority int) int {
	n, _ := slices.BinarySearch(r[name], priority)
	return n
}
