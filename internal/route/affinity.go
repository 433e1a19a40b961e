package route

import (
	"math"
	"math/bits"
)

// ranking holds the best endpoints of a key in rendezvous order.
type ranking struct {
	index [affinityRanks]int
	score [affinityRanks]uint64
	count int
}

// rank finds the endpoints with the highest rendezvous scores for the key.
func (c *candidates) rank(key uint64) ranking {
	r := c.rankAbove(key, c.threshold())
	if r.count < affinityRanks {
		return c.rankAbove(key, 0)
	}
	return r
}

// threshold is a score that about expectedAbove endpoints exceed: it spares a long
// list most of the insertions.
func (c *candidates) threshold() uint64 {
	const expectedAbove = 4 * affinityRanks
	if len(c.hash) <= expectedAbove {
		return 0
	}
	return math.MaxUint64 - math.MaxUint64/uint64(len(c.hash))*expectedAbove
}

func (c *candidates) rankAbove(key, lowest uint64) ranking {
	var r ranking
	offset, factor := mix(key), mix(key+1)|1
	for i, hash := range c.hash {
		high, low := bits.Mul64(hash^offset, factor)
		if score := high ^ low; score > lowest {
			lowest = max(lowest, r.insert(i, score))
		}
	}
	return r
}

// insert places an endpoint and returns the score that the next one must exceed.
func (r *ranking) insert(index int, score uint64) uint64 {
	if r.count < affinityRanks {
		r.count++
	}
	at := r.count - 1
	for at > 0 && r.score[at-1] < score {
		r.index[at], r.score[at] = r.index[at-1], r.score[at-1]
		at--
	}
	r.index[at], r.score[at] = index, score
	return r.score[affinityRanks-1]
}

// affinity finds the first endpoint in rendezvous order of the shortest prefix that
// is eligible and under its bounded load.
func (d *decision) affinity() contender {
	if len(d.q.PrefixHashes) == 0 || d.off.has(MechanismAffinity) {
		return noContender
	}
	ranks := d.list.rank(d.q.PrefixHashes[0])
	for _, index := range ranks.index[:ranks.count] {
		if !d.eligible(index) {
			continue
		}
		c := d.weigh(index)
		if d.off.has(MechanismBoundedLoad) || c.load < d.bound(d.list.targets[index].info.slots) {
			return c
		}
		d.trace.overLoad(index)
	}
	return noContender
}
