package claim

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"rattanchute/internal/objectstore"
)

// maxConcurrentSegmentReads bounds the segments that are read concurrently.
const maxConcurrentSegmentReads = 16

// errSegmentReplaced means that the value of a shard names a segment that no longer exists, because
// another member has replaced that value.
var errSegmentReplaced = errors.New("claim: segment replaced")

// orphan is a segment that may or may not belong to the shard: the write of the shard that is to
// name it, in place of the given version, has not been confirmed.
type orphan struct {
	name    string
	version objectstore.Version
}

// loadSegments reads the segments of a shard that are not in memory yet.
func (s *shardStore) loadSegments(shard *Shard) error {
	known := map[string]*Shard{}
	if s.lastLoaded != nil {
		for _, old := range s.lastLoaded.segments {
			known[old.Name] = old.content
		}
	}
	var readers errgroup.Group
	readers.SetLimit(maxConcurrentSegmentReads)
	for i := range shard.segments {
		target := &shard.segments[i]
		if target.content = known[target.Name]; target.content != nil {
			continue
		}
		readers.Go(func() error {
			content, err := s.readSegment(target.Name)
			target.content = content
			return err
		})
	}
	if err := readers.Wait(); err != nil {
		return err
	}
	s.lastLoaded = shard
	return nil
}

func (s *shardStore) readSegment(name string) (*Shard, error) {
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	s.metrics.Reads.Add(1)
	object, err := s.store.Get(ctx, objectstore.KindClaims, name)
	if errors.Is(err, objectstore.ErrNotFound) {
		return nil, fmt.Errorf("%w: %s", errSegmentReplaced, name)
	}
	if err != nil {
		return nil, err
	}
	return Decode(object.Value)
}

// compact moves claims into a new segment if that is due, and returns the value to write in place
// of next. If the segment cannot be stored, it returns next itself. Segment names are random; a
// name that is already in use counts as a segment that cannot be stored.
func (s *shardStore) compact(next *Shard, now time.Time) (*Shard, error) {
	c, due := next.compact(now)
	if !due {
		return next, nil
	}
	name := fmt.Sprintf("%s-%016x", s.name, rand.Uint64())
	compacted := c.with(name)
	if err := verifyCompaction(next, compacted); err != nil {
		return nil, err
	}
	if !s.createSegment(name, c.content) {
		return next, nil
	}
	if c.merged {
		s.metrics.Merges.Add(1)
	} else {
		s.metrics.Seals.Add(1)
	}
	// The segment is an orphan until the value of the shard names it.
	s.orphans = append(s.orphans, orphan{name: name, version: s.version})
	return compacted, nil
}

// createSegment stores a segment and returns whether that is confirmed.
func (s *shardStore) createSegment(name string, content *Shard) bool {
	value, err := content.Encode()
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
	defer cancel()
	s.metrics.Writes.Add(1)
	s.metrics.WrittenBytes.Add(uint64(len(value)))
	_, err = s.store.Create(ctx, objectstore.KindClaims, name, value)
	if err != nil && !isRefusal(err) {
		s.orphans = append(s.orphans, orphan{name: name, version: s.version})
	}
	return err == nil
}

// isRefusal reports whether an error proves that nothing was written.
func isRefusal(err error) bool {
	return errors.Is(err, objectstore.ErrThrottled) ||
		errors.Is(err, objectstore.ErrTooLarge) ||
		errors.Is(err, objectstore.ErrConflict)
}

// collectGarbage deletes, in the background, segments that do not belong to the stored value of the
// shard: those that only the replaced value names, if one is given, and orphans whose write can no
// longer take effect because the version has changed. If a deletion fails, the object stays in the
// store but nothing refers to it.
func (s *shardStore) collectGarbage(replaced *Shard) {
	named := map[string]bool{}
	for _, kept := range s.base.segments {
		named[kept.Name] = true
	}
	var garbage []string
	if replaced != nil {
		for _, old := range replaced.segments {
			if !named[old.Name] {
				garbage = append(garbage, old.Name)
			}
		}
	}
	var open []orphan
	for _, o := range s.orphans {
		switch {
		case named[o.name]:
		case o.version >= s.version:
			open = append(open, o)
		default:
			garbage = append(garbage, o.name)
		}
	}
	s.orphans = open
	if len(garbage) > 0 {
		s.runInBackground(func() { s.deleteSegments(garbage) })
	}
}

// deleteSegments tries once to delete each of the segments.
func (s *shardStore) deleteSegments(names []string) {
	for _, name := range names {
		ctx, cancel := context.WithTimeout(context.Background(), s.timeout)
		object, err := s.store.Get(ctx, objectstore.KindClaims, name)
		if err == nil {
			err = s.store.Delete(ctx, object)
		}
		cancel()
		s.metrics.Removals.Add(1)
		if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
			s.metrics.Leftovers.Add(1)
		}
	}
}
