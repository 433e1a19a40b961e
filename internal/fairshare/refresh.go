package fairshare

import "time"

const (
	// shortFullness is how full endpoints are when a fleet may become short, and ampleFullness when it no longer
	// is, after ampleDelay.
	shortFullness = 0.85
	ampleFullness = 0.5
	ampleDelay    = time.Second
	// ampleDemand is the part of the usable room below which demand ends a shortage.
	ampleDemand = 0.9
	// roomMaxAge is how long shares hold without a refresh.
	roomMaxAge = 2 * time.Second
	// minSharedPart is the part of the usable room that is shared out whatever others demand.
	minSharedPart = 0.05
	// fullGrant is the part of its demand from which on an organisation is not limited.
	fullGrant = 0.95
)

// Change says that a fleet has become short, or is no longer.
type Change struct {
	Fleet string
	Short bool
	// Kind is the kind of which endpoints are fullest, with their Fullness, and Level what an organisation of weight
	// one is granted, as a part of the room. Limited is the number of organisations that are refused requests.
	Kind     Kind
	Fullness float64
	Level    float64
	Limited  int
	// After is how long the fleet was in the other state; zero if it is not known.
	After time.Duration
}

// SetRoom sets the room of a fleet and shares it out anew. It returns false if the fleet is neither short anew nor
// ample anew.
func (t *Table) SetRoom(now time.Time, fleet string, r Room) (Change, bool) {
	p, weights := t.pool(fleet)
	if p == nil {
		return Change{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	elapsed := now.Sub(p.refreshedAt)
	if p.refreshedAt.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	p.room, p.refreshedAt = r, now
	p.dropIdle(now)
	p.correct(now, elapsed, &r)
	p.collectClaims(now, weights)
	before, since := p.short, p.since
	p.updateShort(now)
	limited := p.shareOut(now)
	if p.short == before {
		return Change{}, false
	}
	kind, fullness := r.fullest()
	change := Change{Fleet: fleet, Short: p.short, Kind: kind, Fullness: fullness, Level: p.level, Limited: limited}
	if !since.IsZero() {
		change.After = now.Sub(since)
	}
	return change, true
}

func (p *pool) dropIdle(now time.Time) {
	for name, m := range p.members {
		if m.idle(now) {
			delete(p.members, name)
		}
	}
	p.dropOldPeers(now)
}

// outdated reports whether the room was not set for too long.
func (p *pool) outdated(now time.Time) bool { return now.Sub(p.refreshedAt) > roomMaxAge }

// collectClaims lists what each organisation demands over all hosts. The others of the reports, which demand little
// each, and callers without an organisation are not limited: they reduce the room for the rest.
func (p *pool) collectClaims(now time.Time, weights map[string]float64) {
	sums, others := p.sum(now, ScopeAll)
	p.claims, p.unlimited = p.claims[:0], others
	for name, c := range sums {
		if weight, known := weights[name]; known {
			p.claims = append(p.claims, claim{name: name, weight: weight, demand: c})
		} else {
			p.unlimited = p.unlimited.plus(c)
		}
	}
}

// sharedRoom returns the room that is shared out between the claims.
func (p *pool) sharedRoom() Cost {
	usable := p.usable(&p.room)
	for k, c := range usable {
		usable[k] = max(c-p.unlimited[k], c*minSharedPart)
	}
	return usable
}

// updateShort decides whether the fleet is short, and sets the level.
func (p *pool) updateShort(now time.Time) {
	usable := p.sharedRoom()
	level, kinds := fairLevel(p.claims, usable)
	p.level = level
	_, fullness := p.room.fullest()
	if !p.short {
		if fullness >= shortFullness && kinds != [kindCount]bool{} {
			p.short, p.since, p.ampleSince = true, now, time.Time{}
		}
		return
	}
	if fullness >= ampleFullness {
		p.ampleSince = time.Time{}
	} else if p.ampleSince.IsZero() {
		p.ampleSince = now
	}
	ample := !p.ampleSince.IsZero() && now.Sub(p.ampleSince) >= ampleDelay
	if ample || p.demandFits(usable.times(ampleDemand)) {
		p.short, p.since = false, now
	}
}

func (p *pool) demandFits(room Cost) bool {
	var total Cost
	for i := range p.claims {
		total = total.plus(p.claims[i].demand)
	}
	for k, c := range room {
		if c > 0 && total[k] > c {
			return false
		}
	}
	return true
}

// shareOut sets the shares of the organisations and returns how many are limited.
func (p *pool) shareOut(now time.Time) int {
	limited, drain, even := 0, p.drain(now), p.evenPart()
	for i := range p.claims {
		c := &p.claims[i]
		m := p.members[c.name]
		if m == nil {
			continue
		}
		m.decay(now)
		part := c.grant(p.level)
		if !p.short || part >= fullGrant || c.within(even.times(c.weight)) {
			part = 1
		} else {
			part *= drain
			limited++
		}
		m.setShare(part)
	}
	return limited
}

// evenPart returns the room for a weight of one if all that demand something shared the nominal room by weight. Who
// demands no more is not limited, however little room the correction leaves: it may be wrong, and it shrinks for
// those that demand most.
func (p *pool) evenPart() Cost {
	weights := 0.0
	for i := range p.claims {
		if p.claims[i].demand[Slots] >= minReportedSlots {
			weights += p.claims[i].weight
		}
	}
	return p.room.nominal().times(1 / max(weights, 1e-9))
}
