package origin

import (
	"time"

	"rattanchute/internal/route"
)

// routeLog remembers since when the routes of streams lead where they do. A stream whose origin is unknown may have begun
// where its route led before.
type routeLog struct {
	// knownSince is since when this host would have known of another lead, and startedAt when it started.
	knownSince, startedAt time.Time
	// leads are those in force; nil before there is a configuration. heard holds what others said before that.
	leads map[route.Lead]leadState
	heard map[route.Lead]time.Time
}

// leadState is a lead that is in force.
type leadState struct {
	since time.Time
	// unchanged is set if this host has known no configuration without it. Only then may others know of a longer time.
	unchanged bool
}

func newRouteLog(knownSince, startedAt time.Time) routeLog {
	return routeLog{knownSince: knownSince, startedAt: startedAt, heard: map[route.Lead]time.Time{}}
}

// set records the leads of the configuration that is in force from now on.
func (l *routeLog) set(now time.Time, leads []route.Lead) {
	next := make(map[route.Lead]leadState, len(leads))
	for _, lead := range leads {
		state, found := l.leads[lead]
		switch {
		case l.leads == nil:
			state = leadState{since: l.firstSince(now, lead), unchanged: true}
		case !found:
			state = leadState{since: now}
		}
		next[lead] = state
	}
	l.leads, l.heard = next, nil
}

// firstSince returns since when a lead of the first configuration has been in force.
func (l *routeLog) firstSince(now time.Time, lead route.Lead) time.Time {
	since := now
	if now.Sub(l.startedAt) <= maxConfirmationGap {
		since = l.knownSince
	}
	if heard, found := l.heard[lead]; found && heard.Before(since) {
		since = heard
	}
	return since
}

// hear records that a lead has been in force since a time according to another host.
func (l *routeLog) hear(lead route.Lead, since time.Time) {
	if l.leads == nil {
		l.heard[lead] = since
		return
	}
	if own, found := l.leads[lead]; found && own.unchanged && since.Before(own.since) {
		own.since = since
		l.leads[lead] = own
	}
}

// certain returns the leads that have been in force for longer than streams may be resumed.
func (l *routeLog) certain(now time.Time) []route.Lead {
	var leads []route.Lead
	for lead := range l.leads {
		if l.isCertain(now, lead) {
			leads = append(leads, lead)
		}
	}
	return leads
}

func (l *routeLog) isCertain(now time.Time, lead route.Lead) bool {
	state, found := l.leads[lead]
	return found && now.Sub(state.since) >= retention
}

// SetRoutes records the leads of the configuration that is in force from now on.
func (t *Table) SetRoutes(now time.Time, leads []route.Lead) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.routes.set(now, leads)
}

// LeadIsCertain reports whether all streams of a route that may still be resumed began where the route leads now.
func (t *Table) LeadIsCertain(now time.Time, lead route.Lead) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.routes.isCertain(now, lead)
}

// CertainLeads returns the leads of which LeadIsCertain holds.
func (t *Table) CertainLeads(now time.Time) []route.Lead {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.routes.certain(now)
}

// AddLeads records that leads have been in force for longer than streams may be resumed, as another host knew.
func (t *Table) AddLeads(now time.Time, leads []route.Lead) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, lead := range leads {
		t.routes.hear(lead, now.Add(-retention))
	}
}
