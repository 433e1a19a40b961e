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
	// planEvery is the time between two plans.
	planEvery = time.Second
	// refusalMemory is how long after a refusal reclaimable endpoints count as not to be had.
	refusalMemory = 4 * time.Second
	// demandKnownAfter is how long callers must have asked before endpoints that stood there
	// at the start are given back.
	demandKnownAfter = 6 * time.Second
	// settlingTime is how long after the first endpoint was seen the others may take to
	// register.
	settlingTime = 3 * time.Second
	// startNeedShare of the endpoints that stand at the start are planned for until then.
	startNeedShare = 0.65
	// minimumRate is planned for while callers ask for less, such as before the first.
	minimumRate = 20.0
	// defaultSlots is taken for a fleet whose engines are not described.
	defaultSlots = 64
	// typicalPrompt and typicalOutput are assumed of the requests until some were seen.
	typicalPrompt = 4000.0
	typicalOutput = 200.0
)

// Sources give what a plan depends on.
type Sources struct {
	// Configuration is nil until one is in force.
	Configuration func() *fleet.Configuration
	Endpoints     func() []registry.Known
	// Demand is that of all hosts by fleet.
	Demand      func(now time.Time) map[string]heartbeat.FleetDemand
	DataCentres []string
}

// Planner works out the wanted numbers of endpoints. It is used by one goroutine.
type Planner struct {
	sources Sources
	holds   map[string]*capacity.PeakDemand
	// refusedAt is when reclaimable endpoints of a fleet could last not be had anywhere.
	refusedAt map[string]time.Time
	plannedAt time.Time
	last      []DesiredOrder
	// askedSince is when callers were first seen to ask for a fleet.
	askedSince map[string]time.Time
	// standing is the most on-demand endpoints of a fleet seen before that.
	standing map[string]int
	// seenSince is when endpoints of a fleet were first seen.
	seenSince map[string]time.Time
}

// DesiredOrder is an order that should be in force, and what is there of it.
type DesiredOrder struct {
	Order
	// Present are the endpoints that serve and stay.
	Present int
	// BootTime is how long an ordered endpoint takes to serve.
	BootTime time.Duration
	// NeededEngines is the number of engines that the plan counts on, and Rate the requests a second
	// that it is for.
	NeededEngines float64
	RequestRate   float64
}

// NewPlanner returns a planner.
func NewPlanner(s Sources) *Planner {
	slices.Sort(s.DataCentres)
	return &Planner{sources: s, holds: map[string]*capacity.PeakDemand{}, refusedAt: map[string]time.Time{}, askedSince: map[string]time.Time{}, standing: map[string]int{}, seenSince: map[string]time.Time{}}
}

// Plan returns the orders that should be in force now.
func (p *Planner) Plan(now time.Time) []DesiredOrder {
	if now.Sub(p.plannedAt) < planEvery {
		return p.last
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
	p.last = out
	return out
}

func (p *Planner) planFleet(now time.Time, f *fleet.Fleet, d heartbeat.FleetDemand, known []registry.Known) []DesiredOrder {
	snapshot := capacity.EndpointSnapshot{
		Demand:                p.hold(now, f, d),
		Min:                   f.Scaling.Min,
		Max:                   f.Scaling.Max,
		ReclaimablePriceRatio: f.Scaling.ReclaimablePriceRatio,
	}
	for _, dc := range p.sources.DataCentres {
		price, offered := f.Scaling.Prices[dc]
		if !offered {
			continue
		}
		site := capacity.DataCentreEndpoints{DataCentre: dc, Price: price}
		for _, k := range known {
			if k.Fleet != f.Name || k.DataCentre != dc || k.Leaving {
				continue
			}
			if k.Reclaimable {
				site.Reclaimable++
			} else {
				site.OnDemand++
			}
		}
		snapshot.PerDataCentre = append(snapshot.PerDataCentre, site)
	}
	snapshot.MinEngines = p.needAtStart(now, f.Name, d, snapshot.PerDataCentre)
	refused, ok := p.refusedAt[f.Name]
	snapshot.ReclaimableRefused = ok && now.Sub(refused) < refusalMemory
	settling := p.settling(now, f.Name, snapshot.PerDataCentre)
	snapshot.KeepOnDemand = settling
	wanted := wantedList(f, snapshot)
	if settling {
		// Nobody knows yet how many there are, so that no number can be told to keep them.
		wanted = slices.DeleteFunc(wanted, func(w DesiredOrder) bool { return !w.Reclaimable })
	}
	for i := range wanted {
		wanted[i].NeededEngines = max(capacity.EnginesNeeded(snapshot.Demand), snapshot.MinEngines)
		wanted[i].RequestRate = snapshot.Demand.RequestsPerSecond
	}
	return wanted
}

// settling reports whether endpoints may still be registering after the start.
func (p *Planner) settling(now time.Time, name string, sites []capacity.DataCentreEndpoints) bool {
	since, seen := p.seenSince[name]
	if seen {
		return now.Sub(since) < settlingTime
	}
	for _, s := range sites {
		if s.OnDemand+s.Reclaimable > 0 {
			p.seenSince[name] = now
		}
	}
	return true
}

// needAtStart is what to plan for until callers have asked for a while: somebody chose the
// number of endpoints that stood there first.
func (p *Planner) needAtStart(now time.Time, name string, d heartbeat.FleetDemand, sites []capacity.DataCentreEndpoints) float64 {
	since, asked := p.askedSince[name]
	if !asked && d.RequestsPerSecond > 0 {
		p.askedSince[name] = now
	}
	if asked && now.Sub(since) >= demandKnownAfter {
		return 0
	}
	standing := 0
	for _, s := range sites {
		standing += s.OnDemand
	}
	p.standing[name] = max(p.standing[name], standing)
	return startNeedShare * float64(p.standing[name])
}

func wantedList(f *fleet.Fleet, s capacity.EndpointSnapshot) []DesiredOrder {
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

func (p *Planner) hold(now time.Time, f *fleet.Fleet, d heartbeat.FleetDemand) capacity.EngineDemand {
	h := p.holds[f.Name]
	if h == nil {
		h = &capacity.PeakDemand{}
		p.holds[f.Name] = h
	}
	demand := capacity.EngineDemand{
		RequestsPerSecond: max(d.RequestsPerSecond, minimumRate),
		PromptTokens:      d.PromptTokens,
		OutputTokens:      d.OutputTokens,
		Slots:             defaultSlots,
	}
	if f.Engine != nil {
		demand.Slots = f.Engine.Slots
	}
	if d.RequestsPerSecond == 0 {
		demand.PromptTokens, demand.OutputTokens = typicalPrompt, typicalOutput
	}
	return h.Update(now, demand)
}

// ObserveResult takes in how the platform answered an order.
func (p *Planner) ObserveResult(now time.Time, o Order, err error) {
	if errors.Is(err, ErrNoneAvailable) && o.Reclaimable {
		p.refusedAt[o.Fleet] = now
	}
}
