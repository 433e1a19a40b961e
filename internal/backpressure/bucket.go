package backpressure

import (
	"math"
	"time"
)

const (
	// minRate is the rate, of all hosts together and in requests a second, at which an endpoint that states a
	// limit of zero still gets requests. Its responses tell when that ends.
	minRate = 0.1
	// burstTime bounds a host's burst: what its rate allows in this time, but at least one request.
	burstTime = 200 * time.Millisecond
	// retryElsewhere is when callers may return to a host that sends no requests to a limited endpoint.
	retryElsewhere = time.Second
)

// bucket is a token bucket with this host's share of an endpoint's rate limit. The zero value limits nothing.
type bucket struct {
	limit Limit
	// statedAt is when the endpoint last stated the limit or, if there is none, ended it.
	statedAt time.Time
	// rate is in tokens a second. A token is one request.
	rate       float64
	tokens     float64
	refilledAt time.Time
}

// set puts a limit and this host's share of it in force. A bucket begins empty, and loses tokens when the
// rate falls: the tokens of all hosts were meant for the rate before.
func (b *bucket) set(now time.Time, l Limit, share float64) {
	rate := max(l.PerSecond, minRate) * share
	switch {
	case !b.limit.Stated:
		b.tokens, b.refilledAt = 0, now
	case rate < b.rate:
		b.refill(now)
		b.tokens *= rate / b.rate
	default:
		b.refill(now)
	}
	b.limit, b.rate = l, rate
	b.tokens = min(b.tokens, b.capacity())
}

func (b *bucket) capacity() float64 { return max(1, b.rate*burstTime.Seconds()) }

// available returns the tokens at a time.
func (b *bucket) available(now time.Time) float64 {
	elapsed := max(now.Sub(b.refilledAt), 0)
	return min(b.tokens+b.rate*elapsed.Seconds(), b.capacity())
}

func (b *bucket) refill(now time.Time) {
	if now.After(b.refilledAt) {
		b.tokens = b.available(now)
		b.refilledAt = now
	}
}

// wait returns the time until there is a token; zero if there is one, or no limit.
func (b *bucket) wait(now time.Time) time.Duration {
	if !b.limit.Stated {
		return 0
	}
	missing := 1 - b.available(now)
	switch {
	case missing <= 0:
		return 0
	case b.rate <= 0:
		return retryElsewhere
	}
	return time.Duration(min(math.Ceil(missing/b.rate*float64(time.Second)), float64(MaxRetryAfter)))
}

// take takes a token if there is a limit.
func (b *bucket) take(now time.Time) {
	if b.limit.Stated {
		b.refill(now)
		b.tokens--
	}
}
