package balancer

import "sync/atomic"

// prefixCacheShare is the share of an engine's KV memory that is assumed to hold cached
// prefixes; running requests need the rest.
const prefixCacheShare = 0.6

// prefixCache models which prompt prefixes an endpoint has cached, the least recently used of which it drops first.
type prefixCache struct {
	limitTokens int
	totalTokens int
	entries     map[uint64]*cacheEntry
	// newest and oldest are the ends of the entries in the order of their last use.
	newest, oldest *cacheEntry
	// holders and owner are where the entries are listed besides; nil if nowhere.
	holders *holders
	owner   *endpoint
}

// cacheEntry is one cached prefix; tokens is its length beyond the next shorter prefix.
type cacheEntry struct {
	key          uint64
	tokens       int
	newer, older *cacheEntry
}

// CachedPrefixBytes is the memory that one prefix takes that an endpoint is assumed to have cached.
const CachedPrefixBytes = 192

// prefixCount counts the prefixes in the caches of all endpoints.
type prefixCount struct{ count, most atomic.Int64 }

// isExceeded reports whether there are more than allowed; nil and zero allow any number.
func (c *prefixCount) isExceeded() bool {
	if c == nil {
		return false
	}
	most := c.most.Load()
	return most > 0 && c.count.Load() > most
}

// add counts prefixes, a negative number those that are dropped.
func (c *prefixCount) add(n int64) {
	if c != nil {
		c.count.Add(n)
	}
}

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{limitTokens: int(float64(tokens) * prefixCacheShare), entries: map[uint64]*cacheEntry{}}
}

// touch records that the endpoint computes a prompt with these prefixes. If the cache is then over
// its limit, or all caches together hold too many prefixes, touch drops the least recently used prefixes, but keeps as many
// as the prompt has.
func (c *prefixCache) touch(prefixes []Prefix) {
	// The longest prefix first, so that it is the first to go: without it the shorter ones are still of use.
	for i := len(prefixes) - 1; i >= 0; i-- {
		e := c.entries[prefixes[i].Key]
		if e == nil {
			e = c.add(prefixes, i)
		} else {
			c.unlink(e)
		}
		c.link(e)
	}
	for (c.totalTokens > c.limitTokens || c.holders.isFull()) && len(c.entries) > len(prefixes) {
		c.drop(c.oldest)
	}
}

// add adds an entry for one of the prefixes of a prompt.
func (c *prefixCache) add(prefixes []Prefix, i int) *cacheEntry {
	before := 0
	if i > 0 {
		before = prefixes[i-1].Tokens
	}
	e := &cacheEntry{key: prefixes[i].Key, tokens: prefixes[i].Tokens - before}
	c.entries[e.key] = e
	c.holders.add(e.key, c.owner)
	c.totalTokens += e.tokens
	return e
}

// link makes an entry the newest.
func (c *prefixCache) link(e *cacheEntry) {
	e.older, e.newer = c.newest, nil
	if c.newest != nil {
		c.newest.newer = e
	} else {
		c.oldest = e
	}
	c.newest = e
}

func (c *prefixCache) unlink(e *cacheEntry) {
	if e.newer != nil {
		e.newer.older = e.older
	} else {
		c.newest = e.older
	}
	if e.older != nil {
		e.older.newer = e.newer
	} else {
		c.oldest = e.newer
	}
}

func (c *prefixCache) drop(e *cacheEntry) {
	c.unlink(e)
	c.totalTokens -= e.tokens
	delete(c.entries, e.key)
	c.holders.remove(e.key, c.owner)
}

// clear drops all prefixes.
func (c *prefixCache) clear() {
	for key := range c.entries {
		c.holders.remove(key, c.owner)
	}
	clear(c.entries)
	c.newest, c.oldest = nil, nil
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
