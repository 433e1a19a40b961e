package standin

import (
	"context"
	"fmt"
	"time"

	"rattanchute/internal/objectstore"
)

// defaultHistory is the number of changes kept for watches.
const defaultHistory = 10_000

// StoreConfig sets a store's limits.
type StoreConfig struct {
	// CallsPerSecond is the call budget; zero sets none.
	CallsPerSecond float64 `json:"calls_per_second"`
	// Burst is the number of calls allowed at once; zero is one second's worth.
	Burst int `json:"burst"`
	// WatchWaitMillis is the longest wait of an in-process watch, in milliseconds.
	WatchWaitMillis int `json:"watch_wait_ms"`
	// History is the number of changes kept for watches.
	History int `json:"history"`
	// Now replaces the clock that the budget is counted by.
	Now func() time.Time `json:"-"`
}

// StoreFaults are the failures of a store; the zero value has none.
type StoreFaults struct {
	// Outage answers every call as unavailable, without effect.
	Outage bool `json:"outage"`
	// LoseAnswers is the number of next writes that take effect but are answered
	// as unavailable; negative loses all.
	LoseAnswers int `json:"lose_answers"`
	// CutConnection cuts the connection instead of answering 503.
	CutConnection bool `json:"cut_connection"`
	// DelayMillis is added to each call, in milliseconds.
	DelayMillis int `json:"delay_ms"`
}

// Verb names a kind of call for counting.
type Verb string

// The verbs of a store.
const (
	VerbGet    Verb = "get"
	VerbList   Verb = "list"
	VerbCreate Verb = "create"
	VerbUpdate Verb = "update"
	VerbDelete Verb = "delete"
	VerbWatch  Verb = "watch"
)

// SetFaults replaces the failures; an outage ends the waiting watches.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// StoreCounts are the calls that a store has seen.
type StoreCounts struct {
	Calls     map[Verb]uint64 `json:"calls"`
	Throttled uint64          `json:"throttled"`
	// LostAnswers counts the writes that took effect without an answer.
	LostAnswers uint64 `json:"lost_answers"`
}

// Counts returns the calls seen, by verb.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := StoreCounts{Calls: map[Verb]uint64{}, Throttled: s.throttled, LostAnswers: s.lost}
	for v, n := range s.calls {
		c.Calls[v] = n
	}
	return c
}

// begin counts a call and applies the budget and the faults that hit all calls.
func (s *Store) begin(ctx context.Context, v Verb) error {
	s.mu.Lock()
	s.calls[v]++
	faults := s.faults
	limited := s.limiter != nil && !s.limiter.AllowN(s.config.Now(), 1)
	if limited {
		s.throttled++
	}
	s.mu.Unlock()
	if limited {
		return objectstore.ErrThrottled
	}
	if faults.DelayMillis > 0 && !sleep(ctx, millis(faults.DelayMillis)) {
		return fmt.Errorf("%w: %w", objectstore.ErrUnavailable, ctx.Err())
	}
	if faults.Outage {
		return objectstore.ErrUnavailable
	}
	return nil
}

// loseAnswer tells whether the answer to a write that took effect is lost.
func (s *Store) loseAnswer() bool {
	if s.faults.LoseAnswers == 0 {
		return false
	}
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
	}
	s.lost++
	return true
}
