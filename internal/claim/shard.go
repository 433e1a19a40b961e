package claim

import (
	"maps"
	"slices"
	"time"

	"rattanchute/internal/objectstore"
)

// limitBytes is the largest encoded shard that is written; the rest of the platform's
// limit is left for the frame around records and fingerprints.
const limitBytes = objectstore.MaxValueBytes - 4<<10

// Shard is the value of one shard. It is not changed once made; Apply returns a new one.
type Shard struct {
	records map[ID]Record
	// buckets are in order of their span.
	buckets []bucket
	// segments hold more claims, the latest segment last.
	segments []segment
	// limit is the largest size that is written.
	limit int
	// sealBytes and mergeSegments say when claims are moved to a segment.
	sealBytes     int
	mergeSegments int
}

// NewShard returns a shard without claims.
func NewShard() *Shard {
	return &Shard{
		records:       map[ID]Record{},
		limit:         limitBytes,
		sealBytes:     DefaultSealThresholdBytes,
		mergeSegments: DefaultMergeThreshold,
	}
}

// Env is what a decision depends on beside the shard.
type Env struct {
	Now time.Time
	// WriterEnded reports whether the run of a daemon is known to have ended; nil knows of none.
	WriterEnded func(writer string) bool
}

func (e Env) gone(writer string) bool {
	return e.WriterEnded != nil && e.WriterEnded(writer)
}

// Applied is what became of a group of operations.
type Applied struct {
	// Shard is the value to store; the results hold only once it is stored.
	Shard *Shard
	// Results answer the operations in their order.
	Results []Result
	// Changed is false if nothing has to be stored.
	Changed bool
}

// Final reports whether the results hold even if the value they were taken from has
// been replaced since.
func (a Applied) Final() bool {
	for _, r := range a.Results {
		if r.Kind != Completed && r.Kind != Expired {
			return false
		}
	}
	return true
}

// Apply applies operations in order. An error means a broken invariant: the value must
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

// size bounds the encoded length of the shard.
func (s *Shard) size() int {
	return s.ownSize() + len(s.segments)*segmentRefBytes
}

// ownSize bounds the encoded length of what is not in segments.
func (s *Shard) ownSize() int {
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

// hasPrint reports whether a claim with this fingerprint was made within the window.
func (s *Shard) hasPrint(print uint64) bool {
	if hasPrint(s.buckets, print) {
		return true
	}
	for _, sealed := range s.segments {
		if sealed.content.hasPrint(print) {
			return true
		}
	}
	return false
}

func hasPrint(buckets []bucket, print uint64) bool {
	return slices.ContainsFunc(buckets, func(b bucket) bool { return b.has(print) })
}

// anyRecord returns the claim on a key, however old.
func (s *Shard) anyRecord(id ID) (Record, bool) {
	if r, found := s.records[id]; found {
		return r, true
	}
	for _, sealed := range slices.Backward(s.segments) {
		if r, found := sealed.content.records[id]; found {
			return r, true
		}
	}
	return Record{}, false
}

// find returns the claim on a key if it is still kept in full.
func (s *Shard) find(id ID, now time.Time) (Record, bool) {
	r, found := s.anyRecord(id)
	return r, found && r.age(now) < RecordTTL
}

// used reports whether no more is known of a key than that it was used.
func (s *Shard) used(id ID, now time.Time) bool {
	if s.hasPrint(id.fingerprint()) {
		return true
	}
	r, found := s.anyRecord(id)
	age := r.age(now)
	return found && r.State == StateCompleted && age >= RecordTTL && age < FingerprintTTL
}

// expire drops what is past its window.
func (s *Shard) expire(now time.Time) {
	var old []Record
	for _, r := range s.records {
		if r.age(now) >= RecordTTL {
			old = append(old, r)
		}
	}
	s.reduce(old)
	s.buckets = slices.DeleteFunc(s.buckets, func(b bucket) bool {
		return b.expired(now)
	})
	s.segments = slices.DeleteFunc(s.segments, func(sealed segment) bool {
		return sealed.expired(now)
	})
}

// reduce replaces records by their fingerprints. A withdrawn claim leaves none, since
// its key has not been used.
func (s *Shard) reduce(records []Record) {
	spans := map[int64][]uint64{}
	for _, r := range records {
		delete(s.records, r.ID)
		if r.State == StateWithdrawn {
			continue
		}
		span := spanOf(r.CreatedMillis)
		spans[span] = append(spans[span], r.ID.fingerprint())
	}
	for span, prints := range spans {
		s.addPrints(span, prints)
	}
}

func (s *Shard) addPrints(span int64, prints []uint64) {
	at, found := slices.BinarySearchFunc(s.buckets, span, func(b bucket, span int64) int {
		return int(b.span - span)
	})
	if !found {
		s.buckets = slices.Insert(s.buckets, at, bucket{span: span})
	}
	s.buckets[at] = s.buckets[at].with(prints)
}
