package proxy

import (
	"sync"
	"time"

	"rattanchute/internal/balancer"
	"rattanchute/internal/heartbeat"
)

// demandWindow is the time over which the callers' demand is averaged.
const demandWindow = 8 * time.Second

// minDemandSpan is the least time over which the first requests are averaged.
const minDemandSpan = time.Second

// demandMeter averages what callers ask of each fleet, refused requests included.
type demandMeter struct {
	mu     sync.Mutex
	fleets map[string]*demand
}

// demand holds two halves of the window; the older one is complete.
type demand struct {
	since          time.Time
	older, current demandSum
	// whole is set once a half of the window has passed: until then there is no older half.
	whole bool
}

type demandSum struct {
	requests float64
	prompt   float64
	output   float64
}

func newDemandMeter() *demandMeter { return &demandMeter{fleets: map[string]*demand{}} }

func (m *demandMeter) asked(now time.Time, fleet string, promptTokens, outputTokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := m.fleets[fleet]
	if d == nil {
		d = &demand{since: now}
		m.fleets[fleet] = d
	}
	d.turn(now)
	d.current.requests++
	d.current.prompt += float64(promptTokens)
	d.current.output += float64(outputTokens)
}

func (d *demand) turn(now time.Time) {
	const half = demandWindow / 2
	switch elapsed := now.Sub(d.since); {
	case elapsed >= 2*half:
		*d = demand{since: now}
	case elapsed >= half:
		d.older, d.current = d.current, demandSum{}
		d.since = d.since.Add(half)
		d.whole = true
	}
}

// Demand is what callers have lately asked of each fleet through this host.
func (g *Proxy) Demand(now time.Time) map[string]heartbeat.FleetDemand {
	m := g.demand
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]heartbeat.FleetDemand, len(m.fleets))
	for name, d := range m.fleets {
		d.turn(now)
		requests := d.older.requests + d.current.requests
		if requests == 0 {
			continue
		}
		span := now.Sub(d.since)
		if d.whole {
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

// readsKept is how long a prompt that was sent is remembered for the peers.
const readsKept = 700 * time.Millisecond

// recentReads are the prompts that were lately read, for the peers.
type recentReads struct {
	mu  sync.Mutex
	all []recentRead
}

type recentRead struct {
	read balancer.Prefill
	at   time.Time
	// group tells that this host or a follower sent the prompt.
	group bool
}

func newRecentReads() *recentReads { return &recentReads{} }

func (r *recentReads) add(now time.Time, read balancer.Prefill, group bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := 0
	for kept < len(r.all) && now.Sub(r.all[kept].at) > readsKept {
		kept++
	}
	r.all = append(r.all[:0], r.all[kept:]...)
	r.all = append(r.all, recentRead{read, now, group})
}

// Prefills lists the prompts that were read since an instant in the scope, without their own
// parts.
func (g *Proxy) Prefills(since time.Time, scope balancer.Scope) []balancer.Prefill {
	r := g.reads
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]balancer.Prefill, 0, len(r.all))
	for _, read := range r.all {
		if read.at.After(since) && (read.group || scope == balancer.ScopeAll) {
			out = append(out, read.read)
		}
	}
	return out
}

// ObservePrefill takes in what a peer had read; group tells that it is a follower.
func (g *Proxy) ObservePrefill(now time.Time, read balancer.Prefill, group bool) {
	g.Balancer.ObservePrefill(now, read)
	g.reads.add(now, read, group)
}
