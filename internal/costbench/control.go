package costbench

import (
	"math/rand/v2"
	"time"

	"rattanchute/internal/capacity"
)

const planInterval = 10 * time.Second

// controller carries out the plans of package capacity.
type controller struct {
	clock    *clock
	cloud    *fakeCloud
	site     *Site
	variant  *Variant
	settings capacity.Settings
	meter    *capacity.Meter
	rng      *rand.Rand
	state    capacity.State
	// shortPlans counts the plans whose need could not be met with the hosts that ran, were starting
	// or could be started.
	shortPlans int
	// peakHosts is the largest number of hosts that were ready at the same time.
	peakHosts int
}

func (c *controller) plan() {
	s := capacity.Snapshot{
		Now:      c.clock.now,
		Hosts:    c.hosts(),
		Demands:  []capacity.Demand{c.demand()},
		Classes:  []capacity.Class{c.site.class},
		Settings: c.settings,
		State:    c.state,
	}
	r := capacity.Plan(s)
	c.state = r.State
	c.shortPlans += len(r.Shortfalls)
	for _, a := range r.Actions {
		c.execute(a)
	}
}

// demand returns the measured demand. Until requests have been measured, it uses the sizes that
// the site was designed for.
func (c *controller) demand() capacity.Demand {
	d := c.meter.Demand(c.clock.now)
	d.Fleet = c.site.fleet
	if d.PromptTokens == 0 {
		d.PromptTokens = c.site.promptTokens
	}
	if d.OutputTokens == 0 {
		d.OutputTokens = c.site.outputTokens
	}
	if c.variant.noLookAhead {
		d.Growth = 0
	}
	return d
}

func (c *controller) hosts() []capacity.Host {
	var list []capacity.Host
	ready := 0
	for _, m := range c.cloud.machines {
		if !c.variant.offers(m.spec) {
			continue
		}
		h := capacity.Host{
			Name: m.spec.Name, DataCentre: m.spec.DataCentre, Class: m.spec.Class, Kind: m.spec.Kind,
			PricePerHour: m.spec.PricePerHour, Fleet: c.site.fleet, Endpoint: m.spec.Name,
			Phase: m.phase, Since: m.since, Deadline: m.deadline,
			ReportedAt: c.clock.now.Add(-reportAge),
			Idle:       m.engine == nil || len(m.engine.streams) == 0,
		}
		switch m.phase {
		case capacity.PhaseReady:
			ready++
		case capacity.PhaseStopped:
			h.Deadline = time.Time{}
		case capacity.PhaseWaiting:
			h.MissingModels = []string{c.site.fleet}
		}
		list = append(list, h)
	}
	c.peakHosts = max(c.peakHosts, ready)
	return list
}

func (c *controller) execute(a capacity.Action) {
	m := c.cloud.byName[a.Host]
	switch a.Kind {
	case capacity.ActionStart:
		c.start(m)
	case capacity.ActionLoad:
		c.cloud.load(m)
	case capacity.ActionDrain:
		c.cloud.drain(m)
	case capacity.ActionStop:
		c.cloud.stop(m)
	}
}

func (c *controller) start(m *machine) {
	place := capacity.Placement{DataCentre: m.spec.DataCentre, Class: m.spec.Class, Kind: m.spec.Kind}
	if c.state.InBackoff(c.clock.now, place) {
		return // refused by an earlier action of this plan
	}
	if c.cloud.start(m) {
		c.state = c.state.RecordStart(place)
		return
	}
	if !c.variant.noBackoff {
		c.state = c.state.RecordRefusal(c.clock.now, c.rng.Uint64(), place, c.settings)
	}
}
