package claim

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/phuslu/log"

	"rattanchute/internal/objectstore"
)

// maxTries limits the writes and reads for one group.
const maxTries = 6

// shardStore commits groups to one shard's object. It is used by one goroutine at a time.
type shardStore struct {
	name    string
	store   objectstore.Store
	breaker *breaker
	timeout time.Duration
	gone    func(writer string) bool
	metrics *Metrics
	logger  *log.Logger
	// later runs what no caller waits for.
	later func(func())
	// sealBytes and mergeSegments are set on every value that is read.
	sealBytes     int
	mergeSegments int

	// base is the value last known to be stored, at version; nil if it has to be read.
	base    *Shard
	version uint64
	// last is the value whose segments are known, which may have been replaced since.
	last    *Shard
	orphans []orphan
	// reported says that a fault of this shard has been logged.
	reported bool
}

// attempted is how far a group has come.
type attempted struct {
	// uncertain says that a write of this group had no answer.
	uncertain bool
	// fresh says that the base was read for this group.
	fresh bool
}

// commit stores the effect of the operations and returns their results. Results that
// depend on a write are returned only once the write is known to have taken effect: by
// its answer, or by reading back a value that holds the attempt.
func (s *shardStore) commit(ops []Op) []Result {
	if wait := s.breaker.wait(time.Now()); wait > 0 {
		// The store has failed while the group was waiting.
		return refuseOps(ops, wait, false)
	}
	s.metrics.Groups.Add(1)
	s.metrics.GroupedOps.Add(uint64(len(ops)))
	var state attempted
	for range maxTries {
		results, err := s.try(ops, &state)
		if err != nil {
			return s.failed(ops, err, state)
		}
		if results != nil {
			s.breaker.succeeded()
			return results
		}
	}
	return refuseOps(ops, minBackoff, state.uncertain)
}

// try makes one pass. It returns nothing at all if another pass is needed.
func (s *shardStore) try(ops []Op, state *attempted) ([]Result, error) {
	if s.base == nil {
		err := s.read()
		if errors.Is(err, errSegmentGone) {
			s.base = nil
			return nil, nil
		}
		if err != nil {
			return nil, err
		}
		state.fresh = true
	}
	applied, err := s.base.Apply(ops, Env{Now: time.Now(), WriterEnded: s.gone})
	if err != nil {
		return nil, err
	}
	if !applied.Changed {
		if state.fresh || applied.Final() {
			return applied.Results, nil
		}
		s.base = nil
		return nil, nil
	}
	return s.write(applied, state)
}

// read fetches the stored value.
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
	if err := s.attach(base); err != nil {
		return err
	}
	s.setBase(base, object.Version)
	s.collect(nil)
	return nil
}

// setBase notes the stored value.
func (s *shardStore) setBase(base *Shard, version uint64) {
	base.sealBytes = s.sealBytes
	base.mergeSegments = s.mergeSegments
	s.base = base
	s.last = base
	s.version = version
}

// write stores a new value in place of the base.
func (s *shardStore) write(applied Applied, state *attempted) ([]Result, error) {
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
		s.collect(replaced)
		s.metrics.ShardBytes.Store(int64(len(value)))
		return applied.Results, nil
	case errors.Is(err, objectstore.ErrConflict), errors.Is(err, objectstore.ErrNotFound):
		s.metrics.Conflicts.Add(1)
		s.base = nil
		return nil, nil
	case errors.Is(err, objectstore.ErrThrottled), errors.Is(err, objectstore.ErrTooLarge):
		return nil, err
	}
	// The write may have taken effect, or may do so later. Either the value read back
	// shows it, or writing again at the same version rules it out.
	s.metrics.Lost.Add(1)
	state.uncertain = true
	s.base = nil
	return nil, nil
}

// put is the conditional write.
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

// failed refuses a group after an error that trying again at once would not mend. Only
// errors of the store as a whole keep other shards from trying.
func (s *shardStore) failed(ops []Op, err error, state attempted) []Result {
	s.base = nil
	s.metrics.Failures.Add(1)
	var broken *InvariantError
	switch {
	case errors.As(err, &broken):
		s.metrics.Violations.Add(1)
		s.report(err)
	case errors.Is(err, ErrCorrupt), errors.Is(err, objectstore.ErrTooLarge):
		s.report(err)
	default:
		return refuseOps(ops, s.breaker.failed(time.Now()), state.uncertain)
	}
	return refuseOps(ops, ShardFullRetryAfter, state.uncertain)
}

// report logs what an operator has to look into, once for each shard.
func (s *shardStore) report(err error) {
	if s.reported {
		return
	}
	s.reported = true
	s.logger.Error().Str("shard", s.name).Err(err).Msg("claims of this shard are refused")
}

func refuseOps(ops []Op, retryAfter time.Duration, mayStand bool) []Result {
	results := make([]Result, len(ops))
	for i := range results {
		results[i] = refused(retryAfter, mayStand)
	}
	return results
}
