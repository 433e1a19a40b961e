package route

import "sync/atomic"

// cacheEntries is the number of (prefix, endpoint) pairs remembered; a power of two.
const cacheEntries = 1 << 16

// cacheIndex remembers which endpoint holds which prompt prefix. It is a direct-mapped
// table: a newer pair displaces an older one of the same slot, and a pair that has been
// displaced only costs a worse choice.
type cacheIndex struct {
	entries []atomic.Uint64
}

func newCacheIndex() *cacheIndex {
	return &cacheIndex{entries: make([]atomic.Uint64, cacheEntries)}
}

// pairWord stands for a pair; endpoint is the hash of its name.
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
