package claim

import (
	"context"
	"time"
)

// commitAtOwner commits an operation at the owner of its shard, or on this member if forwarding it
// fails or has failed recently. Both may apply the operation: since it names its attempt, the second
// application has no effect.
func (s *Service) commitAtOwner(ctx context.Context, op Op) Result {
	layout, refusal, ok := s.loadLayout(ctx)
	if !ok {
		return refusal
	}
	owner := s.owner(op.Key.ID().shard(layout.Shards))
	if owner == s.config.Member || s.isUnresponsive(owner, time.Now()) {
		return s.commitLocally(ctx, op)
	}
	result, err := s.forward(ctx, owner, op)
	if err == nil {
		return result
	}
	s.config.Metrics.Fallbacks.Add(1)
	s.markUnresponsive(owner, time.Now())
	result = s.commitLocally(ctx, op)
	// The owner may still apply the forwarded operation.
	result.MayBeStored = result.Kind == Refused
	return result
}

// unresponsiveDuration is how long no operation is forwarded to an owner after forwarding has
// failed.
const unresponsiveDuration = 2 * time.Second

// isUnresponsive reports whether forwarding to a member failed within the last unresponsiveDuration.
func (s *Service) isUnresponsive(member string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.unresponsiveUntil[member])
}

// markUnresponsive stops forwarding to a member for unresponsiveDuration.
func (s *Service) markUnresponsive(member string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unresponsiveUntil[member] = now.Add(unresponsiveDuration)
}

// owner returns the member that commits the operations on a shard: this one if no other is known or
// operations cannot be forwarded.
func (s *Service) owner(shard int) string {
	if s.config.Owner == nil || s.config.Forward == nil {
		return s.config.Member
	}
	if owner := s.config.Owner(shard); owner != "" {
		return owner
	}
	return s.config.Member
}

func (s *Service) forward(ctx context.Context, owner string, op Op) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.Settings.ForwardTimeout)
	defer cancel()
	s.config.Metrics.Forwards.Add(1)
	return s.config.Forward.Forward(ctx, owner, op)
}

// commitLocally commits an operation to its shard from this member.
func (s *Service) commitLocally(ctx context.Context, op Op) Result {
	layout, refusal, ok := s.loadLayout(ctx)
	if !ok {
		return refusal
	}
	c := s.committer(op.Key.ID().shard(layout.Shards))
	if c == nil {
		return refused(minBackoff, false)
	}
	return c.Do(ctx, op)
}

// committer returns the committer of a shard; nil once the service is closed.
func (s *Service) committer(shard int) *Committer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	c, found := s.committers[shard]
	if !found {
		c = newCommitter(s.shardStore(shard), s.pool, &s.breaker, s.config.Settings)
		s.committers[shard] = c
	}
	return c
}

func (s *Service) shardStore(shard int) *shardStore {
	return &shardStore{
		name:               shardName(shard),
		store:              s.config.Store,
		breaker:            &s.breaker,
		timeout:            s.config.Settings.StoreTimeout,
		writerEnded:        s.config.WriterEnded,
		metrics:            s.config.Metrics,
		logger:             s.config.Logger,
		runInBackground:    s.runInBackground,
		sealThresholdBytes: s.config.Settings.SealThresholdBytes,
		mergeThreshold:     s.config.Settings.MergeThreshold,
	}
}

// runInBackground runs a task in the pool; Close waits for it. A task that the pool does not accept
// is dropped.
func (s *Service) runInBackground(task func()) {
	s.tasks.Add(1)
	err := s.pool.Go(func() {
		defer s.tasks.Done()
		task()
	})
	if err != nil {
		s.tasks.Done()
	}
}

// loadLayout returns the layout of the deployment, which is kept once it has been read. ok is false
// if it cannot be read and the operation has to be refused.
func (s *Service) loadLayout(ctx context.Context) (l layout, refusal Result, ok bool) {
	s.mu.Lock()
	l = s.layout
	s.mu.Unlock()
	if l.Shards > 0 {
		return l, Result{}, true
	}
	if wait := s.breaker.wait(time.Now()); wait > 0 {
		return layout{}, refused(wait, false), false
	}
	ctx, cancel := context.WithTimeout(ctx, s.config.Settings.StoreTimeout)
	defer cancel()
	l, err := loadLayout(ctx, s.config.Store, layout{Shards: s.config.Settings.Shards})
	if err != nil {
		return layout{}, refused(s.breaker.recordFailure(time.Now()), false), false
	}
	s.setLayout(l)
	return l, Result{}, true
}

func (s *Service) setLayout(l layout) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.layout.Shards == 0 && l.Shards != s.config.Settings.Shards {
		s.config.Logger.Warn().Int("stored", l.Shards).Int("setting", s.config.Settings.Shards).
			Msg("using the stored number of claim shards instead of the configured one")
	}
	s.layout = l
}
