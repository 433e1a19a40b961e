package route

import "sync/atomic"

// cacheEntries is the largest number of (prefix, endpoint) pairs that are remembered; a power of
// two.
const cacheEntries = 1 << 16

// cacheIndex records which endpoint has which prompt prefix cached. It is a direct-mapped
// table: a newer pair overwrites an older one in the same slot. Losing a pair only leads to a
// less suitable choice.
type cacheIndex struct {
	entries []atomic.Uint64
}

func newCacheIndex() *cacheIndex {
	return &cacheIndex{entries: make([]atomic.Uint64, cacheEntries)}
}

// pairWord encodes a pair in one non-zero word; endpoint is the hash of the endpoint's name.
func pairWord(prefix, endpoint uint64) uint64 { return mix(prefix^endpoint) | 1 }

func (c *cacheIndex) add(prefix, endpoint uint64) {
	word := pairWord(prefix, endpoint)
	entry := &c.entries[word>>32%cacheEntries]
	if entry.Load() != word {
		entry.Store(word)
	}
}

func (c *cacheIndex) remove(prefix, endpoint uint64) {
	word := pairWord(prefix, endpoint)
	c.entries[word>>32%cacheEntries].CompareAndSwap(word, 0)
}

func (c *cacheIndex) holds(prefix, endpoint uint64) bool {
	word := pairWord(prefix, endpoint)
	return c.entries[word>>32%cacheEntries].Load() == word
}
