package ratelimit

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// retryRatio is the number of retries allowed for each first attempt.
	retryRatio = 0.2
	// minRetriesPerSecond is the retry rate that is always allowed.
	minRetriesPerSecond = 0.1
	// maxRetryTokens is the most that a budget accumulates.
	maxRetryTokens = 10
	// initialRetryTokens is what a new budget contains.
	initialRetryTokens = 1
	// endpointBudgetTTL is how long the unused budget of an endpoint is kept.
	endpointBudgetTTL = 10 * time.Minute
	retryShardCount   = 16
)

// budget is a token bucket that allows retries in proportion to first attempts. One token allows
// one retry.
type budget struct {
	tokens    float64
	updatedAt time.Time
}

func newBudget() budget { return budget{tokens: initialRetryTokens} }

func (b *budget) refill(now time.Time) {
	if b.updatedAt.IsZero() {
		b.updatedAt = now
	}
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.tokens = min(b.tokens+elapsed.Seconds()*minRetriesPerSecond, maxRetryTokens)
		b.updatedAt = now
	}
}

func (b *budget) recordAttempt(now time.Time) {
	b.refill(now)
	b.tokens = min(b.tokens+retryRatio, maxRetryTokens)
}

func (b *budget) allows(now time.Time) bool {
	b.refill(now)
	return b.tokens >= 1
}

// endpointRetryShards holds the budgets of the endpoints. Each shard has its own lock.
type endpointRetryShards [retryShardCount]retryShard

type retryShard struct {
	mu      sync.Mutex
	budgets map[string]*budget
	sweptAt time.Time
}

func (s *endpointRetryShards) init() {
	for i := range s {
		s[i].budgets = make(map[string]*budget)
	}
}

func (s *endpointRetryShards) shardFor(endpoint string) *retryShard {
	return &s[xxhash.Sum64String(endpoint)%retryShardCount]
}

func (s *retryShard) budget(now time.Time, endpoint string) *budget {
	b := s.budgets[endpoint]
	if b == nil {
		s.sweep(now)
		added := newBudget()
		b = &added
		s.budgets[endpoint] = b
	}
	return b
}

// sweep deletes budgets that were not used for endpointBudgetTTL. It runs at most once in that
// time.
func (s *retryShard) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < endpointBudgetTTL {
		return
	}
	s.sweptAt = now
	for name, b := range s.budgets {
		if now.Sub(b.updatedAt) >= endpointBudgetTTL {
			delete(s.budgets, name)
		}
	}
}

// RecordAttempt adds a first attempt to the retry budgets.
func (l *Limiter) RecordAttempt(now time.Time, organisation, endpoint string) {
	if o := l.state.Load().organisations[organisation]; o != nil {
		o.mu.Lock()
		o.retryBudget.recordAttempt(now)
		o.mu.Unlock()
	}
	shard := l.endpointRetries.shardFor(endpoint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.budget(now, endpoint).recordAttempt(now)
}

// AllowRetry reports whether the budgets of the organisation and of the endpoint both permit a retry
// of a request that failed at the endpoint, and if so takes the retry out of both. An unknown
// organisation may not retry. The caller is responsible for retrying only requests that are safe to
// retry.
func (l *Limiter) AllowRetry(now time.Time, organisation, endpoint string) bool {
	o := l.state.Load().organisations[organisation]
	if o == nil {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	shard := l.endpointRetries.shardFor(endpoint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	b := shard.budget(now, endpoint)
	if !o.retryBudget.allows(now) || !b.allows(now) {
		return false
	}
	o.retryBudget.tokens--
	b.tokens--
	return true
}
