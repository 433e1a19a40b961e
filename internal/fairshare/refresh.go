package fairshare

import (
	"math"
	"time"
)

const (
	// MaxPromptBacklog is the mean time for which endpoints have prompts to compute at which they are full.
	MaxPromptBacklog = 500 * time.Millisecond
	// usablePart is the part of the room that is shared out: with all of it, requests would wait.
	usablePart = 0.97
	// lowTarget and highTarget bound the mean fullness that the correction aims at while a fleet is short.
	lowTarget, highTarget = 1.25, 1.45
	// lowDelay and highDelay are by how much longer than without a queue requests take, at which the correction
	// grows or shrinks: requests on their way fill no slots, so that endpoints may seem full and are not.
	lowDelay, highDelay = 1.25, 1.4
	// fullnessTimeConstant is that of the mean fullness.
	fullnessTimeConstant = 500 * time.Millisecond
	// shortFullness is how full endpoints are when a fleet may become short, and ampleFullness when it no longer
	// is, after ampleDelay.
	shortFullness = 0.85
	ampleFullness = 0.5
	ampleDelay    = time.Second
	// ampleDemand is the part of the usable room below which demand ends a shortage.
	ampleDemand = 0.9
	// growthPerSecond and shrinkPerSecond are the rates of the correction for each unit of fullness or delay beyond
	// the targets, and maxError bounds what counts of it.
	growthPerSecond = 1
	shrinkPerSecond = 1
	maxError        = 0.5
	// correctionDelay is how long a fleet must have been short: first, what waits is worked off.
	correctionDelay = 1500 * time.Millisecond
	// drainPerFullness is by how much organisations above the level are granted less for each unit of fullness
	// over highTarget, so that what waits is worked off, and minDrain the least part that they keep.
	drainPerFullness = 1.5
	minDrain         = 0.1
	// recentTimeConstant is that of the fullness that this depends on, and surelyQueued the fullness from which on
	// requests wait, whatever those say that have been answered.
	recentTimeConstant = 200 * time.Millisecond
	surelyQueued       = 2
	// minCorrection and maxCorrection bound the correction. Hosts out of touch may have little of the room.
	minCorrection, maxCorrection = 0.02, 2.0
	// correctionDecay is the rate at which the correction ends without a shortage, per second.
	correctionDecay = 0.3
	// maxRefreshGap bounds the time that a refresh counts for.
	maxRefreshGap = time.Second
	// roomMaxAge is how long shares hold without a refresh.
	roomMaxAge = 2 * time.Second
	// minSharedPart is the part of the usable room that is shared out whatever others demand.
	minSharedPart = 0.05
	// cutPart is the part of the known hosts below which this one must be cut from them. Otherwise, those that it
	// does not hear are taken to be gone, and their callers to come to the others.
	cutPart = 1.0 / 3
	// fullGrant is the part of its demand from which on an organisation is not limited.
	fullGrant = 0.95
)

// control decides whether a fleet is short and corrects its capacity by how full its endpoints turn out to be.
type control struct {
	short bool
	// since is when that last changed, and ampleSince from when on the fleet has been ample while short.
	since, ampleSince time.Time
	correction        Cost
	// mean is the mean fullness, and recent that of the fullest kind over a shorter time.
	mean   Cost
	recent float64
}

func (c *control) reset() {
	for k := range c.correction {
		c.correction[k] = 1
	}
}

// correct adapts the correction after some time with a fullness.
func (p *pool) correct(now time.Time, elapsed time.Duration, r *Room) {
	c, seconds := &p.control, min(elapsed, maxRefreshGap).Seconds()
	weight := 1 - math.Exp(-seconds/fullnessTimeConstant.Seconds())
	_, fullest := r.fullest()
	c.recent += (fullest - c.recent) * (1 - math.Exp(-seconds/recentTimeConstant.Seconds()))
	for k, f := range r.Fullness {
		c.mean[k] += (f - c.mean[k]) * weight
		v := c.correction[k]
		switch {
		case c.short && now.Sub(c.since) < correctionDelay:
		case c.short || c.mean[k] > highTarget:
			v *= math.Exp(seconds * p.correctionRate(now, c.mean[k]))
		default:
			v += (1 - v) * min(seconds*correctionDecay, 1)
		}
		c.correction[k] = min(max(v, minCorrection), maxCorrection)
	}
}

// correctionRate returns the rate of the correction at a mean fullness, per second.
func (p *pool) correctionRate(now time.Time, fullness float64) float64 {
	ratio, known := p.delay.known(now)
	switch {
	case fullness < lowTarget:
		return growthPerSecond * min(lowTarget-fullness, maxError)
	case known && ratio < lowDelay:
		return growthPerSecond * min(lowDelay-ratio, maxError)
	case fullness > highTarget && (!known || ratio > highDelay):
		return shrinkPerSecond * max(highTarget-fullness, -maxError)
	}
	return 0
}

// drain returns the part that organisations above the level are granted of what the level grants them.
func (p *pool) drain(now time.Time) float64 {
	ratio, known := p.delay.known(now)
	if known && ratio < lowDelay && p.recent < surelyQueued {
		return 1
	}
	return max(1-drainPerFullness*max(p.recent-highTarget, 0), minDrain)
}

// meanFullness returns the mean fullness of the fullest kind.
func (p *pool) meanFullness() float64 {
	fullness := 0.0
	for k, f := range p.mean {
		if p.room.Capacity[k] > 0 {
			fullness = max(fullness, f)
		}
	}
	return fullness
}

// nominal returns the usable room without a correction.
func (r *Room) nominal() Cost {
	part := usablePart
	if r.ReachablePart > 0 && r.ReachablePart < cutPart {
		part *= r.ReachablePart
	}
	return r.Capacity.times(part)
}

// usable returns the room that may be shared out.
func (c *control) usable(r *Room) Cost {
	out := r.nominal()
	for k := range out {
		out[k] *= c.correction[k]
	}
	return out
}

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
