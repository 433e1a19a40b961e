package route

import (
	"cmp"
	"slices"
	"time"

	"rattanchute/internal/fleet"
)

const (
	// freshReportAge is the age up to which a report makes a poll unnecessary.
	freshReportAge = 500 * time.Millisecond
	// loadUseWindow is how long polls keep an endpoint's load up to date after a choice has used
	// it.
	loadUseWindow = 10 * time.Second
)

// EndpointsToPoll returns the endpoints to poll next, at most limit. These are endpoints on usable
// hosts that have neither reported nor been returned by this method within freshReportAge, and
// whose load a choice has used within loadUseWindow or that have never reported. The one whose
// last report or return is the longest ago comes first.
func (r *Router) EndpointsToPoll(now time.Time, limit int) []fleet.Endpoint {
	var stale []*target
	for _, t := range r.view.Load().targets {
		if t.needsPoll(now) {
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
		t.state.polledAt.Store(now.UnixNano())
	}
	return endpoints
}

func (t *target) needsPoll(now time.Time) bool {
	if !t.host.usable.Load() || now.UnixNano()-t.lastPoll() <= int64(freshReportAge) {
		return false
	}
	loadUsed := now.UnixNano()-t.state.loadUsed.Load() <= int64(loadUseWindow)
	return loadUsed || t.state.report.Load() == nil
}

// lastPoll returns when the last report was received or the last poll requested, whichever was
// later, in Unix nanoseconds; zero if neither has happened.
func (t *target) lastPoll() int64 {
	polledAt := t.state.polledAt.Load()
	if last := t.state.report.Load(); last != nil {
		return max(polledAt, last.received.UnixNano())
	}
	return polledAt
}
