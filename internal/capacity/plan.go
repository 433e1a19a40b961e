package capacity

import (
	"slices"
	"time"

	"rattanchute/internal/invariant"
)

// Plan decides what to do now. It is deterministic. At constant demand, carrying out one plan
// after another comes to an empty one.
func Plan(s Snapshot) Result {
	p := newPlanner(s)
	p.result.State.Refusals = p.recentRefusals()
	p.stopIdle()
	for _, d := range s.Demands {
		p.planFleet(d)
	}
	slices.Sort(p.result.State.Chosen)
	p.load()
	p.check()
	return p.result
}

type planner struct {
	snapshot     Snapshot
	result       Result
	loadingHosts int
	startedHosts int
	// dataCentres are the names of the data centres that have hosts in the snapshot; their
	// positions are the indexes used in candidates.
	dataCentres []string
	// reclaiming are the placements from which the cloud is reclaiming hosts now.
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
			p.loadingHosts++
		}
		if place := h.Placement(); h.Phase == PhaseLeaving && !h.Deadline.IsZero() && !slices.Contains(p.reclaiming, place) {
			p.reclaiming = append(p.reclaiming, place)
		}
	}
	return p
}

func (p *planner) addAction(a Action) { p.result.Actions = append(p.result.Actions, a) }

// stopIdle stops leaving hosts that were reported idle after every node has learnt that they
// leave.
func (p *planner) stopIdle() {
	for i := range p.snapshot.Hosts {
		h := &p.snapshot.Hosts[i]
		propagated := h.Since.Add(p.snapshot.Settings.DrainPropagationTime)
		if h.Phase == PhaseLeaving && h.Idle && !h.ReportedAt.Before(propagated) {
			p.addAction(Action{Kind: ActionStop, Host: h.Name})
		}
	}
}

func (p *planner) planFleet(d Demand) {
	n := p.requiredRate(d)
	running, startable := p.candidates(d)
	chosen := p.choose(n, running, startable)
	if missing := chosen.shortfall(); missing > 0 {
		p.result.Shortfalls = append(p.result.Shortfalls, Shortfall{d.Fleet, missing})
	}
	p.start(chosen)
	p.drain(n, chosen, running)
}

// requiredRate extrapolates a growing demand by the time that a new host takes to become ready. The
// steady rate is at least MinimumRate; the rate after a loss is lower by ShedShare.
func (p *planner) requiredRate(d Demand) need {
	settings := &p.snapshot.Settings
	startTime := (settings.BootTime + settings.LoadTime).Seconds()
	steady := max(d.RequestsPerSecond+max(d.Growth, 0)*startTime, settings.MinimumRate)
	return need{
		steady: steady, afterLoss: steady * (1 - settings.ShedShare),
		tolerance: settings.Tolerance, dataCentres: len(p.dataCentres),
	}
}

// candidates returns the fleet's hosts that run or are starting, and those that may be started now
// and can meet the latency target.
func (p *planner) candidates(d Demand) (running, startable []candidate) {
	rates := p.rates(d)
	for i := range p.snapshot.Hosts {
		h := &p.snapshot.Hosts[i]
		if h.Fleet != d.Fleet {
			continue
		}
		c := candidate{h, rates[h.Class], slices.Index(p.dataCentres, h.DataCentre)}
		switch {
		case h.committed():
			running = append(running, c)
		case c.rate > 0 && h.Phase == PhaseStopped && p.mayStart(h):
			startable = append(startable, c)
		}
	}
	return running, startable
}

// rates returns the request rate that a host of each class can serve.
func (p *planner) rates(d Demand) map[string]float64 {
	rates := make(map[string]float64, len(p.snapshot.Classes))
	for _, c := range p.snapshot.Classes {
		rates[c.Name] = Throughput(c, d, p.snapshot.Settings.Target)
	}
	return rates
}

// mayStart reports whether the placement of a host is neither in backoff after a refused start nor
// one from which the cloud is reclaiming a host.
func (p *planner) mayStart(h *Host) bool {
	place := h.Placement()
	return !p.snapshot.State.InBackoff(p.snapshot.Now, place) && !slices.Contains(p.reclaiming, place)
}

