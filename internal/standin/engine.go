package standin

import (
	"container/heap"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"rattanchute/internal/engine"
)

// Engine is a fake model engine with continuous batching and a prefix cache.
type Engine struct {
	*faultServer
	config EngineConfig

	mu       sync.Mutex
	streams  map[engine.StreamID]*stream
	queue    streamQueue
	arrivals uint64
	running  int
	cache    *prefixCache
	orders   orderState
	ledger   map[engine.StreamID]*LedgerEntry
	load     engine.Load
	exports  map[engine.StreamID][]uint64
	// received counts the generate requests that have arrived.
	received atomic.Int64
}

// NewEngine returns an engine that does not listen yet.
func NewEngine(c EngineConfig) *Engine {
	c = c.withDefaults()
	e := &Engine{
		config:  c,
		streams: map[engine.StreamID]*stream{},
		ledger:  map[engine.StreamID]*LedgerEntry{},
		orders:  newOrderState(c.Models),
		exports: map[engine.StreamID][]uint64{},
	}
	events := cacheEventLog{delay: millis(c.EventDelayMillis), lossEvery: c.EventLossEvery}
	e.cache = newPrefixCache(c.BlockTokens, c.CacheTokens, events)
	e.faultServer = newFaultServer(c.Address, e.handle)
	e.die = e.Close
	return e
}

// Close stops the engine like a killed process: connections are cut, and streams, cache,
// KV exports and the effects of orders are lost. The ledger and the log of cache events are
// kept.
func (e *Engine) Close() {
	e.faultServer.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		e.drop(s)
	}
	e.cache = newPrefixCache(e.config.BlockTokens, e.config.CacheTokens, e.cache.events)
	e.orders = newOrderState(e.config.Models)
	e.exports = map[engine.StreamID][]uint64{}
}

// Received returns how many generate requests have arrived.
func (e *Engine) Received() int { return int(e.received.Load()) }

// LedgerEntry records what an engine executed for one stream.
type LedgerEntry struct {
	Stream engine.StreamID `json:"stream"`
	// Accepted counts how often the request was accepted for execution.
	Accepted int `json:"accepted"`
	// Computed reports whether any token was computed; First and Last are the lowest and
	// the highest offset computed.
	Computed bool `json:"computed"`
	First    int  `json:"first"`
	Last     int  `json:"last"`
	// Prefilled is the number of tokens of the prompt, and of the text that the request
	// continues, that were not cached, over all executions.
	Prefilled int  `json:"prefilled"`
	Cancelled bool `json:"cancelled"`
	Finished  bool `json:"finished"`
}

// Ledger returns a copy of the ledger, by stream.
func (e *Engine) Ledger() map[engine.StreamID]LedgerEntry {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := make(map[engine.StreamID]LedgerEntry, len(e.ledger))
	for id, entry := range e.ledger {
		l[id] = *entry
	}
	return l
}

