package balancer

import "time"

// cacheShare is the part of an engine's memory that is believed to keep prompt parts:
// running requests need the rest.
const cacheShare = 0.6

// prefixCache is what an endpoint is believed to keep of prompts.
type prefixCache struct {
	limit   int
	total   int
	entries map[uint64]*cached
}

type cached struct {
	tokens int
	usedAt time.Time
}

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{limit: int(float64(tokens) * cacheShare), entries: map[uint64]*cached{}}
}

// use notes that the endpoint reads the prompt.
func (c *prefixCache) use(now time.Time, prefixes []Prefix) {
	before := 0
	for _, p := range prefixes {
		e := c.entries[p.Key]
		if e == nil {
			e = &cached{tokens: p.Tokens - before}
			c.entries[p.Key] = e
			c.total += e.tokens
		}
		e.usedAt = now
		before = p.Tokens
	}
	for c.total > c.limit && len(c.entries) > len(prefixes) {
		c.dropOldest()
	}
}

func (c *prefixCache) dropOldest() {
	var oldest uint64
	var found *cached
	for key, e := range c.entries {
		if found == nil || e.usedAt.Before(found.usedAt) {
			oldest, found = key, e
		}
	}
	c.total -= found.tokens
	delete(c.entries, oldest)
}

// length is how many tokens of the prompt the endpoint is believed to keep.
func (c *prefixCache) length(prefixes []Prefix) int {
	length := 0
	for _, p := range prefixes {
		if c.entries[p.Key] == nil {
			break
		}
		length = p.Tokens
	}
	return length
}
