package claim

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// ErrCorrupt is wrapped by the errors about a stored value that cannot be decoded.
var ErrCorrupt = errors.New("claim: malformed stored shard")

// formatVersion is the version of the stored format.
const formatVersion = 1

// storedShard is the JSON form of a shard.
type storedShard struct {
	Format  int            `json:"format"`
	Records []Record       `json:"records"`
	Buckets []storedBucket `json:"fingerprints"`
	// Segments refer to the shard's segments. It is empty in the value of a segment.
	Segments []segmentRef `json:"segments,omitempty"`
}

// Encode returns the stored form. Equal shards have equal stored forms.
func (s *Shard) Encode() (json.RawMessage, error) {
	stored := storedShard{Format: formatVersion}
	for _, r := range s.records {
		stored.Records = append(stored.Records, r)
	}
	slices.SortFunc(stored.Records, compareByAge)
	for _, b := range s.buckets {
		stored.Buckets = append(stored.Buckets, b.stored())
	}
	for _, seg := range s.segments {
		stored.Segments = append(stored.Segments, seg.segmentRef)
	}
	value, err := json.Marshal(stored)
	if err != nil {
		return nil, fmt.Errorf("encode claims: %w", err)
	}
	return value, nil
}

// Decode decodes the stored form. The contents of the segments are not part of it; they have to be
// loaded separately.
func Decode(value json.RawMessage) (*Shard, error) {
	var stored storedShard
	if err := json.Unmarshal(value, &stored); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if stored.Format != formatVersion {
		return nil, fmt.Errorf("%w: format %d, want %d", ErrCorrupt, stored.Format, formatVersion)
	}
	s := NewShard()
	for _, r := range stored.Records {
		s.records[r.ID] = r
	}
	for _, sb := range stored.Buckets {
		b, err := sb.bucket()
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
		}
		s.buckets = append(s.buckets, b)
	}
	for _, ref := range stored.Segments {
		s.segments = append(s.segments, segment{segmentRef: ref})
	}
	return s, nil
}
