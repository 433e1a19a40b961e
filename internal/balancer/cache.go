package balancer

import "time"

// prefixCacheShare is the share of an engine's KV memory that is assumed to hold cached
// prefixes; running requests need the rest.
const prefixCacheShare = 0.6

// prefixCache models which prompt prefixes an endpoint has cached.
type prefixCache struct {
	limitTokens int
	totalTokens int
	entries     map[uint64]*cacheEntry
	// holders and owner are where the entries are listed besides; nil if nowhere.
	holders *holders
	owner   *endpoint
}

// cacheEntry is one cached prefix; tokens is its length beyond the next shorter prefix.
type cacheEntry struct {
	tokens int
	usedAt time.Time
}

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{limitTokens: int(float64(tokens) * prefixCacheShare), entries: map[uint64]*cacheEntry{}}
}

// touch records that the endpoint computes a prompt with these prefixes. If the cache is then over
// its limit, touch drops the least recently used prefixes, but keeps as many as the prompt has.
func (c *prefixCache) touch(now time.Time, prefixes []Prefix) {
	before := 0
	for _, p := range prefixes {
		e := c.entries[p.Key]
		if e == nil {
			e = &cacheEntry{tokens: p.Tokens - before}
			c.entries[p.Key] = e
			c.holders.add(p.Key, c.owner)
			c.totalTokens += e.tokens
		}
		e.usedAt = now
		before = p.Tokens
	}
	for c.totalTokens > c.limitTokens && len(c.entries) > len(prefixes) {
		c.evictOldest()
	}
}

func (c *prefixCache) evictOldest() {
	var oldest uint64
	var found *cacheEntry
	for key, e := range c.entries {
		if found == nil || e.usedAt.Before(found.usedAt) {
			oldest, found = key, e
		}
	}
	c.totalTokens -= found.tokens
	delete(c.entries, oldest)
	c.holders.remove(oldest, c.owner)
}

// clear drops all prefixes.
func (c *prefixCache) clear() {
	for key := range c.entries {
		c.holders.remove(key, c.owner)
	}
	clear(c.entries)
	c.totalTokens = 0
}

// matchedTokens returns how many tokens of the prompt the endpoint is assumed to have cached.
func (c *prefixCache) matchedTokens(prefixes []Prefix) int {
	matchedTokens := 0
	for _, p := range prefixes {
		if c.entries[p.Key] == nil {
			break
		}
		matchedTokens = p.Tokens
	}
	return matchedTokens
}
