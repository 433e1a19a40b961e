package route

import (
	"cmp"
	"slices"
	"time"

	"rattanchute/internal/fleet"
)

const (
	// freshReport is the age up to which a report needs no poll.
	freshReport = 500 * time.Millisecond
	// wantedFor is how long after a choice an endpoint's load is still of interest.
	wantedFor = 10 * time.Second
)

// EndpointsToPoll lists the endpoints to poll next, at most limit: usable ones whose
// load was wanted lately and is old, or that have never reported. Those come first
// that have waited longest since a report or since this method last listed them.
func (r *Router) EndpointsToPoll(now time.Time, limit int) []fleet.Endpoint {
	var stale []*target
	for _, t := range r.view.Load().targets {
		if t.wantsPoll(now) {
			stale = append(stale, t)
		}
	}
	slices.SortStableFunc(stale, func(a, b *target) int {
		return cmp.Compare(a.lastPoll(), b.lastPoll())
	})
	stale = stale[:min(len(stale), limit)]
	endpoints := make([]fleet.Endpoint, len(stale))
	for i, t := range stale {
		endpoints[i] = t.info.endpoint
		t.state.polled.Store(now.UnixNano())
	}
	return endpoints
}

func (t *target) wantsPoll(now time.Time) bool {
	if !t.host.usable.Load() || now.UnixNano()-t.lastPoll() <= int64(freshReport) {
		return false
	}
	wanted := now.UnixNano()-t.state.wanted.Load() <= int64(wantedFor)
	return wanted || t.state.report.Load() == nil
}

// lastPoll is when a report came or was asked for, in Unix nanoseconds.
func (t *target) lastPoll() int64 {
	polled := t.state.polled.Load()
	if last := t.state.report.Load(); last != nil {
		return max(polled, last.received.UnixNano())
	}
	return polled
}
