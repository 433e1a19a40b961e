package balancer

import (
	"slices"
	"time"

	"rattanchute/internal/backpressure"
)

// candidate is an endpoint that is evaluated for a request.
type candidate struct {
	endpoint *endpoint
	choice   Choice
	cost     time.Duration
}

// Choose selects the endpoint with the lowest cost for a request; it returns false if there is
// none. Ejected endpoints are chosen only if there is no other, leaving and closed ones never. Between endpoints of about equal
// cost, a shared prefix decides, and if there is none, the random word.
func (t *Table) Choose(now time.Time, random uint64, r Request) (Choice, bool) {
	p, hosts := t.pool(r.Fleet), t.signals.Hosts()
	p.mu.Lock()
	defer p.mu.Unlock()
	best, found := p.choose(now, random, &r, t.dataCentre, hosts)
	if !found {
		return Choice{}, false
	}
	factor := p.firstEventSlowness.factor(now)
	best.choice.CorrectedFirstEvent = scaleDuration(best.choice.FirstEvent, factor)
	best.choice.Backlog = scaleDuration(best.choice.Backlog, factor)
	return best.choice, true
}

// choose returns the best candidate, an ejected one only if there is no other; false if there is none.
func (p *pool) choose(now time.Time, random uint64, r *Request, dataCentre string, hosts *backpressure.Hosts) (candidate, bool) {
	if p.statesSpeed(now) {
		if best, found := p.bestBySpeed(now, random, r, dataCentre, hosts); found {
			return best, true
		}
	}
	if best, found := p.best(now, random, r, dataCentre, hosts, false); found {
		return best, true
	}
	return p.best(now, random, r, dataCentre, hosts, true)
}

// best returns the candidate with the lowest cost, including ejected endpoints only if
// includeEjected is set; false if there is none.
func (p *pool) best(
	now time.Time, random uint64, r *Request, dataCentre string, hosts *backpressure.Hosts, includeEjected bool,
) (best candidate, found bool) {
	p.scratch = p.eligibleEndpoints(now, r, hosts, includeEjected, p.scratch[:0])
	affinity := affinityKey(r.Prefixes)
	source := p.cacheSource(now, r)
	limited := p.rejectionLimit.known(now)
	for _, e := range sample(p.scratch, random, affinity, r.Prefixes) {
		c := candidate{endpoint: e, choice: p.estimate(now, e, r, &source)}
		if c.choice.Queued && limited {
			continue
		}
		c.cost = c.choice.FirstEvent + p.penalty(now, e, &c.choice, dataCentre) + tieBreak(random, affinity, e)
		if !found || c.cost < best.cost {
			best, found = c, true
		}
	}
	return best, found
}

// eligibleEndpoints appends the endpoints that the request may be sent to.
func (p *pool) eligibleEndpoints(
	now time.Time, r *Request, hosts *backpressure.Hosts, includeEjected bool, list []*endpoint,
) []*endpoint {
	for _, e := range p.ordered {
		if p.eligible(now, e, r, hosts, includeEjected) {
			list = append(list, e)
		}
	}
	return list
}

// eligible reports whether the request may be sent to an endpoint.
func (p *pool) eligible(now time.Time, e *endpoint, r *Request, hosts *backpressure.Hosts, includeEjected bool) bool {
	switch {
	case e.known.Leaving, slices.Contains(r.Exclude, e.known.ID), e.ejected(now) && !includeEjected:
		return false
	case r.Version != "" && e.known.Version != r.Version, !r.permits(e), !e.signals.Verdict(now).Allowed:
		return false
	}
	return p.hasPlace(now, e, hosts)
}

// permits reports whether the request may use an endpoint.
func (r *Request) permits(e *endpoint) bool {
	return r.Permitted == nil || r.Permitted(&e.known.Endpoint)
}

// Opening reports whether all endpoints of a fleet are closed for some time, apart from those that leave,
// and if so, after which time a caller that is refused now should return. Each caller is given a later
// time, as the endpoints find room.
func (t *Table) Opening(now time.Time, fleetName string) (returnIn time.Duration, closed bool) {
	p := t.pool(fleetName)
	p.mu.Lock()
	defer p.mu.Unlock()
	var outlook backpressure.Outlook
	for _, e := range p.ordered {
		if !e.known.Leaving {
			outlook.Add(e.signals.Verdict(now), e.known.Slots)
		}
	}
	if !outlook.AllClosed() {
		return 0, false
	}
	return p.returns.Next(now, outlook.OpensAt, p.meanDuration/time.Duration(outlook.Slots)), true
}

// cacheSource is the endpoint that has the longest part of a prompt cached; zero if there is
// none.
type cacheSource struct {
	address string
	tokens  int
}

const (
	// minFetchTokens is the smallest number of tokens worth copying from another endpoint.
	minFetchTokens = 256
	// fetchCostPerToken is the ranking penalty for each copied token, because copying is
	// charged for: an endpoint that already has the tokens ranks before one that copies them.
	fetchCostPerToken = 10 * time.Microsecond
)

// cacheSource returns the endpoint from which the start of the prompt can be copied.
func (p *pool) cacheSource(now time.Time, r *Request) cacheSource {
	var best cacheSource
	if len(r.Prefixes) == 0 {
		return best
	}
	for _, e := range p.ordered {
		if !r.permits(e) || !p.canBeSource(now, e) {
			continue
		}
		if n := e.cache.matchedTokens(r.Prefixes); n > best.tokens {
			best = cacheSource{e.known.Address, n}
		}
	}
	return best
}

// penalty returns the ranking cost of a choice in addition to its expected time: the delay of
// other requests and the traffic that it causes.
func (p *pool) penalty(now time.Time, e *endpoint, c *Choice, dataCentre string) time.Duration {
	cost := time.Duration(c.InFlight) * perRequestCost
	if e.model {
		// The prefill also delays the streams that run on the endpoint.
		cost += prefillTime(c.UncachedTokens) + time.Duration(c.FetchTokens)*fetchCostPerToken
	}
	if e.known.DataCentre != dataCentre {
		cost += crossDataCentreCost
	}
	return cost
}

const (
	// maxAffinityCost bounds the tie-break cost of an endpoint for a shared prefix. All hosts
	// compute the same costs, so that they tend to send a prefix that is not cached anywhere to
	// the same endpoint.
	maxAffinityCost = 40 * time.Millisecond
	// maxRandomCost bounds the random tie-break cost. It keeps hosts from all choosing the same
	// one of several equal endpoints.
	maxRandomCost = 2 * time.Millisecond
)

// affinityKey returns the key of the longest prefix that is not the whole prompt, because other
// requests may share it; zero if there is none.
func affinityKey(prefixes []Prefix) uint64 {
	if len(prefixes) < 2 {
		return 0
	}
	return prefixes[len(prefixes)-2].Key
}

func tieBreak(random, affinity uint64, e *endpoint) time.Duration {
	if affinity != 0 {
		return time.Duration(mix(affinity^e.idHash) % uint64(maxAffinityCost))
	}
	return time.Duration(mix(random^e.idHash) % uint64(maxRandomCost))
}

// mix distributes the bits of a word evenly.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
