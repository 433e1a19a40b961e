package fairshare

import (
	"math"
	"time"
)

const (
	// usablePart is the part of the room that is shared out: with all of it, requests would wait.
	usablePart = 0.97
	// lowTarget and highTarget bound the mean fullness that the correction aims at while a fleet is short.
	lowTarget, highTarget = 1.25, 1.45
	// lowDelay and highDelay are by how much longer than without a queue requests take, at which the correction
	// grows or shrinks: requests on their way fill no slots, so that endpoints may seem full and are not.
	lowDelay, highDelay = 1.25, 1.4
	// fullnessTimeConstant is that of the mean fullness.
	fullnessTimeConstant = 500 * time.Millisecond
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
	// cutPart is the part of the known hosts below which this one must be cut from them. Otherwise, those that it
	// does not hear are taken to be gone, and their callers to come to the others.
	cutPart = 1.0 / 3
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
