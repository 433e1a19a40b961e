package route

import (
	"sync"
	"sync/atomic"
	"time"

	"rattanchute/internal/engine"
	"rattanchute/internal/fleet"
)

// Router chooses endpoints. All methods may be called from any goroutine.
type Router struct {
	localDataCentre string
	view            atomic.Pointer[view]
	cache           *cacheIndex
	off             Mechanism

	// mu guards the maps and the change of view; what they hold has its own locks.
	mu        sync.RWMutex
	endpoints map[string]*endpointState
	hosts     map[string]*hostState
	fleets    map[string]*popularity
}

// Result is how an attempt ended.
type Result struct {
	// OK: the endpoint answered as it should.
	OK bool
	// Failed: the endpoint is to blame; a caller that goes away blames nobody.
	Failed bool
	// FirstToken is the time to the first token, zero if none came.
	FirstToken time.Duration
	// Duration is how long the attempt held the endpoint, zero if not measured.
	Duration time.Duration
}

// NewRouter makes a router with an empty table for a node in the data centre.
func NewRouter(localDataCentre string) *Router {
	r := &Router{
		localDataCentre: localDataCentre,
		cache:           newCacheIndex(),
		endpoints:       make(map[string]*endpointState),
		hosts:           make(map[string]*hostState),
		fleets:          make(map[string]*popularity),
	}
	r.SetTable(Compile(&fleet.Configuration{}))
	return r
}

// Table is the one in force.
func (r *Router) Table() *Table { return r.view.Load().table }

// SetTable puts a table in force; the state of endpoints that it still names stays.
func (r *Router) SetTable(table *Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.join(table)
	r.forgetEndpoints(v)
	r.view.Store(v)
}

func (r *Router) join(table *Table) *view {
	v := &view{
		table:  table,
		lists:  make(map[listKey]*liveList, len(table.lists)),
		groups: make(map[string]*group),
		byName: make(map[string]*target, len(table.endpoints)),
	}
	region := table.regionOf(r.localDataCentre)
	for i := range table.endpoints {
		v.add(r.newTarget(&table.endpoints[i], region))
	}
	for key, list := range table.lists {
		v.lists[key] = v.liveList(list, r.popularityLocked(key.fleet))
	}
	return v
}

func (r *Router) newTarget(info *endpointInfo, region string) *target {
	return &target{
		info:    info,
		state:   r.endpointLocked(info.endpoint.Name),
		host:    r.hostLocked(info.endpoint.Host),
		network: networkDelay(info, r.localDataCentre, region),
	}
}

func networkDelay(info *endpointInfo, dataCentre, region string) time.Duration {
	switch {
	case info.host.DataCentre == dataCentre:
		return 0
	case info.dataCentre.Region == region:
		return dataCentreDelay
	default:
		return regionDelay
	}
}

func (v *view) add(t *target) {
	name := t.info.endpoint.Fleet
	if v.groups[name] == nil {
		v.groups[name] = &group{}
	}
	t.group = v.groups[name]
	t.group.members = append(t.group.members, t)
	v.targets = append(v.targets, t)
	v.byName[t.info.endpoint.Name] = t
}

func (v *view) liveList(list *candidates, popularity *popularity) *liveList {
	live := &liveList{candidates: list, targets: make([]*target, len(list.endpoint)), popularity: popularity}
	for i, index := range list.endpoint {
		live.targets[i] = v.targets[index]
	}
	return live
}

// forgetEndpoints drops the state of idle endpoints that the view does not name.
func (r *Router) forgetEndpoints(v *view) {
	for name, state := range r.endpoints {
		if v.byName[name] == nil && state.inFlight.Load() == 0 {
			delete(r.endpoints, name)
		}
	}
}

func (r *Router) endpointLocked(name string) *endpointState {
	state := r.endpoints[name]
	if state == nil {
		state = &endpointState{}
		r.endpoints[name] = state
	}
	return state
}

func (r *Router) popularityLocked(fleetName string) *popularity {
	p := r.fleets[fleetName]
	if p == nil {
		p = &popularity{}
		r.fleets[fleetName] = p
	}
	return p
}

func (r *Router) hostLocked(name string) *hostState {
	host := r.hosts[name]
	if host == nil {
		host = newHostState()
		r.hosts[name] = host
	}
	return host
}

// SetHostState merges what is known of an instance of a host: its phase only rises.
func (r *Router) SetHostState(state fleet.HostState) {
	r.mu.Lock()
	host := r.hostLocked(state.Host)
	r.mu.Unlock()
	host.merge(state.Instance, state.Phase)
}

// state finds an endpoint's state, also that of one the table no longer names.
func (r *Router) state(endpoint string) *endpointState {
	if t := r.view.Load().byName[endpoint]; t != nil {
		return t.state
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.endpoints[endpoint]
}

// Begin counts an attempt as in flight at the endpoint.
func (r *Router) Begin(endpoint string) {
	if state := r.state(endpoint); state != nil {
		state.inFlight.Add(1)
	}
}

// End takes an attempt that Begin counted off again and learns from how it ended.
func (r *Router) End(now time.Time, endpoint string, result Result) {
	state := r.state(endpoint)
	if state == nil {
		return
	}
	state.leave()
	state.observeDuration(result.Duration)
	t := r.view.Load().byName[endpoint]
	if result.Failed && t != nil && !r.off.has(MechanismEjection) {
		t.group.fail(now, t)
	}
	if result.OK {
		state.succeed(now)
	}
}

// leave takes one request off; an End without its Begin changes nothing.
func (s *endpointState) leave() {
	for {
		old := s.inFlight.Load()
		if old == 0 {
			return
		}
		if s.inFlight.CompareAndSwap(old, old-1) {
			return
		}
	}
}

// ObserveLoad takes in an engine's report. One older than the last is ignored.
func (r *Router) ObserveLoad(now time.Time, endpoint string, load engine.Load) {
	if state := r.state(endpoint); state != nil {
		state.observe(now, load)
	}
}

// ObserveCache takes in what an endpoint's prompt cache holds or has dropped.
func (r *Router) ObserveCache(endpoint string, events []engine.CacheEvent) {
	hash := hashName(endpoint)
	for _, event := range events {
		if event.Dropped {
			r.cache.remove(event.Prefix, hash)
			continue
		}
		r.cache.add(event.Prefix, hash)
	}
}
