package fairshare

import "time"

// Share is the state of an organisation at a fleet, as this host sees it.
type Share struct {
	Fleet, Organisation string
	// Admitted and Refused count its requests through this host while it was known here.
	Admitted, Refused uint64
	// Demand is its mean demand over all hosts, and Granted the part of it that is granted.
	Demand  Cost
	Granted float64
}

// FleetState is the state of a fleet, as this host sees it.
type FleetState struct {
	Fleet    string
	Short    bool
	Level    float64
	Fullness float64
}

// Snapshot returns the state of all fleets with recent requests, and of the organisations there.
func (t *Table) Snapshot(now time.Time) ([]FleetState, []Share) {
	var fleets []FleetState
	var shares []Share
	for _, name := range t.Active(now) {
		p, _ := t.pool(name)
		if p == nil {
			continue
		}
		p.mu.Lock()
		_, fullness := p.room.fullest()
		fleets = append(fleets, FleetState{Fleet: name, Short: p.short, Level: p.level, Fullness: fullness})
		for i := range p.claims {
			shares = append(shares, p.share(name, &p.claims[i]))
		}
		p.mu.Unlock()
	}
	return fleets, shares
}

func (p *pool) share(fleet string, c *claim) Share {
	s := Share{Fleet: fleet, Organisation: c.name, Demand: c.demand, Granted: 1}
	if p.short {
		s.Granted = c.grant(p.level)
	}
	if m := p.members[c.name]; m != nil {
		s.Admitted, s.Refused = m.admitted, m.refused
	}
	return s
}
