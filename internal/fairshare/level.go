package fairshare

import (
	"cmp"
	"math"
	"slices"
)

// claim is what an organisation demands of a fleet over all hosts.
type claim struct {
	name   string
	weight float64
	demand Cost
	// dominant is its demand of the kind that is short of which it wants the largest part, relative to that kind.
	dominant float64
}

// within reports whether the demand is no more than some room. A kind that is zero is not limited.
func (c *claim) within(room Cost) bool {
	for k, d := range c.demand {
		if room[k] > 0 && d > room[k] {
			return false
		}
	}
	return true
}

// grant returns the part of the claim that a level grants.
func (c *claim) grant(level float64) float64 {
	if c.dominant <= level*c.weight {
		return 1
	}
	return level * c.weight / c.dominant
}

// ratio is the level from which on the whole claim is granted.
func (c *claim) ratio() float64 { return c.dominant / c.weight }

// fairLevel returns the largest dominant share, for a weight of one, up to which all claims can be granted, and
// which kinds of room are short; if none is, the level is 1. It sets the claims' dominant shares and sorts them by
// the level at which they are granted. Of a kind with no capacity there is no limit.
func fairLevel(claims []claim, capacity Cost) (level float64, short [kindCount]bool) {
	var total Cost
	for i := range claims {
		total = total.plus(claims[i].demand)
	}
	for k, c := range capacity {
		short[k] = c > 0 && total[k] > c
	}
	for i := range claims {
		claims[i].setDominant(capacity, short)
	}
	slices.SortFunc(claims, func(a, b claim) int { return cmp.Compare(a.ratio(), b.ratio()) })
	level = math.Inf(1)
	for k, isShort := range short {
		if isShort {
			level = min(level, levelOf(claims, Kind(k), capacity[k]))
		}
	}
	if math.IsInf(level, 1) {
		return 1, short
	}
	return level, short
}

func (c *claim) setDominant(capacity Cost, short [kindCount]bool) {
	c.dominant = 0
	for k, isShort := range short {
		if isShort {
			c.dominant = max(c.dominant, c.demand[k]/capacity[k])
		}
	}
}

// levelOf returns the level at which what is granted of one kind of room is all that there is. The claims are sorted
// and demand more.
func levelOf(claims []claim, k Kind, capacity float64) float64 {
	// The claims up to the level get granted; each other one gets its part of perLevel for each unit of level.
	granted, perLevel := 0.0, 0.0
	for i := range claims {
		perLevel += claims[i].perLevel(k)
	}
	for i := range claims {
		c := &claims[i]
		if granted+c.ratio()*perLevel > capacity {
			return (capacity - granted) / perLevel
		}
		granted += c.demand[k]
		perLevel -= c.perLevel(k)
	}
	return math.Inf(1)
}

// perLevel returns how much of one kind a claim that is not granted in full gets for each unit of level.
func (c *claim) perLevel(k Kind) float64 {
	if c.dominant == 0 {
		return 0
	}
	return c.demand[k] * c.weight / c.dominant
}
