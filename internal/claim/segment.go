package claim

import (
	"slices"
	"time"
)

// Sizes of segments.
const (
	// DefaultSealThresholdBytes is the size of a shard, without its segments, above which it is
	// sealed.
	DefaultSealThresholdBytes = 64 << 10
	// DefaultMergeThreshold is the number of old segments from which on they are merged into one.
	DefaultMergeThreshold = 16
	// maxMergedSegmentBytes bounds the size of a merged segment, as estimated by mergedSize.
	maxMergedSegmentBytes = 896 << 10
	// maxSegmentRefBytes bounds the size of the JSON form of a reference to a segment.
	maxSegmentRefBytes = 80
)

// segmentRef refers to a segment in the stored form of a shard.
type segmentRef struct {
	Name string `json:"name"`
	// NewestMillis is an upper bound of the time at which the newest claim of the segment was made.
	NewestMillis int64 `json:"newest_ms"`
}

// segment holds completed claims and fingerprints of a shard, or after a merge only fingerprints, in
// a separate object that never changes. The value of the shard lists its segments, so that the
// conditional update of the shard decides which segments belong to it.
type segment struct {
	segmentRef
	content *Shard
}

// expired reports whether all claims of the segment are known to have been older than FingerprintTTL
// for bucketSpan.
func (s segment) expired(now time.Time) bool {
	return now.Sub(time.UnixMilli(s.NewestMillis)) >= FingerprintTTL+bucketSpan
}

// pastRecordTTL reports whether every claim of the segment is known to be older than RecordTTL.
func (s segment) pastRecordTTL(now time.Time) bool {
	return now.Sub(time.UnixMilli(s.NewestMillis)) >= RecordTTL
}

// mergedSize estimates the size that the segment adds to a merged segment. It is an upper bound
// except that it omits the JSON around buckets that only records of the segment fill.
func (s segment) mergedSize() int {
	size := len(s.content.records) * encodedLen(fingerprintBytes)
	for _, b := range s.content.buckets {
		size += b.size()
	}
	return size
}

// newestMillis is an upper bound of the time of the newest claim in a shard, without its segments,
// in milliseconds since the Unix epoch.
func (s *Shard) newestMillis() int64 {
	var newestMillis int64
	for _, r := range s.records {
		newestMillis = max(newestMillis, r.CreatedMillis)
	}
	for _, b := range s.buckets {
		newestMillis = max(newestMillis, (b.span+1)*bucketSpan.Milliseconds())
	}
	return newestMillis
}

// compaction moves claims of a shard, or the fingerprints of its older segments, into a new segment.
type compaction struct {
	// content is the value of the new segment.
	content *Shard
	// remaining is the shard without the moved claims and without the segments that are replaced.
	remaining *Shard
	// merged indicates that the content comes from older segments.
	merged bool
}

// with returns the shard that refers to the new segment by the given name.
func (c compaction) with(name string) *Shard {
	ref := segmentRef{Name: name, NewestMillis: c.content.newestMillis()}
	next := c.remaining.clone()
	next.segments = append(next.segments, segment{segmentRef: ref, content: c.content})
	return next
}

// compact returns the compaction that is due, if any. A merge comes before sealing.
func (s *Shard) compact(now time.Time) (compaction, bool) {
	if c, ok := s.merge(now); ok {
		return c, true
	}
	return s.seal()
}

// seal moves the completed claims and the fingerprints out of a shard that has grown beyond the
// threshold. It reports false if that is not due or not worthwhile.
func (s *Shard) seal() (compaction, bool) {
	if s.unsealedSize() <= s.sealThresholdBytes {
		return compaction{}, false
	}
	content := NewShard()
	content.buckets = s.buckets
	remaining := s.clone()
	remaining.buckets = nil
	for id, r := range s.records {
		if r.State == StateCompleted {
			content.records[id] = r
			delete(remaining.records, id)
		}
	}
	// If most claims are pending or withdrawn, sealing would hardly shrink the shard.
	return compaction{content: content, remaining: remaining}, content.unsealedSize() > s.sealThresholdBytes/2
}

// merge replaces old segments by one that holds only their fingerprints.
func (s *Shard) merge(now time.Time) (compaction, bool) {
	old, due := s.mergeable(now)
	if !due {
		return compaction{}, false
	}
	content := NewShard()
	for _, o := range old {
		content.addFingerprintsOf(o.content)
	}
	remaining := s.clone()
	remaining.segments = slices.DeleteFunc(remaining.segments, func(kept segment) bool {
		return slices.ContainsFunc(old, func(o segment) bool { return o.Name == kept.Name })
	})
	return compaction{content: content, remaining: remaining, merged: true}, true
}

// mergeable returns the old segments that fit into one. due means that there are at least
// mergeThreshold of them, or that a further one would not fit. Segments that fill more than half of
// a merged one are left alone.
func (s *Shard) mergeable(now time.Time) (old []segment, due bool) {
	size := 0
	for _, candidate := range s.segments {
		add := candidate.mergedSize()
		if !candidate.pastRecordTTL(now) || add > maxMergedSegmentBytes/2 {
			continue
		}
		if size+add > maxMergedSegmentBytes {
			due = true
			continue
		}
		size += add
		old = append(old, candidate)
	}
	return old, due || len(old) >= s.mergeThreshold
}

// addFingerprintsOf adds the fingerprints of all claims of another shard value.
func (s *Shard) addFingerprintsOf(other *Shard) {
	spans := map[int64][]uint64{}
	for _, r := range other.records {
		span := spanOf(r.CreatedMillis)
		spans[span] = append(spans[span], r.ID.fingerprint())
	}
	for _, b := range other.buckets {
		spans[b.span] = append(spans[b.span], b.fingerprints...)
	}
	for span, fingerprints := range spans {
		s.addFingerprints(span, fingerprints)
	}
}

// verifyCompaction checks that a compaction loses no claim and no fingerprint. The new segment is
// the last one of the new value.
func verifyCompaction(before, after *Shard) error {
	added := after.segments[len(after.segments)-1]
	for id, r := range before.records {
		if containsUnchanged(after.records, r) || containsUnchanged(added.content.records, r) {
			continue
		}
		return &InvariantError{Invariant: "claim lost by compaction", ID: id}
	}
	moved := before.buckets
	for _, old := range before.segments {
		if after.hasSegment(old.Name) {
			continue
		}
		moved = append(slices.Clone(moved), old.content.buckets...)
		for id := range old.content.records {
			if !added.content.hasFingerprint(id.fingerprint()) {
				return &InvariantError{Invariant: "sealed claim lost by compaction", ID: id}
			}
		}
	}
	for _, b := range moved {
		for _, fp := range b.fingerprints {
			if !added.content.hasFingerprint(fp) && !hasFingerprint(after.buckets, fp) {
				return &InvariantError{Invariant: "fingerprint lost by compaction"}
			}
		}
	}
	return nil
}

// containsUnchanged reports whether the records contain the claim with the same attempt and state.
func containsUnchanged(records map[ID]Record, r Record) bool {
	now, found := records[r.ID]
	return found && now.Attempt == r.Attempt && now.State == r.State
}

func (s *Shard) hasSegment(name string) bool {
	return slices.ContainsFunc(s.segments, func(kept segment) bool { return kept.Name == name })
}
