package balancer

import (
	"math"
	"time"

	"rattanchute/internal/registry"
)

const (
	// prefillRate is how fast an engine is taken to read a prompt, in tokens a millisecond;
	// an endpoint's slowness corrects it.
	prefillRate = 50.0
	// firstEventBase is the time to a first event besides reading the prompt.
	firstEventBase = 45 * time.Millisecond
	// runningCost ranks endpoints by the requests they run: each makes the others slower.
	runningCost = time.Millisecond
	// otherDataCentreCost is what an endpoint elsewhere must be faster by: bytes between
	// data centres are priced.
	otherDataCentreCost = 6 * time.Millisecond
	// defaultDuration is a plain request's until one was seen.
	defaultDuration = 20 * time.Millisecond
	// remoteMaxAge is how long a peer's report of its load counts.
	remoteMaxAge = 2500 * time.Millisecond
)

// endpoint is what is known of one run of an endpoint.
type endpoint struct {
	known registry.Known
	// model tells engines from plain services.
	model bool
	cache *prefixCache
	// cacheTokens is the engine's memory.
	cacheTokens int
	// fetchRate is how fast cached tokens are copied from another engine, in tokens a
	// millisecond; zero if they cannot be.
	fetchRate float64

	inFlight int
	// reported is the load that the endpoint told last, and reportedAt when.
	reported   int
	reportedAt time.Time
	// pending is the number of tokens of prompts that were sent and not answered yet.
	pending int
	// memory is the number of tokens that the requests in flight will take.
	memory int
	remote map[string]remoteLoad
	health
}

type remoteLoad struct {
	inFlight int
	pending  int
	memory   int
	at       time.Time
	// follower tells that the peer follows this host.
	follower bool
}

// load is the own and the peers' load together, in a scope.
func (e *endpoint) load(now time.Time, scope Scope) remoteLoad {
	sum := remoteLoad{inFlight: e.inFlight, pending: e.pending, memory: e.memory}
	for peer, r := range e.remote {
		if now.Sub(r.at) > remoteMaxAge {
			delete(e.remote, peer)
			continue
		}
		if scope == ScopeGroup && !r.follower {
			continue
		}
		sum.inFlight += r.inFlight
		sum.pending += r.pending
		sum.memory += r.memory
	}
	return sum
}

// estimate says how the endpoint would answer.
func (e *endpoint) estimate(now time.Time, r *Request, meanDuration time.Duration, d *donor) Choice {
	l := e.load(now, ScopeAll)
	factor := e.factor(now)
	c := Choice{Endpoint: e.known, InFlight: l.inFlight, Queued: l.inFlight >= e.known.Slots}
	queue := time.Duration(0)
	if over := l.inFlight - e.known.Slots + 1; over > 0 {
		queue = time.Duration(float64(over) / float64(e.known.Slots) * float64(meanDuration))
	}
	if !e.model {
		c.FirstEvent = scale(queue+meanDuration, factor)
		return c
	}
	here := e.cache.length(r.Prefixes)
	fetching := time.Duration(0)
	if gain := d.tokens - here; e.fetchRate > 0 && gain >= minFetch {
		c.FetchFrom, c.FetchTokens = d.address, gain
		here = d.tokens
		fetching = time.Duration(float64(gain) / e.fetchRate * float64(time.Millisecond))
	}
	c.UncachedTokens = max(r.PromptTokens-here, 1)
	if need := l.memory + r.PromptTokens + r.OutputTokens; e.cacheTokens > 0 && need > e.cacheTokens {
		c.Queued = true
		queue += time.Duration(float64(need-e.cacheTokens) / float64(e.cacheTokens) * float64(meanDuration))
	}
	c.FirstEvent = queue + fetching + scale(firstEventBase+readTime(l.pending+c.UncachedTokens), factor)
	return c
}

func readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillRate * float64(time.Millisecond))
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(math.Min(float64(d)*factor, float64(time.Hour)))
}
