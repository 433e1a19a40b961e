package route

import "slices"

// affinity finds an endpoint by the prompt's prefixes. Each prefix narrows the
// candidates to as many, in rendezvous order, as its share of the requests needs, the
// shortest prefix first; the last one orders what is left. The first is taken if it is
// under its bounded load, so that one prefix neither piles up on one endpoint nor moves
// when another endpoint leaves.
func (d *decision) affinity() contender {
	if len(d.q.PrefixHashes) == 0 || d.off.has(MechanismAffinity) {
		return noContender
	}
	ranks, width := d.narrow()
	if width > 1 {
		return d.spread(&ranks, width)
	}
	return d.firstOrCheapest(ranks.index[:ranks.count])
}

// narrow ranks the endpoints and tells how many of the first ones share the requests.
func (d *decision) narrow() (ranking, int) {
	prefixes := d.q.PrefixHashes
	filters, level, width := d.filter()
	ranks := d.list.rank(prefixes[level], &filters)
	width = min(width, ranks.count)
	for level+1 < len(prefixes) && width > 1 {
		level++
		ranks.reorder(d.list.hash, prefixes[level], width)
		width = min(width, d.width(prefixes[level]))
	}
	return ranks, width
}

// filter goes past the prefixes that need more endpoints than are ranked. Each that
// narrows the candidates becomes a filter for the longer ones.
func (d *decision) filter() (filters, int, int) {
	var f filters
	prefixes, n := d.q.PrefixHashes, len(d.list.hash)
	level, width := 0, d.width(prefixes[0])
	for width > affinityRanks && level+1 < len(prefixes) {
		if part := float64(width) / float64(n); part < maxFilterPart*f.passed() {
			f.add(prefixes[level], part)
		}
		level++
		width = min(width, d.width(prefixes[level]))
	}
	return f, level, width
}

// width is how many endpoints the requests with the prefix need.
func (d *decision) width(prefix uint64) int {
	if d.off.has(MechanismSpread) {
		return 1
	}
	share := d.popularity.share(prefix)
	return max(int(share*float64(len(d.list.hash))*loadFactor+0.5), 1)
}

// spread takes the better of two random ones of the first ranks.
func (d *decision) spread(ranks *ranking, width int) contender {
	first := below(mix(d.rnd+2), width)
	second := (first + 1 + below(mix(d.rnd+3), width-1)) % width
	order := [2]int{ranks.index[first], ranks.index[second]}
	a, b := d.underBound(order[0]), d.underBound(order[1])
	switch {
	case a.index >= 0 && b.index >= 0:
		return d.better(a, b)
	case a.index >= 0:
		return a
	case b.index >= 0:
		return b
	default:
		return d.firstOrCheapest(ranks.index[:ranks.count])
	}
}

// firstOrCheapest takes the first of an order if it is eligible and under its bound, and
// else the one of the others that costs least, which is often one that holds the prefix.
func (d *decision) firstOrCheapest(order []int) contender {
	first := d.underBound(order[0])
	if first.index >= 0 {
		return first
	}
	best := noContender
	for _, index := range order[1:] {
		c := d.underBound(index)
		if c.index >= 0 && (best.index < 0 || c.cost() < best.cost()) {
			best = c
		}
	}
	return best
}

// underBound weighs an endpoint if it is eligible and under its bounded load.
func (d *decision) underBound(index int) contender {
	if !d.eligible(index) {
		return noContender
	}
	c := d.weigh(index)
	if d.off.has(MechanismBoundedLoad) || c.load < d.bound(d.list.targets[index].info.slots) {
		return c
	}
	d.trace.overLoad(index)
	return noContender
}

// reorder puts the first ranks in the rendezvous order of another key.
func (r *ranking) reorder(hashes []uint64, key uint64, width int) {
	k := newRendezvousKey(key)
	first := r.index[:width]
	slices.SortFunc(first, func(a, b int) int {
		if k.score(hashes[a]) > k.score(hashes[b]) {
			return -1
		}
		return 1
	})
}
