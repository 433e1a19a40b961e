package route

import "slices"

// affinity chooses an endpoint by the prefixes of the prompt, so that requests that share a
// prefix reach an endpoint that has it cached. Going from the shortest prefix to the longest,
// it keeps as many of the candidates, in rendezvous order, as the prefix's share of all
// requests needs, until one is left. If several remain after the longest prefix, the better one
// of two random ones is chosen. Endpoints that are not eligible or not below the load bound are
// replaced by the cheapest of the other ranked ones. This keeps one popular prefix from
// overloading one endpoint, and a prefix does not move when an unrelated endpoint leaves.
func (d *decision) affinity() option {
	if len(d.query.PrefixHashes) == 0 || d.disabled.has(MechanismAffinity) {
		return noOption
	}
	ranks, width := d.narrowCandidates()
	if width > 1 {
		return d.betterOfTwoRanked(&ranks, width)
	}
	return d.firstOrCheapest(ranks.index[:ranks.count])
}

// narrowCandidates ranks the endpoints for the prompt and returns the ranking and how many of
// its first endpoints share the requests.
func (d *decision) narrowCandidates() (ranking, int) {
	prefixes := d.query.PrefixHashes
	filters, level, width := d.buildFilters()
	ranks := d.list.rank(prefixes[level], &filters)
	width = min(width, ranks.count)
	for level+1 < len(prefixes) && width > 1 {
		level++
		ranks.reorder(d.list.hash, prefixes[level], width)
		width = min(width, d.width(prefixes[level]))
	}
	return ranks, width
}

// buildFilters handles the prefixes that need more endpoints than a ranking holds: each one
// that narrows the candidates enough becomes a filter for the longer prefixes. It returns the
// filters, the level of the first prefix that is ranked, and the smallest width up to that level.
func (d *decision) buildFilters() (filters, int, int) {
	var f filters
	prefixes, n := d.query.PrefixHashes, len(d.list.hash)
	level, width := 0, d.width(prefixes[0])
	for width > affinityRanks && level+1 < len(prefixes) {
		if fraction := float64(width) / float64(n); fraction < maxFilterFraction*f.passFraction() {
			f.add(prefixes[level], fraction)
		}
		level++
		width = min(width, d.width(prefixes[level]))
	}
	return f, level, width
}

// width returns the number of endpoints that the requests with the prefix need, at least one.
func (d *decision) width(prefix uint64) int {
	if d.disabled.has(MechanismSpread) {
		return 1
	}
	share := d.popularity.share(prefix)
	return max(int(share*float64(len(d.list.hash))*loadFactor+0.5), 1)
}

// betterOfTwoRanked draws two of the first width ranks at random and returns the better one of
// those that are eligible and below their load bound. If neither is, it falls back to
// firstOrCheapest.
func (d *decision) betterOfTwoRanked(ranks *ranking, width int) option {
	first := randomIndex(mix(d.random+2), width)
	second := (first + 1 + randomIndex(mix(d.random+3), width-1)) % width
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

// firstOrCheapest returns the first endpoint of the order if it is eligible and below its load
// bound. Otherwise it returns the one with the lowest cost among the others for which this holds,
// and noOption if there is none. The others often have the prefix cached as well.
func (d *decision) firstOrCheapest(order []int) option {
	first := d.underBound(order[0])
	if first.index >= 0 {
		return first
	}
	best := noOption
	for _, index := range order[1:] {
		o := d.underBound(index)
		if o.index >= 0 && (best.index < 0 || o.cost() < best.cost()) {
			best = o
		}
	}
	return best
}

// underBound returns the evaluated endpoint if it is eligible and below its load bound, and
// otherwise noOption. With MechanismBoundedLoad disabled, it ignores the bound.
func (d *decision) underBound(index int) option {
	if !d.eligible(index) {
		return noOption
	}
	o := d.evaluate(index)
	if d.disabled.has(MechanismBoundedLoad) || o.load < d.bound(d.list.targets[index].info.slots) {
		return o
	}
	d.trace.markOverBound(index)
	return noOption
}

// reorder sorts the first width ranks by the rendezvous order of another key.
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
