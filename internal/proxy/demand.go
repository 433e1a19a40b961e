package proxy

import (
	"sync"
	"time"

	"rattanchute/internal/balancer"
	"rattanchute/internal/heartbeat"
)

// demandWindow is the window over which callers' demand is averaged.
const demandWindow = 8 * time.Second

// minDemandSpan is the shortest time over which the first requests are averaged.
const minDemandSpan = time.Second

// demandMeter measures the average demand for each fleet. It includes requests that are refused
// later, for example because of the quota or the load, but not those without a route or a valid
// key.
type demandMeter struct {
	mu     sync.Mutex
	fleets map[string]*demand
}

// demand counts the two halves of the window. The older half is complete.
type demand struct {
	// since is when the current half began.
	since          time.Time
	older, current demandSum
	// hasOlder is set once half of the window has passed; until then there is no older half.
	hasOlder bool
}

type demandSum struct {
	requests float64
	prompt   float64
	output   float64
}

func newDemandMeter() *demandMeter { return &demandMeter{fleets: map[string]*demand{}} }

func (m *demandMeter) record(now time.Time, fleet string, promptTokens, outputTokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.fleets[fleet]
	if d == nil {
		d = &demand{since: now}
		m.fleets[fleet] = d
	}
	d.rotate(now)
	d.current.requests++
	d.current.prompt += float64(promptTokens)
	d.current.output += float64(outputTokens)
}

// rotate begins a new half if the current one is over, and starts anew after a pause of two halves.
func (d *demand) rotate(now time.Time) {
	const half = demandWindow / 2
	switch elapsed := now.Sub(d.since); {
	case elapsed >= 2*half:
		*d = demand{since: now}
	case elapsed >= half:
		d.older, d.current = d.current, demandSum{}
		d.since = d.since.Add(half)
		d.hasOlder = true
	}
}

// Demand returns the recent demand of the callers of this host for each fleet. Fleets without recent
// requests are left out.
func (p *Proxy) Demand(now time.Time) map[string]heartbeat.FleetDemand {
	m := p.demand
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]heartbeat.FleetDemand, len(m.fleets))
	for name, d := range m.fleets {
		d.rotate(now)
		requests := d.older.requests + d.current.requests
		if requests == 0 {
			continue
		}
		span := now.Sub(d.since)
		if d.hasOlder {
			span += demandWindow / 2
		}
		span = max(span, minDemandSpan)
		out[name] = heartbeat.FleetDemand{
			RequestsPerSecond: requests / span.Seconds(),
			PromptTokens:      (d.older.prompt + d.current.prompt) / requests,
			OutputTokens:      (d.older.output + d.current.output) / requests,
		}
	}
	return out
}

// prefillRetention is how long a prefill is kept at least to be sent to the peers.
const prefillRetention = 700 * time.Millisecond

// recentPrefills records which endpoint was recently sent which prompt prefix, so that the peers can
// be told.
type recentPrefills struct {
	mu      sync.Mutex
	entries []recentPrefill
}

type recentPrefill struct {
	prefill balancer.Prefill
	at      time.Time
	// fromGroup is set if this host or one of its followers forwarded the prompt, and not set if
	// another peer reported it.
	fromGroup bool
}

func newRecentPrefills() *recentPrefills { return &recentPrefills{} }

func (r *recentPrefills) add(now time.Time, prefill balancer.Prefill, fromGroup bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := 0
	for kept < len(r.entries) && now.Sub(r.entries[kept].at) > prefillRetention {
		kept++
	}
	r.entries = append(r.entries[:0], r.entries[kept:]...)
	r.entries = append(r.entries, recentPrefill{prefill, now, fromGroup})
}

// Prefills lists the prefills recorded after an instant, as far as they are kept. Unless the scope
// is balancer.ScopeAll, only those forwarded by this host and its followers are included.
func (p *Proxy) Prefills(since time.Time, scope balancer.Scope) []balancer.Prefill {
	r := p.prefills
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]balancer.Prefill, 0, len(r.entries))
	for _, prefill := range r.entries {
		if prefill.at.After(since) && (prefill.fromGroup || scope == balancer.ScopeAll) {
			out = append(out, prefill.prefill)
		}
	}
	return out
}

// ObservePrefill records a prefill that a peer reported; fromGroup reports whether the peer is a
// follower of this host.
func (p *Proxy) ObservePrefill(now time.Time, prefill balancer.Prefill, fromGroup bool) {
	p.Balancer.ObservePrefill(prefill)
	p.prefills.add(now, prefill, fromGroup)
}
