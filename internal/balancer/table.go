package balancer

import (
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
	// prefixes counts what the endpoints of all fleets are assumed to have cached.
	prefixes prefixCount
	mu       sync.RWMutex
	pools    map[string]*pool
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
	rejectionLimit     rejectionLimit
	slotPool           slotPool
	speeds             speeds
	// scratch is reused for lists of endpoints.
	scratch []*endpoint
	// holders lists the endpoints by what they have cached, and homesByHash keeps what homes returned.
	holders     *holders
	homesByHash map[uint64][]*endpoint
	// returns spreads the callers that were refused because all endpoints are closed or full.
	returns backpressure.RetrySchedule
}

// SetMaxPrefixes sets how many prefixes the caches of all endpoints may be assumed to hold together; not positive means any
// number. The least recently used ones of an endpoint are forgotten for further ones.
func (t *Table) SetMaxPrefixes(most int) { t.prefixes.most.Store(int64(most)) }

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

// setCache replaces the cache; before is nil if there was none.
func (e *endpoint) setCache(c, before *prefixCache) {
	c.owner = e
	if before != nil {
		before.clear()
		c.holders = before.holders
	}
	e.cache = c
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
		e.setCache(newPrefixCache(engine.CacheTokens), e.cache)
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
			e = &endpoint{idHash: xxhash.Sum64String(k.ID), peerLoads: map[string]endpointLoad{}}
			e.setCache(newPrefixCache(0), nil)
			e.cache.holders = p.holders
			e.signals = signals.Endpoint(InstanceOf(&k.Endpoint))
			e.describe(p.engine)
		}
		e.known, e.part.hosts = k, nil
		next[k.ID] = e
		p.ordered = append(p.ordered, e)
	}
	for id, e := range p.endpoints {
		if next[id] != e {
			e.cache.clear()
			e.cache.holders = nil
		}
	}
	p.endpoints = next
	clear(p.homesByHash)
	p.slotPool = slotPool{}
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
	p = &pool{
		endpoints: map[string]*endpoint{}, meanDuration: defaultAnswerDuration,
		holders: newHolders(&t.prefixes), homesByHash: map[uint64][]*endpoint{},
	}
	t.pools[name] = p
	return p
}
