// Package backoff spaces the retries of a call that fails.
package backoff

import (
	"math/rand/v2"
	"time"
)

// Backoff doubles the wait before each retry, between two limits. Each wait is random between half of
// that and all of it, so that callers that failed together do not retry together. It is not safe for
// concurrent use.
type Backoff struct {
	// Min is the longest first wait, and Max the longest of all waits.
	Min, Max time.Duration
	next     time.Duration
}

// Next returns the wait before the next retry.
func (b *Backoff) Next() time.Duration {
	longest := min(max(b.next, b.Min), b.Max)
	b.next = 2 * longest
	return longest/2 + rand.N(longest/2+1)
}

// Reset makes the next wait a first one, after a success.
func (b *Backoff) Reset() { b.next = 0 }