// start starts the chosen hosts that do not run yet, limited to as many as can load weights
// when they have booted. After a refused start, each plan tries only one host of the placement.
func (p *planner) start(chosen *selection) {
	tried := map[Placement]bool{}
	candidates := slices.Clone(chosen.candidates)
	slices.SortStableFunc(candidates, compareValue)
	for _, c := range candidates {
		if c.host.Phase != PhaseStopped || p.starting() >= p.maxStarting() {
			continue
		}
		place := c.host.Placement()
		if tried[place] && p.snapshot.State.failures(place) > 0 {
			continue
		}
		tried[place] = true
		p.startedHosts++
		p.addAction(Action{Kind: ActionStart, Host: c.host.Name})
	}
}

// starting counts the hosts that were started and are not ready yet.
func (p *planner) starting() int {
	count := p.startedHosts
	for i := range p.snapshot.Hosts {
		switch p.snapshot.Hosts[i].Phase {
		case PhaseBooting, PhaseWaiting, PhaseLoading:
			count++
		}
	}
	return count
}

// maxStarting returns the number of hosts that may be starting at once, so that each finds the
// weight store free when it has booted.
func (p *planner) maxStarting() int {
	settings := &p.snapshot.Settings
	if settings.ParallelLoads <= 0 {
		return len(p.snapshot.Hosts)
	}
	rounds := 1
	if settings.LoadTime > 0 {
		rounds += int((settings.BootTime + settings.LoadTime - 1) / settings.LoadTime)
	}
	return settings.ParallelLoads * rounds
}

// drain drains ready hosts that have not been chosen for at least ScaleInDelay, the most
// expensive per rate first, as long as this adds nothing to the shortfall of the ready hosts.
func (p *planner) drain(n need, chosen *selection, running []candidate) {
	ready := newSelection(n)
	var surplus []candidate
	for _, c := range running {
		if c.host.Phase == PhaseReady {
			ready.add(c)
		}
		if !chosen.contains(c.host.Name) {
			surplus = append(surplus, c)
		}
	}
	slices.SortStableFunc(surplus, func(a, b candidate) int { return compareValue(b, a) })
	for _, c := range surplus {
		since := p.snapshot.State.surplusSince(p.snapshot.Now, c.host.Name)
		if p.mayDrain(ready, c, since) {
			ready.count(c, -1)
			p.addAction(Action{Kind: ActionDrain, Host: c.host.Name})
			continue
		}
		p.result.State.SurplusHosts = append(p.result.State.SurplusHosts, SurplusHost{c.host.Name, since})
	}
}

func (p *planner) mayDrain(ready *selection, c candidate, since time.Time) bool {
	if c.host.Phase != PhaseReady || p.snapshot.Now.Sub(since) < p.snapshot.Settings.ScaleInDelay {
		return false
	}
	missing := ready.shortfall()
	ready.count(c, -1)
	defer ready.count(c, 1)
	return ready.shortfall() <= missing+rateEpsilon
}

// load starts loading the first missing model on each waiting host, with at most ParallelLoads
// hosts loading at once.
func (p *planner) load() {
	for i := range p.snapshot.Hosts {
		h := &p.snapshot.Hosts[i]
		if h.Phase != PhaseWaiting || len(h.MissingModels) == 0 {
			continue
		}
		if limit := p.snapshot.Settings.ParallelLoads; limit > 0 && p.loadingHosts >= limit {
			return
		}
		p.loadingHosts++
		p.addAction(Action{Kind: ActionLoad, Host: h.Name, Endpoint: h.Endpoint, Model: h.MissingModels[0]})
	}
}

// recentRefusals drops refusals whose backoff ended more than BackoffMax ago.
func (p *planner) recentRefusals() []Refusal {
	var kept []Refusal
	for _, r := range p.snapshot.State.Refusals {
		if p.snapshot.Now.Before(r.Until.Add(p.snapshot.Settings.BackoffMax)) {
			kept = append(kept, r)
		}
	}
	return kept
}

// check verifies the invariants of a plan.
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
	invariant.Check(limit <= 0 || loads == 0 || p.loadingHosts <= limit, "capacity_keeps_the_weight_store_pace",
		"%d loads at once, %d allowed", p.loadingHosts, limit)
}
