package policybench

import (
	"math/rand/v2"
	"time"

	"rattanchute/internal/engine"
	"rattanchute/internal/fleet"
	"rattanchute/internal/route"
)

// policy selects engines for an entry node.
type policy interface {
	choose(now time.Time, r *request) (route.Choice, error)
	begin(endpoint string)
	end(now time.Time, endpoint string, result route.Result)
	observeLoad(now time.Time, endpoint string, load engine.Load)
	observeCache(endpoint string, events []engine.CacheEvent)
	setHostState(state fleet.HostState)
	endpointsToPoll(now time.Time, limit int) []fleet.Endpoint
}

// productionPolicy uses the router of package route.
type productionPolicy struct {
	router *route.Router
	random *rand.Rand
}

func (p *productionPolicy) choose(now time.Time, r *request) (route.Choice, error) {
	return p.router.Choose(now, p.random.Uint64(), route.Query{
		Organisation: r.organisation, Fleet: fleetName,
		PrefixHashes: r.prefixes, PrefixTokens: r.prefixTokens,
		PromptTokens: r.contextTokens(), MaxTokens: r.outputTokens, Exclude: r.excluded,
	})
}

func (p *productionPolicy) begin(endpoint string) { p.router.Begin(endpoint) }

func (p *productionPolicy) end(now time.Time, endpoint string, result route.Result) {
	p.router.End(now, endpoint, result)
}

func (p *productionPolicy) observeLoad(now time.Time, endpoint string, load engine.Load) {
	p.router.ObserveLoad(now, endpoint, load)
}

func (p *productionPolicy) observeCache(endpoint string, events []engine.CacheEvent) {
	p.router.ObserveCache(endpoint, events)
}

func (p *productionPolicy) setHostState(state fleet.HostState) { p.router.SetHostState(state) }

func (p *productionPolicy) endpointsToPoll(now time.Time, limit int) []fleet.Endpoint {
	return p.router.EndpointsToPoll(now, limit)
}

// baselinePolicy is what an operator would do without the router: it selects among the hosts
// that are not leaving, at random or by the last report, and polls all engines in turn.
type baselinePolicy struct {
	random      *rand.Rand
	leastLoaded bool
	endpoints   []fleet.Endpoint
	leaving     map[string]bool
	reports     map[string]engine.Load
	next        int
}

func (p *baselinePolicy) choose(_ time.Time, r *request) (route.Choice, error) {
	best := -1
	start := p.random.IntN(len(p.endpoints))
	for step := range p.endpoints {
		i := (start + step) % len(p.endpoints)
		if p.leaving[p.endpoints[i].Host] || r.tried(p.endpoints[i].Name) {
			continue
		}
		if best < 0 || (p.leastLoaded && p.load(i) < p.load(best)) {
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

func (p *baselinePolicy) load(i int) int {
	report := p.reports[p.endpoints[i].Name]
	return report.Running + report.Queued
}

func (p *baselinePolicy) begin(string)                             {}
func (p *baselinePolicy) end(time.Time, string, route.Result)      {}
func (p *baselinePolicy) observeCache(string, []engine.CacheEvent) {}

func (p *baselinePolicy) observeLoad(_ time.Time, endpoint string, load engine.Load) {
	p.reports[endpoint] = load
}

func (p *baselinePolicy) setHostState(state fleet.HostState) {
	if state.Phase > fleet.PhaseLive {
		p.leaving[state.Host] = true
	}
}

func (p *baselinePolicy) endpointsToPoll(_ time.Time, limit int) []fleet.Endpoint {
	var polled []fleet.Endpoint
	for range min(limit, len(p.endpoints)) {
		polled = append(polled, p.endpoints[p.next%len(p.endpoints)])
		p.next++
	}
	return polled
}
