package duty

import (
	"errors"
	"slices"
	"time"

	"rattanchute/internal/capacity"
	"rattanchute/internal/fleet"
	"rattanchute/internal/heartbeat"
	"rattanchute/internal/registry"
)

const (
	// planInterval is the minimum time between two plans.
	planInterval = time.Second
	// unavailableTTL is how long reclaimable endpoints are treated as unavailable after the
	// platform had none.
	unavailableTTL = 4 * time.Second
	// demandWarmup is the time after the first observed requests for a fleet during which the
	// measured demand alone does not decide how many endpoints are given up.
	demandWarmup = 6 * time.Second
	// registrationTime is the time after a fleet's first endpoint was seen in which the others
	// that existed at the start register.
	registrationTime = 3 * time.Second
	// startupNeedShare sets the least number of engines to plan for until demandWarmup has
	// passed: this share of the on-demand endpoints that existed at the start.
	startupNeedShare = 0.65
	// minRequestsPerSecond is planned for while the demand is lower, for example before the
	// first request.
	minRequestsPerSecond = 20.0
	// defaultSlots is the number of slots of an engine if the fleet does not describe its
	// engines.
	defaultSlots = 64
	// defaultPromptTokens and defaultOutputTokens are the assumed sizes of a request while no
	// requests are observed.
	defaultPromptTokens = 4000.0
	defaultOutputTokens = 200.0
)

// Sources provide what a plan depends on.
type Sources struct {
	// Configuration returns nil until a configuration is in force.
	Configuration func() *fleet.Configuration
	Endpoints     func() []registry.Known
	// RateLimit returns how many requests a second an endpoint accepts; false if it states no limit.
	RateLimit func(e *registry.Endpoint) (perSecond float64, limited bool)
	// Demand returns the demand of all hosts by fleet.
	Demand      func(now time.Time) map[string]heartbeat.FleetDemand
	DataCentres []string
}

// Planner computes the desired numbers of endpoints. It is not safe for concurrent use.
type Planner struct {
	sources Sources
	peaks   map[string]*capacity.PeakDemand
	// noneAvailableAt is when the platform last had no reclaimable endpoints for a fleet in some
	// data centre.
	noneAvailableAt map[string]time.Time
	plannedAt       time.Time
	lastPlan        []DesiredOrder
	// demandSince is when the first requests for a fleet were observed.
	demandSince map[string]time.Time
	// startupOnDemand is the largest number of on-demand endpoints of a fleet that was seen
	// before demandWarmup had passed.
	startupOnDemand map[string]int
	// seenSince is when endpoints of a fleet were first seen.
	seenSince map[string]time.Time
}

// DesiredOrder is an order that should be in force, with its current state.
type DesiredOrder struct {
	Order
	// Present is the number of such endpoints that are registered and not leaving.
	Present int
	// BootTime is how long an ordered endpoint takes until it serves.
	BootTime time.Duration
	// NeededEngines is the number of engines that the fleet needs in all data centres, and
	// RequestRate the demand in requests per second that the plan is made for.
	NeededEngines float64
	RequestRate   float64
}

// NewPlanner returns a planner. It sorts s.DataCentres in place.
func NewPlanner(s Sources) *Planner {
	slices.Sort(s.DataCentres)
	return &Planner{
		sources: s, peaks: map[string]*capacity.PeakDemand{}, noneAvailableAt: map[string]time.Time{},
		demandSince: map[string]time.Time{}, startupOnDemand: map[string]int{}, seenSince: map[string]time.Time{},
	}
}

// Plan returns the orders that should be in force; none until a configuration is. It returns the
// previous plan again if that was made less than planInterval ago.
func (p *Planner) Plan(now time.Time) []DesiredOrder {
	if now.Sub(p.plannedAt) < planInterval {
		return p.lastPlan
	}
	c := p.sources.Configuration()
	if c == nil {
		return nil
	}
	p.plannedAt = now
	var out []DesiredOrder
	demand := p.sources.Demand(now)
	known := p.sources.Endpoints()
	for i := range c.Fleets {
		if f := &c.Fleets[i]; f.Scaling != nil {
			out = append(out, p.planFleet(now, f, demand[f.Name], known)...)
		}
	}
	p.lastPlan = out
	return out
}

