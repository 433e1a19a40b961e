package capacity

import (
	"slices"
	"time"

	"rattanchute/internal/invariant"
)

// Plan decides what to do now. The same snapshot always gives the same plan, and a
// snapshot in which the plan was carried out gives an empty one.
func Plan(s Snapshot) Result {
	p := newPlanner(s)
	p.result.State.Refusals = p.keptRefusals()
	p.stopEmpty()
	for _, d := range s.Demands {
		p.planFleet(d)
	}
	p.load()
	p.check()
	return p.result
}

type planner struct {
	snapshot Snapshot
	result   Result
	loading  int
	started  int
	// dataCentres are the names in order of their index.
	dataCentres []string
	// reclaiming are the placements from which the cloud takes hosts back now.
	reclaiming []Placement
}

func newPlanner(s Snapshot) *planner {
	p := &planner{snapshot: s}
	for i := range s.Hosts {
		h := &s.Hosts[i]
		if !slices.Contains(p.dataCentres, h.DataCentre) {
			p.dataCentres = append(p.dataCentres, h.DataCentre)
		}
		if h.Phase == PhaseLoading {
			p.loading++
		}
		if place := h.Placement(); h.Phase == PhaseLeaving && !h.Deadline.IsZero() && !slices.Contains(p.reclaiming, place) {
			p.reclaiming = append(p.reclaiming, place)
		}
	}
	return p
}

func (p *planner) act(a Action) { p.result.Actions = append(p.result.Actions, a) }

// stopEmpty gives back hosts that are leaving and were seen empty after each node had
// heard that they leave.
func (p *planner) stopEmpty() {
	for i := range p.snapshot.Hosts {
		h := &p.snapshot.Hosts[i]
		settled := h.Since.Add(p.snapshot.Settings.DrainPropagationTime)
		if h.Phase == PhaseLeaving && h.Idle && !h.ReportedAt.Before(settled) {
			p.act(Action{Kind: ActionStop, Host: h.Name})
		}
	}
}

func (p *planner) planFleet(d Demand) {
	n := p.needOf(d)
	running, startable := p.offers(d)
	chosen := p.choose(n, running, startable)
	if lack := chosen.shortfall(); lack > 0 {
		p.result.Shortfalls = append(p.result.Shortfalls, Shortfall{d.Fleet, lack})
	}
	p.start(chosen)
	p.drain(n, chosen, running)
}

// needOf looks ahead by the time that a host takes to be ready.
func (p *planner) needOf(d Demand) need {
	set := &p.snapshot.Settings
	lead := (set.BootTime + set.LoadTime).Seconds()
	calm := max(d.RequestsPerSecond+max(d.Growth, 0)*lead, set.MinimumRate)
	return need{calm: calm, afterLoss: calm * (1 - set.ShedShare), tolerance: set.Tolerance, dataCentres: len(p.dataCentres)}
}

// offers are the fleet's hosts that run or are on their way, and those that may be
// started now.
func (p *planner) offers(d Demand) (running, startable []offer) {
	rates := p.rates(d)
	for i := range p.snapshot.Hosts {
		h := &p.snapshot.Hosts[i]
		if h.Fleet != d.Fleet {
			continue
		}
		o := offer{h, rates[h.Class], slices.Index(p.dataCentres, h.DataCentre)}
		switch {
		case h.committed():
			running = append(running, o)
		case o.rate > 0 && h.Phase == PhaseStopped && p.mayStart(h):
			startable = append(startable, o)
		}
	}
	return running, startable
}

// rates are what a host of each class serves.
func (p *planner) rates(d Demand) map[string]float64 {
	rates := make(map[string]float64, len(p.snapshot.Classes))
	for _, c := range p.snapshot.Classes {
		rates[c.Name] = Throughput(c, d, p.snapshot.Settings.Target)
	}
	return rates
}

// mayStart excludes placements that refused a start or that are being reclaimed.
func (p *planner) mayStart(h *Host) bool {
	place := h.Placement()
	return !p.snapshot.State.InBackoff(p.snapshot.Now, place) && !slices.Contains(p.reclaiming, place)
}

// choose grows or trims what runs, unless a fresh choice saves enough.
func (p *planner) choose(n need, running, startable []offer) *selection {
	grown := cheapest(n, running, startable)
	usable := slices.DeleteFunc(slices.Clone(running), func(o offer) bool { return o.rate <= 0 })
	fresh := cheapest(n, nil, slices.Concat(usable, startable))
	lackGrown, lackFresh := grown.shortfall(), fresh.shortfall()
	if lackFresh < lackGrown-rounding {
		return fresh
	}
	if lackGrown < lackFresh-rounding {
		return grown
	}
	if float64(fresh.cost) < float64(grown.cost)*(1-p.snapshot.Settings.MinReplacementSaving) {
		return fresh
	}
	return grown
}

