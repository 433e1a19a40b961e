package claim

import (
	"maps"
	"slices"
	"time"

	"rattanchute/internal/objectstore"
)

// maxShardBytes is the largest size, as bounded by Shard.size, to which an operation may grow a
// shard. The rest of the platform's limit is reserved for the JSON around records and fingerprints.
const maxShardBytes = objectstore.MaxValueBytes - 4<<10

// Shard is the value of one shard, or the content of one of its segments. Apply does not change it
// but returns a new one.
type Shard struct {
	records map[ID]Record
	// buckets are sorted by span.
	buckets []bucket
	// segments hold more claims, in the order in which the segments were made.
	segments []segment
	// maxBytes is the largest size to which an operation may grow the shard.
	maxBytes int
	// sealThresholdBytes and mergeThreshold determine when the shard is sealed and when its segments
	// are merged.
	sealThresholdBytes int
	mergeThreshold     int
}

// NewShard returns a shard without claims.
func NewShard() *Shard {
	return &Shard{
		records:            map[ID]Record{},
		maxBytes:           maxShardBytes,
		sealThresholdBytes: DefaultSealThresholdBytes,
		mergeThreshold:     DefaultMergeThreshold,
	}
}

// Env holds what a decision depends on besides the shard.
type Env struct {
	Now time.Time
	// WriterEnded reports whether a writer, one run of a daemon, is known to have ended; nil means
	// that this is never known.
	WriterEnded func(writer string) bool
}

func (e Env) hasEnded(writer string) bool {
	return e.WriterEnded != nil && e.WriterEnded(writer)
}

// Applied is the result of applying a group of operations.
type Applied struct {
	// Shard is the value to store. The results are valid only once it is stored.
	Shard *Shard
	// Results are the results of the operations, in the same order.
	Results []Result
	// Changed indicates whether anything has to be stored.
	Changed bool
}

// Final reports whether the results are valid even if the value on which they are based has been
// replaced.
func (a Applied) Final() bool {
	for _, r := range a.Results {
		if r.Kind != Completed && r.Kind != Expired {
			return false
		}
	}
	return true
}

// Apply applies operations in order. An error means that an invariant was violated: the value must
// not be stored and no result is valid.
func (s *Shard) Apply(ops []Op, env Env) (Applied, error) {
	next := s.clone()
	next.expire(env.Now)
	e := editor{shard: next, env: env, size: next.size()}
	results := make([]Result, len(ops))
	for i, op := range ops {
		results[i] = e.apply(op)
	}
	a := Applied{Shard: next, Results: results, Changed: e.changed}
	return a, verify(s, a, ops, env.Now)
}

// size is an upper bound of the encoded length of the shard without the JSON around its lists.
func (s *Shard) size() int {
	return s.unsealedSize() + len(s.segments)*maxSegmentRefBytes
}

// unsealedSize is an upper bound of the encoded length of the records and fingerprints that are not
// in segments.
func (s *Shard) unsealedSize() int {
	total := 0
	for _, r := range s.records {
		total += r.size()
	}
	for _, b := range s.buckets {
		total += b.size()
	}
	return total
}

func (s *Shard) clone() *Shard {
	next := *s
	next.records = maps.Clone(s.records)
	next.buckets = slices.Clone(s.buckets)
	next.segments = slices.Clone(s.segments)
	return &next
}

// hasFingerprint reports whether the fingerprint is stored in the shard or in a segment. A claim
// that still has a record has no fingerprint yet.
func (s *Shard) hasFingerprint(fp uint64) bool {
	if hasFingerprint(s.buckets, fp) {
		return true
	}
	for _, seg := range s.segments {
		if seg.content.hasFingerprint(fp) {
			return true
		}
	}
	return false
}

func hasFingerprint(buckets []bucket, fp uint64) bool {
	return slices.ContainsFunc(buckets, func(b bucket) bool { return b.has(fp) })
}

// anyRecord returns the record of a key, regardless of its age.
func (s *Shard) anyRecord(id ID) (Record, bool) {
	if r, found := s.records[id]; found {
		return r, true
	}
	for _, seg := range slices.Backward(s.segments) {
		if r, found := seg.content.records[id]; found {
			return r, true
		}
	}
	return Record{}, false
}

// find returns the record of a key unless it is older than RecordTTL.
func (s *Shard) find(id ID, now time.Time) (Record, bool) {
	r, found := s.anyRecord(id)
	return r, found && r.age(now) < RecordTTL
}

// used reports whether the key was used and its response is no longer available: either only the
// fingerprint is left, or the record in a segment is older than RecordTTL.
func (s *Shard) used(id ID, now time.Time) bool {
	if s.hasFingerprint(id.fingerprint()) {
		return true
	}
	r, found := s.anyRecord(id)
	age := r.age(now)
	return found && r.State == StateCompleted && age >= RecordTTL && age < FingerprintTTL
}

// expire replaces records that are older than RecordTTL by fingerprints, and drops the buckets whose
// claims are all older than FingerprintTTL, and the segments one to two bucketSpans after that.
func (s *Shard) expire(now time.Time) {
	var old []Record
	for _, r := range s.records {
		if r.age(now) >= RecordTTL {
			old = append(old, r)
		}
	}
	s.replaceByFingerprints(old)
	s.buckets = slices.DeleteFunc(s.buckets, func(b bucket) bool {
		return b.expired(now)
	})
	s.segments = slices.DeleteFunc(s.segments, func(seg segment) bool {
		return seg.expired(now)
	})
}

// replaceByFingerprints replaces records by their fingerprints. A withdrawn claim leaves no
// fingerprint, because its key was not used.
func (s *Shard) replaceByFingerprints(records []Record) {
	spans := map[int64][]uint64{}
	for _, r := range records {
		delete(s.records, r.ID)
		if r.State == StateWithdrawn {
			continue
		}
		span := spanOf(r.CreatedMillis)
		spans[span] = append(spans[span], r.ID.fingerprint())
	}
	for span, fingerprints := range spans {
		s.addFingerprints(span, fingerprints)
	}
}

func (s *Shard) addFingerprints(span int64, fingerprints []uint64) {
	at, found := slices.BinarySearchFunc(s.buckets, span, func(b bucket, span int64) int {
		return int(b.span - span)
	})
	if !found {
		s.buckets = slices.Insert(s.buckets, at, bucket{span: span})
	}
	s.buckets[at] = s.buckets[at].with(fingerprints)
}