func (p *Planner) planFleet(now time.Time, f *fleet.Fleet, d heartbeat.FleetDemand, known []registry.Known) []DesiredOrder {
	snapshot := capacity.EndpointSnapshot{
		Demand:                p.plannedDemand(now, f, d),
		Min:                   f.Scaling.Min,
		Max:                   f.Scaling.Max,
		ReclaimablePriceRatio: f.Scaling.ReclaimablePriceRatio,
	}
	for _, dc := range p.sources.DataCentres {
		price, offered := f.Scaling.Prices[dc]
		if !offered {
			continue
		}
		endpoints := capacity.DataCentreEndpoints{DataCentre: dc, Price: price}
		for _, k := range known {
			if k.Fleet != f.Name || k.DataCentre != dc || k.Leaving {
				continue
			}
			if limit, limited := p.sources.RateLimit(&k.Endpoint); limited {
				snapshot.RateLimits = append(snapshot.RateLimits, limit)
			}
			if k.Reclaimable {
				endpoints.Reclaimable++
			} else {
				endpoints.OnDemand++
			}
		}
		snapshot.PerDataCentre = append(snapshot.PerDataCentre, endpoints)
	}
	snapshot.MinEngines = p.startupNeed(now, f.Name, d, snapshot.PerDataCentre)
	noneAvailable, ok := p.noneAvailableAt[f.Name]
	snapshot.ReclaimableRefused = ok && now.Sub(noneAvailable) < unavailableTTL
	registering := p.registering(now, f.Name, snapshot.PerDataCentre)
	snapshot.KeepOnDemand = registering
	desired := desiredOrders(f, snapshot)
	if registering {
		// The number of on-demand endpoints is not known yet, so no order can ask to keep them.
		desired = slices.DeleteFunc(desired, func(order DesiredOrder) bool { return !order.Reclaimable })
	}
	for i := range desired {
		desired[i].NeededEngines = max(capacity.EnginesNeeded(snapshot.Demand), snapshot.MinEngines)
		desired[i].RequestRate = snapshot.Demand.RequestsPerSecond
	}
	return desired
}

// registering reports whether endpoints of the fleet may still be registering after the start. That
// is so while none has been seen, and until registrationTime after the first one was.
func (p *Planner) registering(now time.Time, name string, perDataCentre []capacity.DataCentreEndpoints) bool {
	since, seen := p.seenSince[name]
	if seen {
		return now.Sub(since) < registrationTime
	}
	for _, dc := range perDataCentre {
		if dc.OnDemand+dc.Reclaimable > 0 {
			p.seenSince[name] = now
		}
	}
	return true
}

// startupNeed returns the least number of engines to plan for until demandWarmup has passed since
// the first requests, and zero afterwards. Until then, the number of endpoints that existed at the
// start is the best estimate, because an operator chose it.
func (p *Planner) startupNeed(
	now time.Time, name string, d heartbeat.FleetDemand, perDataCentre []capacity.DataCentreEndpoints,
) float64 {
	since, hadDemand := p.demandSince[name]
	if !hadDemand && d.RequestsPerSecond > 0 {
		p.demandSince[name] = now
	}
	if hadDemand && now.Sub(since) >= demandWarmup {
		return 0
	}
	startupOnDemand := 0
	for _, dc := range perDataCentre {
		startupOnDemand += dc.OnDemand
	}
	p.startupOnDemand[name] = max(p.startupOnDemand[name], startupOnDemand)
	return startupNeedShare * float64(p.startupOnDemand[name])
}

func desiredOrders(f *fleet.Fleet, s capacity.EndpointSnapshot) []DesiredOrder {
	var out []DesiredOrder
	for i, c := range capacity.PlanEndpointCounts(s) {
		out = append(out, DesiredOrder{
			Order:    Order{Fleet: f.Name, DataCentre: c.DataCentre, Reclaimable: true, Count: c.Reclaimable},
			Present:  s.PerDataCentre[i].Reclaimable,
			BootTime: f.Scaling.BootTime,
		}, DesiredOrder{
			Order:    Order{Fleet: f.Name, DataCentre: c.DataCentre, Count: c.OnDemand},
			Present:  s.PerDataCentre[i].OnDemand,
			BootTime: f.Scaling.BootTime,
		})
	}
	return out
}

func (p *Planner) plannedDemand(now time.Time, f *fleet.Fleet, d heartbeat.FleetDemand) capacity.EngineDemand {
	peak := p.peaks[f.Name]
	if peak == nil {
		peak = &capacity.PeakDemand{}
		p.peaks[f.Name] = peak
	}
	demand := capacity.EngineDemand{
		RequestsPerSecond: max(d.RequestsPerSecond, minRequestsPerSecond),
		PromptTokens:      d.PromptTokens,
		OutputTokens:      d.OutputTokens,
		Slots:             defaultSlots,
	}
	if f.Engine != nil {
		demand.Slots = f.Engine.Slots
	}
	if d.RequestsPerSecond == 0 {
		demand.PromptTokens, demand.OutputTokens = defaultPromptTokens, defaultOutputTokens
	}
	return peak.Update(now, demand)
}

// ObserveResult records that the platform had no endpoints for an order of reclaimable ones. Other
// results change nothing.
func (p *Planner) ObserveResult(now time.Time, o Order, err error) {
	if errors.Is(err, ErrNoneAvailable) && o.Reclaimable {
		p.noneAvailableAt[o.Fleet] = now
	}
}
