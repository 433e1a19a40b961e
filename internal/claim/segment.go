package claim

import (
	"slices"
	"time"
)

// Sizes of segments.
const (
	// DefaultSealThresholdBytes is the size from which a shard's finished claims are moved to a
	// segment.
	DefaultSealThresholdBytes = 64 << 10
	// DefaultMergeThreshold is the number of old segments that are merged into one.
	DefaultMergeThreshold = 16
	// mergedBytes bounds the size of a merged segment.
	mergedBytes = 896 << 10
	// segmentRefBytes bounds the JSON of a reference to a segment.
	segmentRefBytes = 80
)

// segmentRef names a segment in the stored form of a shard.
type segmentRef struct {
	Name string `json:"name"`
	// NewestMillis is when the newest claim of the segment was made, or later.
	NewestMillis int64 `json:"newest_ms"`
}

// segment holds finished claims of a shard in an object of its own, which never changes.
// The shard's value lists its segments, so that the conditional update of the shard
// decides which segments count.
type segment struct {
	segmentRef
	content *Shard
}

// expired reports whether every claim of the segment is past its window.
func (s segment) expired(now time.Time) bool {
	return now.Sub(time.UnixMilli(s.NewestMillis)) >= FingerprintTTL+bucketSpan
}

// printed reports whether every claim of the segment is past the window of records.
func (s segment) printed(now time.Time) bool {
	return now.Sub(time.UnixMilli(s.NewestMillis)) >= RecordTTL
}

// printsSize bounds the size of the segment once it is merged.
func (s segment) printsSize() int {
	size := len(s.content.records) * encodedLen(fingerprintBytes)
	for _, b := range s.content.buckets {
		size += b.size()
	}
	return size
}

// newest bounds the time of the newest claim in a shard, in milliseconds.
func (s *Shard) newest() int64 {
	var newest int64
	for _, r := range s.records {
		newest = max(newest, r.CreatedMillis)
	}
	for _, b := range s.buckets {
		newest = max(newest, (b.span+1)*bucketSpan.Milliseconds())
	}
	return newest
}

// compaction moves claims of a shard into a new segment.
type compaction struct {
	// content is the value of the new segment.
	content *Shard
	// rest is the shard without the claims, and without the segments that are replaced.
	rest *Shard
	// merged says that the content comes from older segments.
	merged bool
}

// with returns the shard that refers to the new segment by name.
func (c compaction) with(name string) *Shard {
	ref := segmentRef{Name: name, NewestMillis: c.content.newest()}
	next := c.rest.clone()
	next.segments = append(next.segments, segment{segmentRef: ref, content: c.content})
	return next
}

// compact returns what should be moved into a segment now, if anything.
func (s *Shard) compact(now time.Time) (compaction, bool) {
	if c, ok := s.merge(now); ok {
		return c, true
	}
	return s.seal()
}

// seal moves the completed claims and the fingerprints out of a shard that has grown.
func (s *Shard) seal() (compaction, bool) {
	if s.ownSize() <= s.sealBytes {
		return compaction{}, false
	}
	content := NewShard()
	content.buckets = s.buckets
	rest := s.clone()
	rest.buckets = nil
	for id, r := range s.records {
		if r.State == StateCompleted {
			content.records[id] = r
			delete(rest.records, id)
		}
	}
	// A shard of unfinished claims gains nothing.
	return compaction{content: content, rest: rest}, content.ownSize() > s.sealBytes/2
}

// merge replaces old segments by one that holds only their fingerprints.
func (s *Shard) merge(now time.Time) (compaction, bool) {
	old, due := s.mergeable(now)
	if !due {
		return compaction{}, false
	}
	content := NewShard()
	for _, o := range old {
		content.addAll(o.content)
	}
	rest := s.clone()
	rest.segments = slices.DeleteFunc(rest.segments, func(kept segment) bool {
		return slices.ContainsFunc(old, func(o segment) bool { return o.Name == kept.Name })
	})
	return compaction{content: content, rest: rest, merged: true}, true
}

// mergeable lists old segments that fit into one, and reports whether they are many
// enough or fill it.
func (s *Shard) mergeable(now time.Time) (old []segment, due bool) {
	size := 0
	for _, candidate := range s.segments {
		add := candidate.printsSize()
		if !candidate.printed(now) || add > mergedBytes/2 {
			continue
		}
		if size+add > mergedBytes {
			due = true
			continue
		}
		size += add
		old = append(old, candidate)
	}
	return old, due || len(old) >= s.mergeSegments
}

// addAll takes in the fingerprints of all claims of another shard's value.
func (s *Shard) addAll(other *Shard) {
	spans := map[int64][]uint64{}
	for _, r := range other.records {
		span := spanOf(r.CreatedMillis)
		spans[span] = append(spans[span], r.ID.fingerprint())
	}
	for _, b := range other.buckets {
		spans[b.span] = append(spans[b.span], b.prints...)
	}
	for span, prints := range spans {
		s.addPrints(span, prints)
	}
}

// verifyCompaction checks that no claim is lost by a compaction, whose segment is the
// last one of the new value.
func verifyCompaction(before, after *Shard) error {
	added := after.segments[len(after.segments)-1]
	for id, r := range before.records {
		if same(after.records, r) || same(added.content.records, r) {
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
			if !added.content.hasPrint(id.fingerprint()) {
				return &InvariantError{Invariant: "sealed claim lost by compaction", ID: id}
			}
		}
	}
	for _, b := range moved {
		for _, print := range b.prints {
			if !added.content.hasPrint(print) && !hasPrint(after.buckets, print) {
				return &InvariantError{Invariant: "fingerprint lost by compaction"}
			}
		}
	}
	return nil
}

// same reports whether a claim is among the records as it was.
func same(records map[ID]Record, r Record) bool {
	now, found := records[r.ID]
	return found && now.Attempt == r.Attempt && now.State == r.State
}

func (s *Shard) hasSegment(name string) bool {
	return slices.ContainsFunc(s.segments, func(kept segment) bool { return kept.Name == name })
}
