package balancer

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattanchute/internal/fleet"
	"rattanchute/internal/registry"
)

// Table places requests. Each fleet has its own lock.
type Table struct {
	dataCentre string
	mu         sync.RWMutex
	groups     map[string]*group
}

// group is one fleet's endpoints.
type group struct {
	mu        sync.Mutex
	engine    *fleet.Engine
	endpoints map[string]*endpoint
	ordered   []*endpoint
	// meanDuration is that of answers, plain ones and streams.
	meanDuration time.Duration
	// failureRate is that of all attempts at the fleet.
	failureRate float64
	// pace is by how much first events of late took longer than expected, over the fleet.
	pace slowness
}

// NewTable returns a table without endpoints for a host in the data centre.
func NewTable(dataCentre string) *Table {
	return &Table{dataCentre: dataCentre, groups: map[string]*group{}}
}

// Configure tells which fleets have engines.
func (t *Table) Configure(c *fleet.Configuration) {
	for i := range c.Fleets {
		f := &c.Fleets[i]
		g := t.group(f.Name)
		g.mu.Lock()
		g.engine = f.Engine
		for _, e := range g.ordered {
			e.describe(f.Engine)
		}
		g.mu.Unlock()
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
	if e.cache == nil || e.cache.limit == 0 {
		e.cache = newPrefixCache(engine.CacheTokens)
	}
}

const (
	bitsPerMegabit  = 1e6
	bitsPerByte     = 8
	millisPerSecond = 1e3
)

// SetEndpoints replaces the endpoints; the state of those that stay is kept.
func (t *Table) SetEndpoints(known []registry.Known) {
	byFleet := map[string][]registry.Known{}
	for _, k := range known {
		byFleet[k.Fleet] = append(byFleet[k.Fleet], k)
	}
	t.mu.RLock()
	for name := range t.groups {
		if byFleet[name] == nil {
			byFleet[name] = nil
		}
	}
	t.mu.RUnlock()
	for name, list := range byFleet {
		t.group(name).setEndpoints(list)
	}
}

func (g *group) setEndpoints(list []registry.Known) {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := make(map[string]*endpoint, len(list))
	g.ordered = g.ordered[:0]
	for _, k := range list {
		e := g.endpoints[k.ID]
		if e == nil || e.known.StartMillis != k.StartMillis || e.known.Address != k.Address {
			e = &endpoint{cache: newPrefixCache(0), remote: map[string]remoteLoad{}}
			e.describe(g.engine)
		}
		e.known = k
		next[k.ID] = e
		g.ordered = append(g.ordered, e)
	}
	g.endpoints = next
}

func (t *Table) group(name string) *group {
	t.mu.RLock()
	g := t.groups[name]
	t.mu.RUnlock()
	if g != nil {
		return g
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if g := t.groups[name]; g != nil {
		return g
	}
	g = &group{endpoints: map[string]*endpoint{}, meanDuration: defaultDuration}
	t.groups[name] = g
	return g
}

// candidate is an endpoint that is weighed.
type candidate struct {
	endpoint *endpoint
	choice   Choice
	cost     time.Duration
}

// Choose decides which endpoint answers; ok is false if none can. The random word settles
// ties between endpoints.
func (t *Table) Choose(now time.Time, rnd uint64, r Request) (Choice, bool) {
	g := t.group(r.Fleet)
	g.mu.Lock()
	defer g.mu.Unlock()
	best := g.best(now, rnd, &r, t.dataCentre, false)
	if best == nil {
		best = g.best(now, rnd, &r, t.dataCentre, true)
	}
	if best == nil {
		return Choice{}, false
	}
	best.choice.CorrectedFirstEvent = scale(best.choice.FirstEvent, g.pace.factor(now))
	return best.choice, true
}

// best weighs the endpoints; those set aside only if evenAvoided.
func (g *group) best(now time.Time, rnd uint64, r *Request, dataCentre string, evenAvoided bool) *candidate {
	var best *candidate
	home := homeKey(r.Prefixes)
	d := g.donor(now, r)
	for i, e := range g.ordered {
		if e.known.Leaving || slices.Contains(r.Exclude, e.known.ID) || e.avoided(now) && !evenAvoided {
			continue
		}
		c := candidate{endpoint: e, choice: e.estimate(now, r, g.meanDuration, &d)}
		c.cost = c.choice.FirstEvent + g.penalty(now, e, &c.choice, dataCentre) + tieBreak(rnd, i, home, e.known.ID)
		if best == nil || c.cost < best.cost {
			best = &c
		}
	}
	return best
}

// donor is the endpoint that has cached most of a prompt.
type donor struct {
	address string
	tokens  int
}

const (
	// minFetch is the least number of tokens that are worth a copy.
	minFetch = 256
	// fetchCost ranks an endpoint that has to copy a token behind one that has it: copies
	// are priced.
	fetchCost = 10 * time.Microsecond
)

// donor finds where the prompt's beginning can be copied from.
func (g *group) donor(now time.Time, r *Request) donor {
	var best donor
	for _, e := range g.ordered {
		if !e.model || e.known.Leaving || e.avoided(now) {
			continue
		}
		if n := e.cache.length(r.Prefixes); n > best.tokens {
			best = donor{e.known.Address, n}
		}
	}
	return best
}

// penalty ranks endpoints by what a choice costs others.
func (g *group) penalty(now time.Time, e *endpoint, c *Choice, dataCentre string) time.Duration {
	p := time.Duration(c.InFlight) * runningCost
	if e.model {
		// Reading the prompt delays the streams that run there as well.
		p += readTime(c.UncachedTokens) + time.Duration(c.FetchTokens)*fetchCost
	}
	if e.known.DataCentre != dataCentre {
		p += otherDataCentreCost
	}
	return p
}

const (
	// homeSpread is the most by which the home endpoint of a document is preferred: all
	// hosts then send what nobody has read yet to the same one.
	homeSpread = 40 * time.Millisecond
	// randomSpread keeps hosts from choosing the same of two equal endpoints.
	randomSpread = 2 * time.Millisecond
)

// homeKey is the key of the longest prefix that other requests share; zero if none.
func homeKey(prefixes []Prefix) uint64 {
	if len(prefixes) < 2 {
		return 0
	}
	return prefixes[len(prefixes)-2].Key
}

func tieBreak(rnd uint64, index int, home uint64, id string) time.Duration {
	if home != 0 {
		return time.Duration(mix(home^xxhash.Sum64String(id)) % uint64(homeSpread))
	}
	return time.Duration(mix(rnd+uint64(index)) % uint64(randomSpread))
}

// mix spreads a word's bits evenly.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
