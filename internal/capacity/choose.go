package capacity

import "slices"

// choose keeps the previous choice unless another set of hosts is better. It records its result for
// the next plan.
func (p *planner) choose(n need, running, startable []candidate) *selection {
	chosen := p.previousChoice(n, running, startable)
	for _, other := range p.alternatives(n, running, startable) {
		if p.replaces(other, chosen) {
			chosen = other
		}
	}
	for _, c := range chosen.candidates {
		p.result.State.Chosen = append(p.result.State.Chosen, c.host.Name)
	}
	return chosen
}

// previousChoice returns what is needed of the last plan's choice. Without it the plan could
// alternate between two sets: the search is a heuristic, which may find a cheaper set among fewer
// hosts.
func (p *planner) previousChoice(n need, running, startable []candidate) *selection {
	s := newSelection(n)
	for _, c := range slices.Concat(running, startable) {
		if slices.Contains(p.snapshot.State.Chosen, c.host.Name) {
			s.add(c)
		}
	}
	s.trim()
	return s
}

// alternatives returns the set of running hosts, extended or trimmed, and a set composed from
// scratch.
func (p *planner) alternatives(n need, running, startable []candidate) []*selection {
	usable := slices.DeleteFunc(slices.Clone(running), func(c candidate) bool { return c.rate <= 0 })
	return []*selection{
		cheapest(n, running, startable),
		cheapest(n, nil, slices.Concat(usable, startable)),
	}
}

// replaces reports whether other has a smaller shortfall than chosen or, at an equal one, saves more
// than MinReplacementSaving.
func (p *planner) replaces(other, chosen *selection) bool {
	missing, missingOther := chosen.shortfall(), other.shortfall()
	if missingOther < missing-rateEpsilon {
		return true
	}
	if missing < missingOther-rateEpsilon {
		return false
	}
	return float64(other.cost) < float64(chosen.cost)*(1-p.snapshot.Settings.MinReplacementSaving)
}
