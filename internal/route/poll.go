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
	// loadUseWindow is how long after a choice used an endpoint's load the load is kept up to
	// date by polls.
	loadUseWindow = 10 * time.Second
)

// EndpointsToPoll returns the endpoints to poll next, at most limit. These are usable endpoints
// whose report is old and whose load a choice has used recently, and those that have never
// reported. The first are those that have waited longest since their last report or since this
// method last returned them.
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

// lastPoll returns when the last report was received or poll requested, in Unix nanoseconds.
func (t *target) lastPoll() int64 {
	polledAt := t.state.polledAt.Load()
	if last := t.state.report.Load(); last != nil {
		return max(polledAt, last.received.UnixNano())
	}
	return polledAt
}
