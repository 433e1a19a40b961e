package ratelimit

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// retryShare of first attempts may be retried.
	retryShare = 0.2
	// retryFloor is the number of retries a second that are always allowed.
	retryFloor = 0.1
	// retryReserve is the most that a budget saves up.
	retryReserve = 10
	// retryStart is what a new budget holds.
	retryStart = 1
	// endpointTTL is how long the budget of an endpoint without attempts is kept.
	endpointTTL = 10 * time.Minute
	shardCount  = 16
)

// budget allows retries in proportion to first attempts.
type budget struct {
	tokens float64
	at     time.Time
}

func newBudget() budget { return budget{tokens: retryStart} }

func (b *budget) refill(now time.Time) {
	if b.at.IsZero() {
		b.at = now
	}
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.tokens = min(b.tokens+elapsed.Seconds()*retryFloor, retryReserve)
		b.at = now
	}
}

func (b *budget) attempt(now time.Time) {
	b.refill(now)
	b.tokens = min(b.tokens+retryShare, retryReserve)
}

func (b *budget) allows(now time.Time) bool {
	b.refill(now)
	return b.tokens >= 1
}

// retryShards keeps the budgets of endpoints, each shard under its own lock.
type retryShards [shardCount]retryShard

type retryShard struct {
	mu        sync.Mutex
	endpoints map[string]*budget
	swept     time.Time
}

func (s *retryShards) init() {
	for i := range s {
		s[i].endpoints = make(map[string]*budget)
	}
}

func (s *retryShards) of(endpoint string) *retryShard {
	return &s[xxhash.Sum64String(endpoint)%shardCount]
}

func (s *retryShard) budget(now time.Time, endpoint string) *budget {
	b := s.endpoints[endpoint]
	if b == nil {
		s.sweep(now)
		fresh := newBudget()
		b = &fresh
		s.endpoints[endpoint] = b
	}
	return b
}

// sweep drops budgets that have not been used for long.
func (s *retryShard) sweep(now time.Time) {
	if now.Sub(s.swept) < endpointTTL {
		return
	}
	s.swept = now
	for name, b := range s.endpoints {
		if now.Sub(b.at) >= endpointTTL {
			delete(s.endpoints, name)
		}
	}
}

// RecordAttempt counts a first attempt towards the retry budgets.
func (a *Limiter) RecordAttempt(now time.Time, organisation, endpoint string) {
	if o := a.state.Load().organisations[organisation]; o != nil {
		o.mu.Lock()
		o.retries.attempt(now)
		o.mu.Unlock()
	}
	shard := a.endpoints.of(endpoint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.budget(now, endpoint).attempt(now)
}

// AllowRetry takes a retry of a request that failed at the endpoint from the budgets of
// the organisation and of the endpoint. Whether the request may be repeated at all is
// for the caller to know.
func (a *Limiter) AllowRetry(now time.Time, organisation, endpoint string) bool {
	o := a.state.Load().organisations[organisation]
	if o == nil {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	shard := a.endpoints.of(endpoint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	b := shard.budget(now, endpoint)
	if !o.retries.allows(now) || !b.allows(now) {
		return false
	}
	o.retries.tokens--
	b.tokens--
	return true
}
