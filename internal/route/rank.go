package route

import "math"

// rendezvousKey scores endpoints for a prefix.
type rendezvousKey struct {
	offset, factor uint64
}

func newRendezvousKey(prefix uint64) rendezvousKey {
	return rendezvousKey{mix(prefix), mix(prefix+1) | 1}
}

func (k rendezvousKey) score(hash uint64) uint64 {
	return (hash ^ k.offset) * k.factor
}

// ranking holds the best endpoints of a key in rendezvous order.
type ranking struct {
	index [affinityRanks]int
	score [affinityRanks]uint64
	count int
}

const (
	// maxFilters bounds the popular prefixes that narrow the candidates.
	maxFilters = 3
	// maxFilterPart: a filter must leave at most this part of what others leave.
	maxFilterPart = 0.9
)

// filters keep the endpoints whose scores for popular prefixes are high.
type filters struct {
	keys   [maxFilters]rendezvousKey
	lowest [maxFilters]uint64
	parts  [maxFilters]float64
	count  int
}

// add keeps about a part of all endpoints; without room for one more it changes nothing.
func (f *filters) add(prefix uint64, part float64) {
	if f.count == maxFilters {
		return
	}
	part /= f.passed()
	f.keys[f.count] = newRendezvousKey(prefix)
	f.lowest[f.count] = uint64((1 - part) * math.MaxUint64)
	f.parts[f.count] = part
	f.count++
}

// passed is the part of the endpoints that is expected to pass.
func (f *filters) passed() float64 {
	passed := 1.0
	for _, part := range f.parts[:f.count] {
		passed *= part
	}
	return passed
}

func (f *filters) pass(hash uint64) bool {
	for i := range f.count {
		if f.keys[i].score(hash) < f.lowest[i] {
			return false
		}
	}
	return true
}

// rank finds the endpoints with the highest scores for the prefix among those that
// pass the filters, or among all if by chance none passes.
func (c *candidates) rank(prefix uint64, f *filters) ranking {
	r := c.rankAbove(prefix, f, c.threshold(f))
	if r.count < affinityRanks {
		r = c.rankAbove(prefix, f, 0)
	}
	if r.count == 0 {
		r = c.rankAbove(prefix, &filters{}, 0)
	}
	return r
}

// threshold is a score that about expectedAbove of the endpoints that pass the filters
// exceed: it spares a long list most of the insertions.
func (c *candidates) threshold(f *filters) uint64 {
	const expectedAbove = 4 * affinityRanks
	pass := float64(len(c.hash)) * f.passed()
	if pass <= expectedAbove {
		return 0
	}
	return uint64((1 - expectedAbove/pass) * math.MaxUint64)
}

func (c *candidates) rankAbove(prefix uint64, f *filters, lowest uint64) ranking {
	var r ranking
	key := newRendezvousKey(prefix)
	for i, hash := range c.hash {
		if score := key.score(hash); score > lowest && f.pass(hash) {
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
