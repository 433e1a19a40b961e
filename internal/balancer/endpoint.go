package balancer

import (
	"math"
	"time"

	"rattanchute/internal/backpressure"
	"rattanchute/internal/registry"
	"rattanchute/internal/speed"
)

const (
	// prefillTokensPerMilli is the assumed rate at which an engine computes a prompt, in tokens
	// per millisecond. The estimate is multiplied by the measured slowness, which is at least 1.
	prefillTokensPerMilli = 50.0
	// baseFirstEvent is the time to the first event apart from queueing, copying and prefill.
	baseFirstEvent = 45 * time.Millisecond
	// perRequestCost is the ranking penalty for each request in flight, because every request
	// slows down the others.
	perRequestCost = time.Millisecond
	// crossDataCentreCost is the ranking penalty of an endpoint in another data centre, because
	// traffic between data centres is charged for.
	crossDataCentreCost = 6 * time.Millisecond
	// defaultAnswerDuration is the mean duration of a fleet's answers until one was observed,
	// and the initial value of the moving average.
	defaultAnswerDuration = 20 * time.Millisecond
	// peerLoadMaxAge is the age up to which a peer's load report is used.
	peerLoadMaxAge = 2500 * time.Millisecond
)

// endpoint is the state of one run of an endpoint: a restart or a change of the address begins with
// a new state. inFlight, pendingTokens and memoryTokens count only the requests of this host.
type endpoint struct {
	known registry.Known
	// signals is what the endpoint said in its responses about further requests.
	signals *backpressure.Endpoint
	// idHash is a hash of the endpoint's ID.
	idHash uint64
	// model is set for engines and not set for plain services.
	model bool
	cache *prefixCache
	// cacheTokens is the size of the engine's KV memory in tokens; zero if it is not known.
	cacheTokens int
	// fetchRate is the rate at which cached tokens are copied from another engine, in tokens
	// per millisecond; zero if they cannot be copied.
	fetchRate float64

	inFlight int
	// reportedRequests is the number of requests that the endpoint reported last, at
	// reportedAt.
	reportedRequests int
	reportedAt       time.Time
	// pendingTokens is the number of prompt tokens that the endpoint has yet to compute: the
	// uncached tokens of the requests in flight whose first event has not arrived.
	pendingTokens int
	// memoryTokens is the number of tokens of KV memory that the requests in flight will need.
	memoryTokens int
	peerLoads    map[string]endpointLoad
	// reducedTo bounds the requests of this host until reducedUntil, because the endpoint has a rejection limit and
	// has rejected one.
	reducedTo    int
	reducedUntil time.Time
	part         slotPart
	// speed is what the endpoint states of its slowness and what was learnt of it, and waiting the requests of this
	// host without an answer.
	speed   speed.Estimate
	waiting waitingList
	health
}

type endpointLoad struct {
	inFlight      int
	pendingTokens int
	memoryTokens  int
	at            time.Time
	// follower means that the peer follows this host.
	follower bool
}

// load returns the sum of this host's load and that of the peers in the scope. It drops peer
// loads that are too old.
func (e *endpoint) load(now time.Time, scope Scope) endpointLoad {
	sum := endpointLoad{inFlight: e.inFlight, pendingTokens: e.pendingTokens, memoryTokens: e.memoryTokens}
	for peer, peerLoad := range e.peerLoads {
		if now.Sub(peerLoad.at) > peerLoadMaxAge {
			delete(e.peerLoads, peer)
			continue
		}
		if scope == ScopeGroup && !peerLoad.follower {
			continue
		}
		sum.inFlight += peerLoad.inFlight
		sum.pendingTokens += peerLoad.pendingTokens
		sum.memoryTokens += peerLoad.memoryTokens
	}
	return sum
}

// estimate returns the choice of this endpoint with its expected time to the first event. For a
// plain service that is the time to the complete answer.
func (p *pool) estimate(now time.Time, e *endpoint, r *Request, source *cacheSource) Choice {
	l := e.load(now, ScopeAll)
	meanDuration := p.meanDuration
	factor := p.slownessOf(now, e, meanDuration)
	c := Choice{Endpoint: e.known, InFlight: l.inFlight, Queued: l.inFlight >= e.known.Slots}
	c.LastingSlowness, c.MomentSlowness = e.speed.Lasting(), e.speed.Moment(now, &p.speeds.persistence)
	queueTime := time.Duration(0)
	if over := l.inFlight - e.known.Slots + 1; over > 0 {
		queueTime = time.Duration(float64(over) / float64(e.known.Slots) * float64(meanDuration))
	}
	if !e.model {
		c.usual = queueTime + meanDuration
		c.FirstEvent = scaleDuration(c.usual, factor)
		c.Backlog = scaleDuration(queueTime, factor)
		return c
	}
	cachedTokens := e.cache.matchedTokens(r.Prefixes)
	fetchTime := time.Duration(0)
	if fetchable := source.tokens - cachedTokens; e.fetchRate > 0 && fetchable >= minFetchTokens {
		c.FetchFrom, c.FetchTokens = source.address, fetchable
		cachedTokens = source.tokens
		fetchTime = time.Duration(float64(fetchable) / e.fetchRate * float64(time.Millisecond))
	}
	c.UncachedTokens = max(r.PromptTokens-cachedTokens, 1)
	if need := l.memoryTokens + r.PromptTokens + r.OutputTokens; e.cacheTokens > 0 && need > e.cacheTokens {
		c.Queued = true
		queueTime += time.Duration(float64(need-e.cacheTokens) / float64(e.cacheTokens) * float64(meanDuration))
	}
	c.pendingTokens = l.pendingTokens
	c.usual = queueTime + fetchTime + baseFirstEvent + prefillTime(l.pendingTokens+c.UncachedTokens)
	c.FirstEvent = queueTime + fetchTime +
		scaleDuration(baseFirstEvent+prefillTime(l.pendingTokens+c.UncachedTokens), factor)
	c.Backlog = queueTime + scaleDuration(prefillTime(l.pendingTokens), factor)
	return c
}

func prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillTokensPerMilli * float64(time.Millisecond))
}

func scaleDuration(d time.Duration, factor float64) time.Duration {
	return time.Duration(math.Min(float64(d)*factor, float64(time.Hour)))
}
