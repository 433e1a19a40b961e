package policybench

import (
	"math/rand/v2"
	"time"

	"rattanchute/internal/engine"
	"rattanchute/internal/fleet"
	"rattanchute/internal/route"
)

// policy is how an entry node chooses an engine.
type policy interface {
	choose(now time.Time, r *request) (route.Choice, error)
	begin(endpoint string)
	end(now time.Time, endpoint string, result route.Result)
	observeLoad(now time.Time, endpoint string, load engine.Load)
	observeCache(endpoint string, events []engine.CacheEvent)
	setHostState(state fleet.HostState)
	stale(now time.Time, limit int) []fleet.Endpoint
}

// production is the router of package route.
type production struct {
	router *route.Router
	random *rand.Rand
}

func (p *production) choose(now time.Time, r *request) (route.Choice, error) {
	return p.router.Choose(now, p.random.Uint64(), route.Query{
		Organisation: r.organisation, Fleet: fleetName,
		PrefixHashes: r.prefixes, PrefixTokens: r.prefixTokens,
		PromptTokens: r.contextTokens(), MaxTokens: r.outputTokens, Exclude: r.excluded,
	})
}

func (p *production) begin(endpoint string) { p.router.Begin(endpoint) }

func (p *production) end(now time.Time, endpoint string, result route.Result) {
	p.router.End(now, endpoint, result)
}

func (p *production) observeLoad(now time.Time, endpoint string, load engine.Load) {
	p.router.ObserveLoad(now, endpoint, load)
}

func (p *production) observeCache(endpoint string, events []engine.CacheEvent) {
	p.router.ObserveCache(endpoint, events)
}

func (p *production) setHostState(state fleet.HostState) { p.router.SetHostState(state) }

func (p *production) stale(now time.Time, limit int) []fleet.Endpoint {
	return p.router.EndpointsToPoll(now, limit)
}

// plain is what an operator would otherwise do: pick among the hosts that are not
// leaving, at random or by the last report. It polls all in turn.
type plain struct {
	random    *rand.Rand
	leastLoad bool
	endpoints []fleet.Endpoint
	leaving   map[string]bool
	reports   map[string]engine.Load
	next      int
}

func (p *plain) choose(_ time.Time, r *request) (route.Choice, error) {
	best := -1
	start := p.random.IntN(len(p.endpoints))
	for step := range p.endpoints {
		i := (start + step) % len(p.endpoints)
		if p.leaving[p.endpoints[i].Host] || r.tried(p.endpoints[i].Name) {
			continue
		}
		if best < 0 || (p.leastLoad && p.load(i) < p.load(best)) {
			best = i
		}
	}
	if best < 0 {
		return route.Choice{}, route.ErrNoEndpoint
	}
	return route.Choice{Endpoint: p.endpoints[best], Priority: r.priority}, nil
}

func (r *request) tried(endpoint string) bool {
	for _, name := range r.excluded {
		if name == endpoint {
			return true
		}
	}
	return false
}

func (p *plain) load(i int) int {
	report := p.reports[p.endpoints[i].Name]
	return report.Running + report.Queued
}

func (p *plain) begin(string)                             {}
func (p *plain) end(time.Time, string, route.Result)      {}
func (p *plain) observeCache(string, []engine.CacheEvent) {}

func (p *plain) observeLoad(_ time.Time, endpoint string, load engine.Load) {
	p.reports[endpoint] = load
}

func (p *plain) setHostState(state fleet.HostState) {
	if state.Phase > fleet.PhaseLive {
		p.leaving[state.Host] = true
	}
}

func (p *plain) stale(_ time.Time, limit int) []fleet.Endpoint {
	var polled []fleet.Endpoint
	for range min(limit, len(p.endpoints)) {
		polled = append(polled, p.endpoints[p.next%len(p.endpoints)])
		p.next++
	}
	return polled
}
