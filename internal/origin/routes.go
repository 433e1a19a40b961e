package origin

import (
	"time"

	"rattanchute/internal/route"
)

// routeLog remembers since when the routes of streams have had their destinations. A stream whose origin is unknown may have begun
// where its route led before.
type routeLog struct {
	// knownSince is since when this host would have known of another destination, and startedAt when it started.
	knownSince, startedAt time.Time
	// destinations are those in force; nil before there is a configuration. heard holds what others said before that.
	destinations map[route.Destination]destinationState
	heard        map[route.Destination]time.Time
}

// destinationState is a destination that is in force.
type destinationState struct {
	since time.Time
	// unchanged is set if this host has known no configuration without it. Only then may others know of a longer time.
	unchanged bool
}

func newRouteLog(knownSince, startedAt time.Time) routeLog {
	return routeLog{knownSince: knownSince, startedAt: startedAt, heard: map[route.Destination]time.Time{}}
}

// set records the destinations of the configuration that is in force from now on.
func (l *routeLog) set(now time.Time, destinations []route.Destination) {
	next := make(map[route.Destination]destinationState, len(destinations))
	for _, destination := range destinations {
		state, found := l.destinations[destination]
		switch {
		case l.destinations == nil:
			state = destinationState{since: l.firstSince(now, destination), unchanged: true}
		case !found:
			state = destinationState{since: now}
		}
		next[destination] = state
	}
	l.destinations, l.heard = next, nil
}

// firstSince returns since when a destination of the first configuration has been in force.
func (l *routeLog) firstSince(now time.Time, destination route.Destination) time.Time {
	since := now
	if now.Sub(l.startedAt) <= maxConfirmationGap {
		since = l.knownSince
	}
	if heard, found := l.heard[destination]; found && heard.Before(since) {
		since = heard
	}
	return since
}

// hear records that a destination has been in force since a time according to another host.
func (l *routeLog) hear(destination route.Destination, since time.Time) {
	if l.destinations == nil {
		l.heard[destination] = since
		return
	}
	if own, found := l.destinations[destination]; found && own.unchanged && since.Before(own.since) {
		own.since = since
		l.destinations[destination] = own
	}
}

// certain returns the destinations that have been in force for longer than streams may be resumed.
func (l *routeLog) certain(now time.Time) []route.Destination {
	var destinations []route.Destination
	for destination := range l.destinations {
		if l.isCertain(now, destination) {
			destinations = append(destinations, destination)
		}
	}
	return destinations
}

func (l *routeLog) isCertain(now time.Time, destination route.Destination) bool {
	state, found := l.destinations[destination]
	return found && now.Sub(state.since) >= retention
}

// SetRoutes records the destinations of the configuration that is in force from now on.
func (t *Table) SetRoutes(now time.Time, destinations []route.Destination) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.routes.set(now, destinations)
}

// DestinationIsCertain reports whether all streams of a route that may still be resumed began where the route leads now.
func (t *Table) DestinationIsCertain(now time.Time, destination route.Destination) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.routes.isCertain(now, destination)
}

// CertainDestinations returns the destinations of which DestinationIsCertain holds.
func (t *Table) CertainDestinations(now time.Time) []route.Destination {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.routes.certain(now)
}

// AddDestinations records that destinations have been in force for longer than streams may be resumed, as another host knew.
func (t *Table) AddDestinations(now time.Time, destinations []route.Destination) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, destination := range destinations {
		t.routes.hear(destination, now.Add(-retention))
	}
}
