package rollout

import (
	"fmt"
	"time"

	"rattanchute/internal/registry"
)

// Request is what the choice of a version depends on.
type Request struct {
	Fleet string
	Route string
	// Pinned is the version at which the request has to be served; empty for any.
	Pinned string
	// Random is from 0 to 1.
	Random float64
}

// Choice is the result of Choose.
type Choice struct {
	// Permitted reports whether an endpoint may be chosen; nil if all may.
	Permitted func(*registry.Endpoint) bool
	// Canary is set if the request counts against the bound on requests at the new version. Fallback is then
	// Permitted for an old version, to be used with Refund.
	Canary   bool
	Fallback func(*registry.Endpoint) bool
}

// Choose decides to which endpoints of its fleet a request may go.
func (t *Table) Choose(now time.Time, r Request) Choice {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.fleets[r.Fleet]
	if f == nil {
		return Choice{}
	}
	m := t.mode(now, f)
	if m != modeCanary {
		return Choice{Permitted: f.filter(m)}
	}
	pinned := r.Pinned != "" && r.Pinned == f.rules.target
	switch taken := t.takeCanary(now, f, &r); {
	case taken && pinned:
		return Choice{Canary: true, Permitted: f.filter(modeNew), Fallback: f.filter(modeNone)}
	case taken:
		return Choice{Canary: true, Permitted: f.canaryFilter, Fallback: f.filter(modeOld)}
	case pinned:
		return Choice{Permitted: f.filter(modeNone)}
	}
	return Choice{Permitted: f.filter(modeOld)}
}

// takeCanary decides whether a request goes to the new version in the canary step, and counts it if so.
func (t *Table) takeCanary(now time.Time, f *fleetState, r *Request) bool {
	if r.Pinned != "" && r.Pinned != f.rules.target {
		return false
	}
	if r.Pinned != "" {
		return f.takePinned(t.limits)
	}
	left := f.allowance.left(t.limits, boundMargin)
	pulse := f.entry.pulseAt(t.clusterTime(now).UnixMilli())
	inPulse := f.allowance.inPulse(pulse, left)
	if left < 1 {
		return false
	}
	f.updateCanaries(t.limits.Share, pulse)
	if len(f.canary) == 0 {
		return false
	}
	if r.Random >= f.probability(r.Route, inPulse) {
		return false
	}
	f.allowance.sentNew++
	return true
}

// takePinned decides whether a stream that began at the new version goes on there, and counts it if so.
func (f *fleetState) takePinned(l Limits) bool {
	if f.allowance.left(l, pinnedMargin) < 1 {
		return false
	}
	f.allowance.sentNew++
	return true
}

// probability returns how likely a request goes to the new version.
func (f *fleetState) probability(route string, inPulse bool) float64 {
	p := 0.0
	if inPulse {
		p = float64(len(f.canary)) / float64(len(f.canary)+f.old)
	}
	if f.responses(route) < wantedResponses {
		p = max(p, scarceProbability)
	}
	return p
}

// responses returns the number of the new version's responses on a route that are known.
func (f *fleetState) responses(route string) float64 {
	n := f.heard[route]
	if e := f.routes[route]; e != nil {
		n += e.counts.Since.All
	}
	return n
}

// updateCanaries chooses the endpoints that get requests in a pulse.
func (f *fleetState) updateCanaries(share float64, pulse int64) {
	if f.canary != nil && pulse == f.canaryPulse {
		return
	}
	target := make([]registry.Endpoint, 0, f.target)
	for i := range f.endpoints {
		if f.endpoints[i].Version == f.rules.target {
			target = append(target, f.endpoints[i])
		}
	}
	chosen := canaries(target, f.old, share, fmt.Sprint(f.entry.Record.StartMillis, "/", pulse))
	f.canary, f.canaryPulse = chosen, pulse
	f.canaryFilter = func(e *registry.Endpoint) bool { return chosen[e.ID] }
}

// Refund returns a canary request that was not sent to the new version.
func (t *Table) Refund(fleet string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f := t.fleets[fleet]; f != nil && f.allowance.sentNew >= 1 {
		f.allowance.sentNew--
	}
}
