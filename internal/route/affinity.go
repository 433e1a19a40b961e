package route

import "math/bits"

// ranking holds the best endpoints of a key in rendezvous order.
type ranking struct {
	index [affinityRanks]int
	score [affinityRanks]uint64
	count int
}

// rank finds the endpoints with the highest rendezvous scores for the key.
func (c *candidates) rank(key uint64) ranking {
	var r ranking
	lowest := uint64(0)
	offset, factor := mix(key), mix(key+1)|1
	for i, hash := range c.hash {
		high, low := bits.Mul64(hash^offset, factor)
		score := high ^ low
		if r.count == affinityRanks && score <= lowest {
			continue
		}
		lowest = r.insert(i, score)
	}
	return r
}

// insert places an endpoint and returns the lowest score kept.
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
	return r.score[r.count-1]
}

// affinity finds the first endpoint in rendezvous order of the shortest prefix that
// is eligible and under its bounded load.
func (d *decision) affinity() contender {
	if len(d.q.PrefixHashes) == 0 {
		return noContender
	}
	ranks := d.list.rank(d.q.PrefixHashes[0])
	for _, index := range ranks.index[:ranks.count] {
		if !d.eligible(index) {
			continue
		}
		c := d.weigh(index)
		if c.load < d.bound(d.list.targets[index].info.slots) {
			return c
		}
		d.trace.overLoad(index)
	}
	return noContender
}
