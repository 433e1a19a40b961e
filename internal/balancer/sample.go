package balancer

import (
	"cmp"
	"slices"
)

const (
	// maxCompared is the largest number of endpoints of a fleet that are all compared for each request.
	maxCompared = 8
	// homeEndpoints is how many endpoints of a larger fleet are compared because the hash of a shared
	// prefix selects them. All hosts select the same ones, so that they find the prefix there without
	// having heard of it, and agree on others after a data centre is lost.
	homeEndpoints = 2
	// randomEndpoints is how many are compared besides. All numbers are small because the loads that hosts
	// know of are old: if every host compared all endpoints, all would send to the one that was idle at
	// the last report.
	randomEndpoints = 1
)

// sample returns the endpoints to compare for a request: all of a small fleet, and else those that have
// the shared part of the prompt cached, those that its hash selects, and some random ones.
func sample(eligible []*endpoint, random, affinity uint64, prefixes []Prefix) []*endpoint {
	if len(eligible) <= maxCompared {
		return eligible
	}
	if affinity == 0 {
		return lowestHashes(eligible, random, homeEndpoints+randomEndpoints)
	}
	chosen := lowestHashes(eligible, random, randomEndpoints)
	chosen = append(chosen, lowestHashes(eligible, affinity, homeEndpoints)...)
	shared := prefixes[:len(prefixes)-1]
	for _, e := range eligible {
		if e.holds(shared) {
			chosen = append(chosen, e)
		}
	}
	return chosen
}

// lowestHashes returns the n endpoints with the lowest hashes of their ID with a seed.
func lowestHashes(all []*endpoint, seed uint64, n int) []*endpoint {
	lowest := make([]*endpoint, 0, n+1)
	for _, e := range all {
		i, _ := slices.BinarySearchFunc(lowest, mix(seed^e.idHash), func(x *endpoint, hash uint64) int {
			return cmp.Compare(mix(seed^x.idHash), hash)
		})
		if i < n {
			lowest = slices.Insert(lowest, i, e)
			lowest = lowest[:min(len(lowest), n)]
		}
	}
	return lowest
}

// holds reports whether the endpoint is assumed to have all of the prefixes cached.
func (e *endpoint) holds(prefixes []Prefix) bool {
	return e.model && e.cache.matchedTokens(prefixes) == prefixes[len(prefixes)-1].Tokens
}
