package claim

import (
	"sync"
	"time"
)

// The wait after a failed store call, doubled with each further failure.
const (
	minBackoff = 250 * time.Millisecond
	maxBackoff = 8 * time.Second
)

// breaker refuses work at once while the store is known to fail, and lets one group
// through after each wait to find out.
type breaker struct {
	mu       sync.Mutex
	failures int
	until    time.Time
}

// wait returns how long the store should be left alone; zero means that it may be tried.
func (b *breaker) wait(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(0, b.until.Sub(now))
}

// succeeded closes the breaker.
func (b *breaker) succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures = 0
	b.until = time.Time{}
}

// failed opens the breaker and returns for how long.
func (b *breaker) failed(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if open := b.until.Sub(now); open > 0 {
		// Another shard's call has failed in the same outage.
		return open
	}
	backoff := minBackoff
	for range b.failures {
		backoff = min(2*backoff, maxBackoff)
	}
	b.failures++
	b.until = now.Add(backoff)
	return backoff
}
