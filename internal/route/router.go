package route

import (
	"sync"
	"sync/atomic"
	"time"

	"rattanchute/internal/backpressure"
	"rattanchute/internal/engine"
	"rattanchute/internal/fleet"
)

// Router selects endpoints. It is safe for concurrent use.
type Router struct {
	localDataCentre string
	view            atomic.Pointer[view]
	cache           *cacheIndex
	disabled        Mechanism
	// signalLog may be nil.
	signalLog SignalLog
	// limitSharers are the daemons that share the endpoints' rate limits; nil before they are known.
	limitSharers atomic.Pointer[backpressure.Hosts]

	// mu guards the maps and the replacement of view; the states in the maps have their own
	// locks.
	mu           sync.RWMutex
	endpoints    map[string]*endpointState
	hosts        map[string]*hostState
	popularities map[string]*popularity
}

// Result is how an attempt ended.
type Result struct {
	// OK means that the endpoint answered correctly.
	OK bool
	// Failed means that the endpoint caused the failure. A cancellation by the caller is
	// neither OK nor Failed.
	Failed bool
	// FirstToken is the time to the first token, or to the response of a call; zero if there was none.
	FirstToken time.Duration
	// Duration is how long the attempt occupied the endpoint, zero if that was not measured.
	Duration time.Duration
}

// NewRouter returns a router with an empty table for a node in the data centre.
func NewRouter(localDataCentre string) *Router {
	r := &Router{
		localDataCentre: localDataCentre,
		cache:           newCacheIndex(),
		endpoints:       make(map[string]*endpointState),
		hosts:           make(map[string]*hostState),
		popularities:    make(map[string]*popularity),
	}
	r.SetTable(Compile(&fleet.Configuration{}))
	return r
}

// Table returns the table in force.
func (r *Router) Table() *Table { return r.view.Load().table }

// SetTable replaces the table. The state of an endpoint is kept if the new table contains it or
// if it has requests in flight; host phases, popularities and the cache index are kept in any case.
func (r *Router) SetTable(table *Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.buildView(table)
	r.dropIdleEndpoints(v)
	r.view.Store(v)
}

func (r *Router) buildView(table *Table) *view {
	v := &view{
		table:  table,
		lists:  make(map[listKey]*liveList, len(table.lists)),
		pools:  make(map[string]*pool),
		byName: make(map[string]*target, len(table.endpoints)),

		byAddress: make(map[string]*target, len(table.endpoints)),
	}
	region := table.regionOf(r.localDataCentre)
	for i := range table.endpoints {
		v.addTarget(r.newTarget(&table.endpoints[i], region))
	}
	for key, list := range table.lists {
		v.lists[key] = v.liveList(list, r.popularityLocked(key.fleet))
	}
	return v
}

func (r *Router) newTarget(info *endpointInfo, region string) *target {
	return &target{
		info:  info,
		state: r.endpointLocked(info.endpoint.Name),
		host:  r.hostLocked(info.endpoint.Host),
		rtt:   networkRTT(info, r.localDataCentre, region),
	}
}

func networkRTT(info *endpointInfo, dataCentre, region string) time.Duration {
	switch {
	case info.host.DataCentre == dataCentre:
		return 0
	case info.dataCentre.Region == region:
		return crossDataCentreRTT
	default:
		return crossRegionRTT
	}
}

func (v *view) addTarget(t *target) {
	name := t.info.endpoint.Fleet
	if v.pools[name] == nil {
		v.pools[name] = &pool{}
	}
	t.pool = v.pools[name]
	t.pool.members = append(t.pool.members, t)
	v.targets = append(v.targets, t)
	v.byName[t.info.endpoint.Name] = t
	v.byAddress[t.info.endpoint.Address] = t
}

func (v *view) liveList(list *candidates, popularity *popularity) *liveList {
	live := &liveList{candidates: list, targets: make([]*target, len(list.endpoint)), popularity: popularity}
	for i, index := range list.endpoint {
		live.targets[i] = v.targets[index]
	}
	return live
}

// dropIdleEndpoints deletes the state of endpoints that are not in the view and have no request
// in flight.
func (r *Router) dropIdleEndpoints(v *view) {
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
	p := r.popularities[fleetName]
	if p == nil {
		p = &popularity{}
		r.popularities[fleetName] = p
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

// SetHostState merges the phase of an instance of a host; phases only advance. What the endpoints of
// another instance of the host said in their responses is forgotten when a new one lives.
func (r *Router) SetHostState(state fleet.HostState) {
	r.mu.Lock()
	host := r.hostLocked(state.Host)
	r.mu.Unlock()
	if !host.merge(state.Instance, state.Phase) {
		return
	}
	for _, t := range r.view.Load().targets {
		if t.host == host {
			t.state.signals.restart()
		}
	}
}

// state returns the state of an endpoint, including one that the table no longer contains; nil
// if there is none.
func (r *Router) state(endpoint string) *endpointState {
	if t := r.view.Load().byName[endpoint]; t != nil {
		return t.state
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.endpoints[endpoint]
}

// Begin counts an attempt as in flight at the endpoint. It has no effect if the router has no
// state of the endpoint.
func (r *Router) Begin(endpoint string) {
	if state := r.state(endpoint); state != nil {
		state.inFlight.Add(1)
	}
}

// End removes an attempt that Begin counted and updates the endpoint's state from its result.
func (r *Router) End(now time.Time, endpoint string, result Result) {
	state := r.state(endpoint)
	if state == nil {
		return
	}
	state.decrementInFlight()
	state.observeDuration(result.Duration)
	t := r.view.Load().byName[endpoint]
	if result.Failed && t != nil && !r.disabled.has(MechanismEjection) {
		t.pool.recordFailure(now, t)
	}
	if result.OK {
		state.recordSuccess(now)
	}
}

// decrementInFlight removes one request from the count, unless the count is zero.
func (s *endpointState) decrementInFlight() {
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

// ObserveLoad records an engine's load report. A report that was not generated after the last one
// is ignored, unless it has no generation time or the last one was received more than maxReportAge
// ago.
func (r *Router) ObserveLoad(now time.Time, endpoint string, load engine.Load) {
	if state := r.state(endpoint); state != nil {
		state.observe(now, load)
	}
}

// ObserveCache records what an endpoint's prompt cache has added or dropped.
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
