package standin

import (
	"container/list"
	"time"

	"rattanchute/internal/engine"
)

// prefixCache holds the hashes of prompt prefixes in limited memory, the least
// recently used going first. It is not safe for use by several threads.
type prefixCache struct {
	blockTokens int
	// capacity is the number of tokens held at most.
	capacity int
	held     int
	entries  map[uint64]*list.Element
	order    *list.List
	events   cacheEvents
}

// cacheEntry is the tokens that a prefix adds to the one before it.
type cacheEntry struct {
	hash   uint64
	tokens int
}

func newPrefixCache(blockTokens, capacity int, events cacheEvents) *prefixCache {
	return &prefixCache{
		blockTokens: blockTokens,
		capacity:    capacity,
		entries:     map[uint64]*list.Element{},
		order:       list.New(),
		events:      events,
	}
}

// match returns how many leading tokens are cached: whole blocks without a gap, and
// the tail that an earlier sequence ended with.
func (c *prefixCache) match(hashes []uint64) int {
	matched := 0
	for i, h := range hashes {
		e, ok := c.entries[h]
		whole := (i+1)%c.blockTokens == 0
		if ok {
			c.order.MoveToFront(e)
			matched = i + 1
		}
		if whole && !ok {
			break
		}
	}
	return matched
}

// insert adds a sequence's whole blocks and its tail.
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
		c.order.MoveToFront(e)
		return
	}
	if tokens > c.capacity {
		return
	}
	for c.held+tokens > c.capacity {
		c.dropOldest(now)
	}
	c.entries[h] = c.order.PushFront(cacheEntry{h, tokens})
	c.held += tokens
	c.events.add(h, false, now)
}

func (c *prefixCache) dropOldest(now time.Time) {
	e := c.order.Back()
	entry := c.order.Remove(e).(cacheEntry)
	delete(c.entries, entry.hash)
	c.held -= entry.tokens
	c.events.add(entry.hash, true, now)
}

// maxCacheEvents is the number of events kept.
const maxCacheEvents = 4096

// cacheEvents is an engine's published log: late, and with every lossEvery-th event
// missing.
type cacheEvents struct {
	delay     time.Duration
	lossEvery uint64
	sequence  uint64
	log       []datedEvent
}

// datedEvent is an event and when it can be read.
type datedEvent struct {
	event   engine.CacheEvent
	visible time.Time
}

func (e *cacheEvents) add(hash uint64, dropped bool, now time.Time) {
	e.sequence++
	if e.lossEvery > 0 && e.sequence%e.lossEvery == 0 {
		return
	}
	event := engine.CacheEvent{Sequence: e.sequence, Prefix: hash, Dropped: dropped}
	e.log = append(e.log, datedEvent{event, now.Add(e.delay)})
	if len(e.log) > 2*maxCacheEvents {
		e.log = append([]datedEvent(nil), e.log[maxCacheEvents:]...)
	}
}

// after returns the visible events that follow a sequence number.
func (e *cacheEvents) after(sequence uint64, now time.Time) []engine.CacheEvent {
	events := []engine.CacheEvent{}
	for _, d := range e.log {
		if d.event.Sequence > sequence && !d.visible.After(now) {
			events = append(events, d.event)
		}
	}
	return events
}