// open returns the stream of a request with one more reader. The stream is created and
// queued if it does not exist, unless the request only attaches to an existing one.
func (e *Engine) open(g engine.Generate) (*stream, error) {
	p, err := parsePrompt(g.Body)
	if err != nil {
		return nil, errBadRequest
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.streams[g.Stream]; ok {
		s.addReader()
		return s, nil
	}
	if g.Attach {
		return nil, engine.ErrNoStream
	}
	if !e.Running() || !e.orders.serves(p.Model, time.Now()) {
		return nil, engine.ErrNotSent
	}
	if g.Stream == "" || len(g.Prefix) >= p.MaxTokens {
		return nil, errBadRequest
	}
	s := newStream(g, p)
	s.addReader()
	e.streams[g.Stream] = s
	entry := e.ledger[g.Stream]
	if entry == nil {
		entry = &LedgerEntry{Stream: g.Stream}
		e.ledger[g.Stream] = entry
	}
	entry.Accepted++
	e.arrivals++
	s.arrival = e.arrivals
	heap.Push(&e.queue, s)
	e.startQueued()
	return s, nil
}

// startQueued starts queued streams in the free slots. The caller holds the lock.
func (e *Engine) startQueued() {
	for e.running < e.config.Slots && len(e.queue) > 0 {
		s := heap.Pop(&e.queue).(*stream)
		if s.isCancelled() {
			continue
		}
		e.running++
		go e.run(s, e.cache)
	}
}

// run computes one stream in a slot. It gets the cache as a parameter because Close
// replaces the engine's cache: a stream that is still running then must not write into
// the new one.
func (e *Engine) run(s *stream, cache *prefixCache) {
	e.compute(s, cache)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	cache.insert(s.hashes(), time.Now())
	if s.finished() {
		e.ledger[s.id].Finished = true
	}
	e.startQueued()
}

func (e *Engine) compute(s *stream, cache *prefixCache) {
	prefilled := e.recordPrefill(s, cache)
	if rate := e.config.PrefillTokensPerSecond; rate > 0 {
		if !s.wait(time.Duration(float64(prefilled) / rate * float64(time.Second))) {
			return
		}
	}
	e.mu.Lock()
	cache.insert(s.promptHashes, time.Now())
	e.mu.Unlock()
	step := time.Duration(e.config.TokenMillis * float64(time.Millisecond))
	for offset := s.start; offset < s.prompt.MaxTokens; offset++ {
		if !s.wait(step) {
			return
		}
		e.recordToken(s.id, offset)
		s.advance(offset + 1)
	}
}

// recordPrefill returns how many tokens of the prompt, and of the text that the request continues,
// are not cached. It adds the number to the ledger.
func (e *Engine) recordPrefill(s *stream, cache *prefixCache) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := len(s.promptHashes) - cache.match(s.promptHashes)
	s.setPrefilled(n)
	e.ledger[s.id].Prefilled += n
	return n
}

// recordToken adds a token to the ledger. It is called before the token becomes readable,
// so the ledger includes every token that a caller has received.
func (e *Engine) recordToken(id engine.StreamID, offset int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry := e.ledger[id]
	if !entry.Computed {
		entry.Computed = true
		entry.First = offset
		entry.Last = offset
	}
	entry.First = min(entry.First, offset)
	entry.Last = max(entry.Last, offset)
}

// detach removes a reader. If it was the last one and the stream has no reader when the keep
// time is over, the stream is cancelled and removed.
func (e *Engine) detach(s *stream) {
	if s.removeReader() {
		time.AfterFunc(millis(e.config.KeepMillis), func() { e.dropIfUnread(s) })
	}
}

func (e *Engine) dropIfUnread(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[s.id] != s || s.hasReaders() {
		return
	}
	e.drop(s)
}

// drop cancels a stream and removes it from the engine. The caller holds the lock.
func (e *Engine) drop(s *stream) {
	if !s.finished() {
		e.ledger[s.id].Cancelled = true
	}
	s.cancel()
	delete(e.streams, s.id)
}

// Cancel ends a stream. An unknown stream is ignored.
func (e *Engine) Cancel(id engine.StreamID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.streams[id]; ok {
		e.drop(s)
	}
}

// Load returns the engine's load, which may be as old as the configured lag.
func (e *Engine) Load() engine.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.Sub(e.load.At) < millis(e.config.LoadLagMillis) {
		return e.load
	}
	e.load = engine.Load{
		Running:         e.running,
		Slots:           e.config.Slots,
		TokensPerSecond: e.config.PrefillTokensPerSecond,
		At:              now,
	}
	for _, s := range e.queue {
		if !s.isCancelled() {
			e.load.Queued++
			e.load.QueuedTokens += len(s.promptHashes)
		}
	}
	return e.load
}

// errBadRequest means that a request is malformed or has invalid values.
var errBadRequest = errors.New("standin: bad request")