// start begins the chosen hosts that do not run yet, as many as the weight store can
// serve when they have booted. A placement that refused before is tried with one.
func (p *planner) start(chosen *selection) {
	tried := map[Placement]bool{}
	offers := slices.Clone(chosen.offers)
	slices.SortStableFunc(offers, compareValue)
	for _, o := range offers {
		if o.host.Phase != PhaseStopped || p.warming() >= p.maxWarming() {
			continue
		}
		place := o.host.Placement()
		if tried[place] && p.snapshot.State.failures(place) > 0 {
			continue
		}
		tried[place] = true
		p.started++
		p.act(Action{Kind: ActionStart, Host: o.host.Name})
	}
}

// warming counts the hosts that are started and not ready.
func (p *planner) warming() int {
	count := p.started
	for i := range p.snapshot.Hosts {
		switch p.snapshot.Hosts[i].Phase {
		case PhaseBooting, PhaseWaiting, PhaseLoading:
			count++
		}
	}
	return count
}

// maxWarming lets so many hosts boot that each finds the weight store free.
func (p *planner) maxWarming() int {
	set := &p.snapshot.Settings
	if set.ParallelLoads <= 0 {
		return len(p.snapshot.Hosts)
	}
	rounds := 1
	if set.LoadTime > 0 {
		rounds += int((set.BootTime + set.LoadTime - 1) / set.LoadTime)
	}
	return set.ParallelLoads * rounds
}

// drain lets go of hosts that were not chosen for the hold time, as long as the hosts
// that are ready carry the need without them.
func (p *planner) drain(n need, chosen *selection, running []offer) {
	ready := newSelection(n)
	var surplus []offer
	for _, o := range running {
		if o.host.Phase == PhaseReady {
			ready.add(o)
		}
		if !chosen.contains(o.host.Name) {
			surplus = append(surplus, o)
		}
	}
	slices.SortStableFunc(surplus, func(a, b offer) int { return compareValue(b, a) })
	for _, o := range surplus {
		since := p.snapshot.State.heldSince(p.snapshot.Now, o.host.Name)
		if p.mayDrain(ready, o, since) {
			ready.count(o, -1)
			p.act(Action{Kind: ActionDrain, Host: o.host.Name})
			continue
		}
		p.result.State.SurplusHosts = append(p.result.State.SurplusHosts, SurplusHost{o.host.Name, since})
	}
}

func (p *planner) mayDrain(ready *selection, o offer, since time.Time) bool {
	if o.host.Phase != PhaseReady || p.snapshot.Now.Sub(since) < p.snapshot.Settings.ScaleInDelay {
		return false
	}
	lacking := ready.shortfall()
	ready.count(o, -1)
	defer ready.count(o, 1)
	return ready.shortfall() <= lacking+rounding
}

// load orders weights for booted hosts at the pace of the weight store.
func (p *planner) load() {
	for i := range p.snapshot.Hosts {
		h := &p.snapshot.Hosts[i]
		if h.Phase != PhaseWaiting || len(h.MissingModels) == 0 {
			continue
		}
		if limit := p.snapshot.Settings.ParallelLoads; limit > 0 && p.loading >= limit {
			return
		}
		p.loading++
		p.act(Action{Kind: ActionLoad, Host: h.Name, Endpoint: h.Endpoint, Model: h.MissingModels[0]})
	}
}

// keptRefusals drops those that are long past.
func (p *planner) keptRefusals() []Refusal {
	var kept []Refusal
	for _, r := range p.snapshot.State.Refusals {
		if p.snapshot.Now.Before(r.Until.Add(p.snapshot.Settings.BackoffMax)) {
			kept = append(kept, r)
		}
	}
	return kept
}

// check asserts what a plan must never do.
func (p *planner) check() {
	loads := 0
	for _, a := range p.result.Actions {
		i := slices.IndexFunc(p.snapshot.Hosts, func(h Host) bool { return h.Name == a.Host })
		h := &p.snapshot.Hosts[i]
		switch a.Kind {
		case ActionStop:
			invariant.Check(h.Idle && h.Phase == PhaseLeaving, "capacity_stops_only_empty_leaving_hosts",
				"host %s is %s, empty %t", h.Name, h.Phase, h.Idle)
		case ActionStart:
			invariant.Check(h.Phase == PhaseStopped, "capacity_starts_only_stopped_hosts",
				"host %s is %s", h.Name, h.Phase)
		case ActionLoad:
			loads++
		}
	}
	limit := p.snapshot.Settings.ParallelLoads
	invariant.Check(limit <= 0 || loads == 0 || p.loading <= limit, "capacity_keeps_the_weight_store_pace",
		"%d loads at once, %d allowed", p.loading, limit)
}
