package claim

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/phuslu/log"

	"rattanchute/internal/objectstore"
)

// maxCommitAttempts bounds the attempts to commit one group.
const maxCommitAttempts = 6

// shardStore commits groups to the object of one shard. It is used by one goroutine at a time.
type shardStore struct {
	name        string
	store       objectstore.Store
	breaker     *breaker
	timeout     time.Duration
	writerEnded func(writer string) bool
	metrics     *Metrics
	logger      *log.Logger
	// runInBackground runs tasks that no caller waits for.
	runInBackground func(func())
	// sealThresholdBytes and mergeThreshold are set on every value that is read.
	sealThresholdBytes int
	mergeThreshold     int

	// base is the last known stored value, at the given version; nil if it has to be read.
	base    *Shard
	version objectstore.Version
	// lastLoaded is the last value whose segments were loaded. It may have been replaced since.
	lastLoaded *Shard
	orphans    []orphan
	// errorLogged indicates that an error of this shard has been logged.
	errorLogged bool
}

// commitState is the state of a group over its attempts to commit.
type commitState struct {
	// writeUncertain indicates that a write of this group was not answered.
	writeUncertain bool
	// baseFresh indicates that the base was read for this group.
	baseFresh bool
}

// commit stores the effect of the operations and returns their results. If a result depends on a
// write and is not a refusal, it is returned only once the write is known to have taken effect:
// because it was confirmed, or because a value that shows its effect was read back.
func (s *shardStore) commit(ops []Op) []Result {
	if wait := s.breaker.wait(time.Now()); wait > 0 {
		// The store has failed while the operations were pending.
		return refuseOps(ops, wait, false)
	}
	s.metrics.Groups.Add(1)
	s.metrics.GroupedOps.Add(uint64(len(ops)))
	var state commitState
	for range maxCommitAttempts {
		results, err := s.tryCommit(ops, &state)
		if err != nil {
			return s.recordFailure(ops, err, state)
		}
		if results != nil {
			s.breaker.recordSuccess()
			return results
		}
	}
	return refuseOps(ops, minBackoff, state.writeUncertain)
}

// tryCommit makes one attempt to commit. It returns neither results nor an error if another attempt
// is needed.
func (s *shardStore) tryCommit(ops []Op, state *commitState) ([]Result, error) {
	if s.base == nil {
		err := s.read()
		if errors.Is(err, errSegmentReplaced) {
			s.base = nil
			return nil, nil
		}
		if err != nil {
			return nil, err
		}
		state.baseFresh = true
	}
	applied, err := s.base.Apply(ops, Env{Now: time.Now(), WriterEnded: s.writerEnded})
	if err != nil {
		return nil, err
	}
	if !applied.Changed {
		if state.baseFresh || applied.Final() {
			return applied.Results, nil
		}
		s.base = nil
		return nil, nil
	}
	return s.write(applied, state)
}

// read loads the stored value with its segments and makes it the base.
func (s *shardStore) read() error {
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	s.metrics.Reads.Add(1)
	object, err := s.store.Get(ctx, objectstore.KindClaims, s.name)
	if errors.Is(err, objectstore.ErrNotFound) {
		s.setBase(NewShard(), 0)
		return nil
	}
	if err != nil {
		return err
	}
	base, err := Decode(object.Value)
	if err != nil {
		return err
	}
	if err := s.loadSegments(base); err != nil {
		return err
	}
	s.setBase(base, object.Version)
	s.collectGarbage(nil)
	return nil
}

// setBase sets the value that is known to be stored.
func (s *shardStore) setBase(base *Shard, version objectstore.Version) {
	base.sealThresholdBytes = s.sealThresholdBytes
	base.mergeThreshold = s.mergeThreshold
	s.base = base
	s.lastLoaded = base
	s.version = version
}

// write stores a new value in place of the base. It returns neither results nor an error if another
// attempt is needed.
func (s *shardStore) write(applied Applied, state *commitState) ([]Result, error) {
	next, err := s.compact(applied.Shard, time.Now())
	if err != nil {
		return nil, err
	}
	value, err := next.Encode()
	if err != nil {
		return nil, err
	}
	object, err := s.put(value)
	switch {
	case err == nil:
		replaced := s.base
		s.setBase(next, object.Version)
		s.collectGarbage(replaced)
		s.metrics.ShardBytes.Store(int64(len(value)))
		return applied.Results, nil
	case errors.Is(err, objectstore.ErrConflict), errors.Is(err, objectstore.ErrNotFound):
		s.metrics.Conflicts.Add(1)
		s.base = nil
		return nil, nil
	case errors.Is(err, objectstore.ErrThrottled), errors.Is(err, objectstore.ErrTooLarge):
		return nil, err
	}
	// The write may have taken effect, or may still do so. Either a value that is read back shows
	// its effect, or another write at the same version rules it out.
	s.metrics.Lost.Add(1)
	state.writeUncertain = true
	s.base = nil
	return nil, nil
}

// put makes the conditional write.
func (s *shardStore) put(value json.RawMessage) (objectstore.Object, error) {
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	s.metrics.Writes.Add(1)
	s.metrics.WrittenBytes.Add(uint64(len(value)))
	if s.version == 0 {
		return s.store.Create(ctx, objectstore.KindClaims, s.name, value)
	}
	object := objectstore.Object{Kind: objectstore.KindClaims, Name: s.name, Version: s.version, Value: value}
	return s.store.Update(ctx, object)
}

// recordFailure refuses a group after an error that an immediate retry would not fix. An error that
// concerns this shard alone does not open the circuit breaker, which would also stop the other
// shards.
func (s *shardStore) recordFailure(ops []Op, err error, state commitState) []Result {
	s.base = nil
	s.metrics.Failures.Add(1)
	var violation *InvariantError
	switch {
	case errors.As(err, &violation):
		s.metrics.Violations.Add(1)
		s.logError(err)
	case errors.Is(err, ErrCorrupt), errors.Is(err, objectstore.ErrTooLarge):
		s.logError(err)
	default:
		return refuseOps(ops, s.breaker.recordFailure(time.Now()), state.writeUncertain)
	}
	return refuseOps(ops, ShardFullRetryAfter, state.writeUncertain)
}

// logError logs an error that an operator has to investigate. It logs only the first one of each
// shard.
func (s *shardStore) logError(err error) {
	if s.errorLogged {
		return
	}
	s.errorLogged = true
	s.logger.Error().Str("shard", s.name).Err(err).Msg("refusing claims: the shard is unusable")
}

func refuseOps(ops []Op, retryAfter time.Duration, mayBeStored bool) []Result {
	results := make([]Result, len(ops))
	for i := range results {
		results[i] = refused(retryAfter, mayBeStored)
	}
	return results
}
