package balancer

import (
	"slices"
	"time"
)

// holders lists, for each prefix, the endpoints that are assumed to have it cached.
type holders struct {
	byKey map[uint64][]*endpoint
	// count counts the entries of all fleets.
	count *prefixCount
}

func newHolders(count *prefixCount) *holders {
	return &holders{byKey: map[uint64][]*endpoint{}, count: count}
}

// isFull reports whether there are too many entries.
func (h *holders) isFull() bool { return h != nil && h.count.isExceeded() }

func (h *holders) add(key uint64, e *endpoint) {
	if h != nil {
		h.byKey[key] = append(h.byKey[key], e)
		h.count.add(1)
	}
}

func (h *holders) remove(key uint64, e *endpoint) {
	if h == nil {
		return
	}
	list := h.byKey[key]
	i := slices.Index(list, e)
	if i < 0 {
		return
	}
	h.count.add(-1)
	list[i] = list[len(list)-1]
	list[len(list)-1] = nil
	if len(list) == 1 {
		delete(h.byKey, key)
		return
	}
	h.byKey[key] = list[:len(list)-1]
}

const (
	// maxSources bounds the holders that are looked at for one from which a prompt can be copied, where any will do.
	maxSources = 8
	// maxHolders bounds the holders of a prompt that are compared.
	maxHolders = 2
	// homeCandidates is how many of the first endpoints in the order of a hash are kept: some may not be eligible.
	homeCandidates = 8
	// maxHomes bounds the hashes for which they are kept.
	maxHomes = 4096
)

// anySource returns an endpoint that has the longest part of the prompt cached, among few that are looked at; zero if
// there is none.
func (p *pool) anySource(now time.Time, random uint64, r *Request) cacheSource {
	for i := len(r.Prefixes) - 1; i >= 0; i-- {
		list := p.holders.byKey[r.Prefixes[i].Key]
		for n := range min(len(list), maxSources) {
			e := list[(random+uint64(n))%uint64(len(list))]
			if !r.permits(e) || !p.canBeSource(now, e) {
				continue
			}
			if tokens := e.cache.matchedTokens(r.Prefixes); tokens >= r.Prefixes[i].Tokens {
				return cacheSource{e.known.Address, tokens}
			}
		}
	}
	return cacheSource{}
}

// canBeSource reports whether parts of prompts can be copied from an endpoint.
func (p *pool) canBeSource(now time.Time, e *endpoint) bool {
	return e.model && !e.known.Leaving && !e.ejected(now) && !e.signals.Verdict(now).Leaving
}

// homes returns the first endpoints in the order of a hash, leaving ones included.
func (p *pool) homes(affinity uint64) []*endpoint {
	if list, ok := p.homesByHash[affinity]; ok {
		return list
	}
	if len(p.homesByHash) >= maxHomes {
		clear(p.homesByHash)
	}
	list := lowestHashes(p.ordered, affinity, homeCandidates)
	p.homesByHash[affinity] = list
	return list
}
