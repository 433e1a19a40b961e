package fairshare

import (
	"sync"
	"time"
)

// Table holds the demand for each fleet and the shares in it. It is safe for concurrent use; each fleet has its own
// lock.
type Table struct {
	mu sync.RWMutex
	// weights are those of the organisations; shares need at least two.
	weights map[string]float64
	pools   map[string]*pool
}

// pool is a fleet.
type pool struct {
	mu       sync.Mutex
	members  map[string]*member
	peers    map[string]peerDemand
	services map[string]*service
	room     Room
	// refreshedAt is when the room was set last.
	refreshedAt time.Time
	// usedAt is when the last request was decided on.
	usedAt time.Time
	control
	// level is the dominant share that is granted for a weight of one; meaningful while short.
	level float64
	// delay is that of this host's requests.
	delay delay
	// claims are the demands of the organisations, and unlimited the demand that is not limited.
	claims    []claim
	unlimited Cost
}

// Organisation is an organisation of the configuration; a weight of zero counts as one.
type Organisation struct {
	Name   string
	Weight float64
}

// NewTable returns a table without organisations, which grants every request.
func NewTable() *Table {
	return &Table{pools: map[string]*pool{}}
}

// Configure sets the organisations and the fleets. The state of fleets that remain is kept. An organisation without a name
// is left out: the empty name stands for callers without an organisation.
func (t *Table) Configure(organisations []Organisation, fleets []string) {
	weights := make(map[string]float64, len(organisations))
	for _, o := range organisations {
		if o.Name == "" {
			continue
		}
		weights[o.Name] = o.Weight
		if o.Weight <= 0 {
			weights[o.Name] = 1
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.weights = weights
	pools := make(map[string]*pool, len(fleets))
	for _, name := range fleets {
		p := t.pools[name]
		if p == nil {
			p = newPool()
		}
		pools[name] = p
	}
	t.pools = pools
}

func newPool() *pool {
	p := &pool{members: map[string]*member{}, peers: map[string]peerDemand{}, services: map[string]*service{}}
	p.control.reset()
	return p
}

// pool returns the state of a fleet and the organisations' weights; nil if room is not shared there.
func (t *Table) pool(name string) (*pool, map[string]float64) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if len(t.weights) < 2 {
		return nil, nil
	}
	return t.pools[name], t.weights
}

// Active lists the fleets for which the room is to be set: those with recent requests through this host.
func (t *Table) Active(now time.Time) []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if len(t.weights) < 2 {
		return nil
	}
	var out []string
	for name, p := range t.pools {
		p.mu.Lock()
		if !p.usedAt.IsZero() && now.Sub(p.usedAt) <= idleTimeout {
			out = append(out, name)
		}
		p.mu.Unlock()
	}
	return out
}
