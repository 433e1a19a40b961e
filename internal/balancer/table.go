package balancer

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanchute/internal/backpressure"
	"rattanchute/internal/fleet"
	"rattanchute/internal/registry"
)

// Table selects endpoints and tracks their load. Each fleet has its own lock.
type Table struct {
	dataCentre string
	// signals is what the endpoints said in their responses about further requests.
	signals *backpressure.Table
	mu      sync.RWMutex
	pools   map[string]*pool
}

// pool holds the endpoints of one fleet.
type pool struct {
	mu        sync.Mutex
	engine    *fleet.Engine
	endpoints map[string]*endpoint
	ordered   []*endpoint
	// meanDuration is the moving average over all successful answers, plain ones and streams.
	meanDuration time.Duration
	// failureRate is the moving average over the fleet's attempts that ended with ResultOK,
	// ResultFailed or ResultError.
	failureRate float64
	// firstEventSlowness is by how much first events over the whole fleet recently took longer
	// than expected.
	firstEventSlowness slowness
	// returns spreads the callers that were refused because all endpoints are closed.
	returns backpressure.RetrySchedule
}

// NewTable returns a table without endpoints for a host in the data centre. It chooses no endpoint that
// is leaving or closed according to signals.
func NewTable(dataCentre string, signals *backpressure.Table) *Table {
	return &Table{dataCentre: dataCentre, signals: signals, pools: map[string]*pool{}}
}

// Configure records for each fleet of the configuration whether its endpoints are engines and, if
// they are, the properties of the engines, such as the size of their cache.
func (t *Table) Configure(c *fleet.Configuration) {
	for i := range c.Fleets {
		f := &c.Fleets[i]
		p := t.pool(f.Name)
		p.mu.Lock()
		p.engine = f.Engine
		for _, e := range p.ordered {
			e.describe(f.Engine)
		}
		p.mu.Unlock()
	}
}

func (e *endpoint) describe(engine *fleet.Engine) {
	e.model = engine != nil
	if engine == nil {
		return
	}
	e.fetchRate = 0
	if engine.BytesPerToken > 0 {
		e.fetchRate = engine.LinkMbps * bitsPerMegabit / millisPerSecond / bitsPerByte / float64(engine.BytesPerToken)
	}
	e.cacheTokens = engine.CacheTokens
	if e.cache == nil || e.cache.limitTokens == 0 {
		e.cache = newPrefixCache(engine.CacheTokens)
	}
}

const (
	bitsPerMegabit  = 1e6
	bitsPerByte     = 8
	millisPerSecond = 1e3
)

// SetEndpoints replaces the endpoints. It keeps the state of those that remain with the same
// start time and address.
func (t *Table) SetEndpoints(known []registry.Known) {
	byFleet := map[string][]registry.Known{}
	for _, k := range known {
		byFleet[k.Fleet] = append(byFleet[k.Fleet], k)
	}
	t.mu.RLock()
	for name := range t.pools {
		if byFleet[name] == nil {
			byFleet[name] = nil
		}
	}
	t.mu.RUnlock()
	for name, list := range byFleet {
		t.pool(name).setEndpoints(list, t.signals)
	}
}

func (p *pool) setEndpoints(list []registry.Known, signals *backpressure.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]*endpoint, len(list))
	p.ordered = p.ordered[:0]
	for _, k := range list {
		e := p.endpoints[k.ID]
		if e == nil || e.known.StartMillis != k.StartMillis || e.known.Address != k.Address {
			e = &endpoint{idHash: xxhash.Sum64String(k.ID), cache: newPrefixCache(0), peerLoads: map[string]endpointLoad{}}
			e.signals = signals.Endpoint(InstanceOf(&k.Endpoint))
			e.describe(p.engine)
		}
		e.known = k
		next[k.ID] = e
		p.ordered = append(p.ordered, e)
	}
	p.endpoints = next
}

// InstanceOf returns the identity of an endpoint's run.
func InstanceOf(e *registry.Endpoint) backpressure.Instance {
	return backpressure.Instance{ID: e.ID, Address: e.Address, StartMillis: e.StartMillis}
}

func (t *Table) pool(name string) *pool {
	t.mu.RLock()
	p := t.pools[name]
	t.mu.RUnlock()
	if p != nil {
		return p
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.pools[name]; p != nil {
		return p
	}
	p = &pool{endpoints: map[string]*endpoint{}, meanDuration: defaultAnswerDuration}
	t.pools[name] = p
	return p
}

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
	p := t.pool(r.Fleet)
	p.mu.Lock()
	defer p.mu.Unlock()
	best := p.best(now, random, &r, t.dataCentre, false)
	if best == nil {
		best = p.best(now, random, &r, t.dataCentre, true)
	}
	if best == nil {
		return Choice{}, false
	}
	factor := p.firstEventSlowness.factor(now)
	best.choice.CorrectedFirstEvent = scaleDuration(best.choice.FirstEvent, factor)
	best.choice.Backlog = scaleDuration(best.choice.Backlog, factor)
	return best.choice, true
}

// best returns the candidate with the lowest cost, including ejected endpoints only if
// includeEjected is set.
func (p *pool) best(now time.Time, random uint64, r *Request, dataCentre string, includeEjected bool) *candidate {
	var eligible []*endpoint
	for _, e := range p.ordered {
		if e.known.Leaving || slices.Contains(r.Exclude, e.known.ID) || e.ejected(now) && !includeEjected {
			continue
		}
		if !e.signals.Verdict(now).Allowed {
			continue
		}
		eligible = append(eligible, e)
	}
	var best *candidate
	affinity := affinityKey(r.Prefixes)
	source := p.cacheSource(now, r)
	for _, e := range sample(eligible, random, affinity, r.Prefixes) {
		c := candidate{endpoint: e, choice: e.estimate(now, r, p.meanDuration, &source)}
		c.cost = c.choice.FirstEvent + p.penalty(now, e, &c.choice, dataCentre) + tieBreak(random, affinity, e)
		if best == nil || c.cost < best.cost {
			best = &c
		}
	}
	return best
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
	for _, e := range p.ordered {
		if !e.model || e.known.Leaving || e.ejected(now) || e.signals.Verdict(now).Leaving {
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
