package route

import "math"

// rendezvousKey scores endpoints for a prefix (rendezvous hashing).
type rendezvousKey struct {
	offset, factor uint64
}

func newRendezvousKey(prefix uint64) rendezvousKey {
	return rendezvousKey{mix(prefix), mix(prefix+1) | 1}
}

func (k rendezvousKey) score(hash uint64) uint64 {
	return (hash ^ k.offset) * k.factor
}

// ranking holds the endpoints with the highest scores for a key, in descending order.
type ranking struct {
	index [affinityRanks]int
	score [affinityRanks]uint64
	count int
}

const (
	// maxFilters is the largest number of popular prefixes that filter the candidates.
	maxFilters = 3
	// maxFilterFraction is the largest fraction of the endpoints left by the other filters that
	// a further filter may keep.
	maxFilterFraction = 0.9
)

// filters keep the endpoints with high scores for popular prefixes.
type filters struct {
	keys      [maxFilters]rendezvousKey
	minScores [maxFilters]uint64
	fractions [maxFilters]float64
	count     int
}

// add adds a filter so that about the given fraction of all endpoints passes all filters. It has
// no effect if there are maxFilters already.
func (f *filters) add(prefix uint64, fraction float64) {
	if f.count == maxFilters {
		return
	}
	fraction /= f.passFraction()
	f.keys[f.count] = newRendezvousKey(prefix)
	f.minScores[f.count] = uint64((1 - fraction) * math.MaxUint64)
	f.fractions[f.count] = fraction
	f.count++
}

// passFraction returns the fraction of the endpoints that is expected to pass.
func (f *filters) passFraction() float64 {
	passFraction := 1.0
	for _, fraction := range f.fractions[:f.count] {
		passFraction *= fraction
	}
	return passFraction
}

func (f *filters) pass(hash uint64) bool {
	for i := range f.count {
		if f.keys[i].score(hash) < f.minScores[i] {
			return false
		}
	}
	return true
}

// rank returns the endpoints with the highest scores for the prefix among those that pass the
// filters, or among all endpoints if by chance none passes.
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

// threshold returns the score above which about expectedAbove endpoints pass the filters; zero if
// no more than that many are expected to pass. Skipping lower scores avoids most insertions in a
// long list.
func (c *candidates) threshold(f *filters) uint64 {
	const expectedAbove = 4 * affinityRanks
	passing := float64(len(c.hash)) * f.passFraction()
	if passing <= expectedAbove {
		return 0
	}
	return uint64((1 - expectedAbove/passing) * math.MaxUint64)
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

// insert adds an endpoint, in place of the last one if the ranking is full. It returns the score
// that a further endpoint must exceed, which is zero until the ranking is full.
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
