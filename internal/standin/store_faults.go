package standin

import (
	"context"
	"fmt"
	"time"

	"rattanchute/internal/objectstore"
)

// defaultHistory is the default number of changes that are kept for watches.
const defaultHistory = 10_000

// StoreConfig configures the limits of a store.
type StoreConfig struct {
	// CallsPerSecond is the rate limit of all calls together; zero means no limit.
	CallsPerSecond float64 `json:"calls_per_second"`
	// Burst is the burst size of the rate limit; zero means the calls of one second plus
	// one.
	Burst int `json:"burst"`
	// WatchWaitMillis is the maximum wait of an in-process watch, in milliseconds.
	WatchWaitMillis int `json:"watch_wait_ms"`
	// History is the number of changes that are kept for watches; zero means defaultHistory.
	History int `json:"history"`
	// Now is the clock of the rate limit; nil means time.Now.
	Now func() time.Time `json:"-"`
}

// StoreFaults are the injected failures of a store. The zero value injects none.
type StoreFaults struct {
	// Outage fails every call that is within the rate limit with ErrUnavailable, without effect.
	Outage bool `json:"outage"`
	// LoseAnswers is the number of further writes that take effect but fail with
	// ErrUnavailable; a negative number means all.
	LoseAnswers int `json:"lose_answers"`
	// CutConnection closes the connection where a 503 response would be sent.
	CutConnection bool `json:"cut_connection"`
	// DelayMillis delays each call that is within the rate limit, in milliseconds.
	DelayMillis int `json:"delay_ms"`
}

// Verb is a kind of store call, as counted in StoreCounts.
type Verb string

// The kinds of store calls.
const (
	VerbGet    Verb = "get"
	VerbList   Verb = "list"
	VerbCreate Verb = "create"
	VerbUpdate Verb = "update"
	VerbDelete Verb = "delete"
	VerbWatch  Verb = "watch"
)

// SetFaults replaces the injected faults. An outage ends the waiting watches.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wakeWatchers()
}

// StoreCounts counts the calls that a store has received, including those that failed.
type StoreCounts struct {
	Calls     map[Verb]uint64 `json:"calls"`
	Throttled uint64          `json:"throttled"`
	// LostAnswers counts the writes that took effect but failed for the caller.
	LostAnswers uint64 `json:"lost_answers"`
}

// Counts returns the counts so far.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := StoreCounts{Calls: map[Verb]uint64{}, Throttled: s.throttled, LostAnswers: s.lostAnswers}
	for v, n := range s.calls {
		c.Calls[v] = n
	}
	return c
}

// begin counts a call and applies the rate limit and the faults Outage and DelayMillis.
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

// loseAnswer reports whether a write that took effect must fail for the caller, and counts
// it. The caller holds the lock.
func (s *Store) loseAnswer() bool {
	if s.faults.LoseAnswers == 0 {
		return false
	}
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
	}
	s.lostAnswers++
	return true
}
