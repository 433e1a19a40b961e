package claim

import (
	"context"
	"time"
)

// do commits an operation at the owner of its shard, or here if the owner does not
// answer. Both may apply it: an operation names its attempt, so that the second
// application changes nothing.
func (s *Service) do(ctx context.Context, op Op) Result {
	layout, refusal, ok := s.loadLayout(ctx)
	if !ok {
		return refusal
	}
	owner := s.owner(op.Key.ID().shard(layout.Shards))
	if owner == s.config.Member || s.isSilent(owner, time.Now()) {
		return s.commit(ctx, op)
	}
	result, err := s.forward(ctx, owner, op)
	if err == nil {
		return result
	}
	s.config.Metrics.Fallbacks.Add(1)
	s.noteSilent(owner, time.Now())
	result = s.commit(ctx, op)
	// The owner may still apply what was forwarded.
	result.MayBeStored = result.Kind == Refused
	return result
}

// silentWait is how long an owner that did not answer is passed over.
const silentWait = 2 * time.Second

// isSilent reports whether a member has just failed to answer.
func (s *Service) isSilent(member string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.silent[member])
}

// noteSilent passes a member over for a while.
func (s *Service) noteSilent(member string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[member] = now.Add(silentWait)
}

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

// commit applies an operation to its shard from here.
func (s *Service) commit(ctx context.Context, op Op) Result {
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

// committer returns the committer of a shard, nil once the service is closed.
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
		name:          shardName(shard),
		store:         s.config.Store,
		breaker:       &s.breaker,
		timeout:       s.config.Settings.StoreTimeout,
		gone:          s.config.WriterEnded,
		metrics:       s.config.Metrics,
		logger:        s.config.Logger,
		later:         s.later,
		sealBytes:     s.config.Settings.SealThresholdBytes,
		mergeSegments: s.config.Settings.MergeThreshold,
	}
}

// later runs a task in the pool; Close waits for it.
func (s *Service) later(task func()) {
	s.tasks.Add(1)
	err := s.pool.Go(func() {
		defer s.tasks.Done()
		task()
	})
	if err != nil {
		s.tasks.Done()
	}
}

// loadLayout returns the site's layout, read once; ok is false if the operation has to
// be refused because it could not be read.
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
		return layout{}, refused(s.breaker.failed(time.Now()), false), false
	}
	s.setLayout(l)
	return l, Result{}, true
}

func (s *Service) setLayout(l layout) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.layout.Shards == 0 && l.Shards != s.config.Settings.Shards {
		s.config.Logger.Warn().Int("stored", l.Shards).Int("setting", s.config.Settings.Shards).
			Msg("number of claim shards follows the platform, not the setting")
	}
	s.layout = l
}
