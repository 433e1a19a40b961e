package claim

import (
	"sync"
	"time"
)

// The delay after a failed store call. It is doubled after each further failure, up to maxBackoff;
// failures during the delay are not counted.
const (
	minBackoff = 250 * time.Millisecond
	maxBackoff = 8 * time.Second
)

// breaker is a circuit breaker for the store. While it is open, operations are refused at once.
// After each delay it lets groups of all shards through until one of them fails again.
type breaker struct {
	mu        sync.Mutex
	failures  int
	openUntil time.Time
}

// wait returns the time until the store may be called; zero if it may be called now.
func (b *breaker) wait(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(0, b.openUntil.Sub(now))
}

// recordSuccess closes the breaker.
func (b *breaker) recordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures = 0
	b.openUntil = time.Time{}
}

// recordFailure opens the breaker, if it is not open, and returns how long it stays open.
func (b *breaker) recordFailure(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if remaining := b.openUntil.Sub(now); remaining > 0 {
		// A call of another shard has failed in the same outage.
		return remaining
	}
	backoff := minBackoff
	for range b.failures {
		backoff = min(2*backoff, maxBackoff)
	}
	b.failures++
	b.openUntil = now.Add(backoff)
	return backoff
}
