package standin

import (
	"container/list"
	"time"

	"rattanchute/internal/engine"
)

// prefixCache is an LRU cache of token prefixes, identified by their hashes, with a
// capacity in tokens. It is not safe for concurrent use.
type prefixCache struct {
	blockTokens int
	// capacity is the maximum number of cached tokens, and held the current number.
	capacity int
	held     int
	entries  map[uint64]*list.Element
	recency  *list.List
	events   cacheEventLog
}

// cacheEntry is a cached block: the hash of the prefix that ends with it and the number
// of tokens in it.
type cacheEntry struct {
	hash   uint64
	tokens int
}

func newPrefixCache(blockTokens, capacity int, events cacheEventLog) *prefixCache {
	return &prefixCache{
		blockTokens: blockTokens,
		capacity:    capacity,
		entries:     map[uint64]*list.Element{},
		recency:     list.New(),
		events:      events,
	}
}

// match returns the number of leading tokens that are cached: consecutive whole blocks,
// and after them the partial block at the end of an earlier sequence.
func (c *prefixCache) match(hashes []uint64) int {
	matched := 0
	for i, h := range hashes {
		e, ok := c.entries[h]
		whole := (i+1)%c.blockTokens == 0
		if ok {
			c.recency.MoveToFront(e)
			matched = i + 1
		}
		if whole && !ok {
			break
		}
	}
	return matched
}

// insert adds the whole blocks of a sequence and the partial block at its end.
func (c *prefixCache) insert(hashes []uint64, now time.Time) {
	for i, h := range hashes {
		tokens := c.blockTokens
		if rest := (i + 1) % c.blockTokens; rest != 0 {
			if i != len(hashes)-1 {
				continue
			}
			tokens = rest
		}
		c.add(h, tokens, now)
	}
}

func (c *prefixCache) add(h uint64, tokens int, now time.Time) {
	if e, ok := c.entries[h]; ok {
		c.recency.MoveToFront(e)
		return
	}
	if tokens > c.capacity {
		return
	}
	for c.held+tokens > c.capacity {
		c.evictOldest(now)
	}
	c.entries[h] = c.recency.PushFront(cacheEntry{h, tokens})
	c.held += tokens
	c.events.add(h, false, now)
}

func (c *prefixCache) evictOldest(now time.Time) {
	e := c.recency.Back()
	entry := c.recency.Remove(e).(cacheEntry)
	delete(c.entries, entry.hash)
	c.held -= entry.tokens
	c.events.add(entry.hash, true, now)
}

// maxCacheEvents sets the size of the event log: when the log exceeds twice this number,
// its oldest maxCacheEvents events are removed. Removing them together avoids copying the
// log for every event.
const maxCacheEvents = 4096

// cacheEventLog is the event log that an engine publishes. Events become visible after
// a delay, and every lossEvery-th event is lost; with zero, none is.
type cacheEventLog struct {
	delay     time.Duration
	lossEvery uint64
	sequence  uint64
	log       []delayedEvent
}

// delayedEvent is an event and the time from which it can be read.
type delayedEvent struct {
	event     engine.CacheEvent
	visibleAt time.Time
}

func (e *cacheEventLog) add(hash uint64, dropped bool, now time.Time) {
	e.sequence++
	if e.lossEvery > 0 && e.sequence%e.lossEvery == 0 {
		return
	}
	event := engine.CacheEvent{Sequence: e.sequence, Prefix: hash, Dropped: dropped}
	e.log = append(e.log, delayedEvent{event, now.Add(e.delay)})
	if len(e.log) > 2*maxCacheEvents {
		e.log = append([]delayedEvent(nil), e.log[maxCacheEvents:]...)
	}
}

// after returns the visible events with a greater sequence number.
func (e *cacheEventLog) after(sequence uint64, now time.Time) []engine.CacheEvent {
	events := []engine.CacheEvent{}
	for _, d := range e.log {
		if d.event.Sequence > sequence && !d.visibleAt.After(now) {
			events = append(events, d.event)
		}
	}
	return events
}
