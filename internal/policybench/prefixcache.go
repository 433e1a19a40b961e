package policybench

import (
	"container/list"

	"rattanchute/internal/engine"
)

// prefixCache is an engine's cache of prompt prefixes with least-recently-used eviction.
type prefixCache struct {
	capacity int // tokens
	used     int
	order    *list.List // of *cached, the most recently used first
	entries  map[uint64]*list.Element
	events   []engine.CacheEvent
}

// cached is the part of a prefix beyond the next shorter prefix.
type cached struct {
	prefix uint64
	tokens int
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), entries: make(map[uint64]*list.Element)}
}

// match returns the length of the longest cached prefix.
func (c *prefixCache) match(r *request) int {
	length := 0
	for i, prefix := range r.prefixes {
		if c.entries[prefix] == nil {
			break
		}
		length = r.prefixTokens[i]
	}
	return length
}

// lookup returns the result of match and then caches all prefixes of the request.
func (c *prefixCache) lookup(r *request) int {
	length := c.match(r)
	for i := len(r.prefixes) - 1; i >= 0; i-- {
		c.touch(r.prefixes[i], r.ownTokens(i))
	}
	for c.used > c.capacity {
		c.evict()
	}
	return length
}

func (c *prefixCache) touch(prefix uint64, tokens int) {
	if element := c.entries[prefix]; element != nil {
		c.order.MoveToFront(element)
		return
	}
	c.entries[prefix] = c.order.PushFront(&cached{prefix, tokens})
	c.used += tokens
	c.report(prefix, false)
}

func (c *prefixCache) evict() {
	element := c.order.Back()
	entry := c.order.Remove(element).(*cached)
	delete(c.entries, entry.prefix)
	c.used -= entry.tokens
	c.report(entry.prefix, true)
}

func (c *prefixCache) report(prefix uint64, dropped bool) {
	sequence := uint64(len(c.events) + 1)
	c.events = append(c.events, engine.CacheEvent{Sequence: sequence, Prefix: prefix, Dropped: dropped})
}
