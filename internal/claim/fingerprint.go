package claim

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"slices"
	"time"
)

// bucketSpan is the length of the time spans. The fingerprints of one span are dropped together.
const bucketSpan = time.Hour

// The size of a fingerprint before it is encoded, and a bound of the JSON around those of a bucket.
const (
	fingerprintBytes       = 8
	maxBucketOverheadBytes = 64
)

// bucket holds the fingerprints of the claims that were made within one time span.
type bucket struct {
	// span is the number of the time span since the Unix epoch.
	span int64
	// fingerprints is sorted. It is never changed in place, so that copies of the bucket may share
	// it.
	fingerprints []uint64
}

// spanOf returns the number of the span that contains a time, given in milliseconds.
func spanOf(atMillis int64) int64 {
	return atMillis / bucketSpan.Milliseconds()
}

// expired reports whether every claim of the bucket is older than FingerprintTTL.
func (b bucket) expired(now time.Time) bool {
	end := time.UnixMilli((b.span + 1) * bucketSpan.Milliseconds())
	return now.Sub(end) >= FingerprintTTL
}

// has reports whether the bucket contains the fingerprint.
func (b bucket) has(fp uint64) bool {
	_, found := slices.BinarySearch(b.fingerprints, fp)
	return found
}

// with returns the bucket with additional fingerprints.
func (b bucket) with(fingerprints []uint64) bucket {
	all := make([]uint64, 0, len(b.fingerprints)+len(fingerprints))
	all = append(all, b.fingerprints...)
	all = append(all, fingerprints...)
	slices.Sort(all)
	return bucket{span: b.span, fingerprints: slices.Compact(all)}
}

// size is an upper bound of the encoded length of the bucket.
func (b bucket) size() int {
	return maxBucketOverheadBytes + encodedLen(len(b.fingerprints)*fingerprintBytes)
}

// storedBucket is the JSON form of a bucket.
type storedBucket struct {
	Span         int64  `json:"span"`
	Fingerprints string `json:"prints"`
}

// stored returns the JSON form.
func (b bucket) stored() storedBucket {
	raw := make([]byte, 0, len(b.fingerprints)*fingerprintBytes)
	for _, fp := range b.fingerprints {
		raw = binary.BigEndian.AppendUint64(raw, fp)
	}
	return storedBucket{Span: b.span, Fingerprints: base64.StdEncoding.EncodeToString(raw)}
}

// bucket decodes the JSON form.
func (s storedBucket) bucket() (bucket, error) {
	raw, err := base64.StdEncoding.DecodeString(s.Fingerprints)
	if err != nil {
		return bucket{}, fmt.Errorf("fingerprints of span %d: %w", s.Span, err)
	}
	if len(raw)%fingerprintBytes != 0 {
		return bucket{}, fmt.Errorf("fingerprints of span %d: %d bytes", s.Span, len(raw))
	}
	fingerprints := make([]uint64, 0, len(raw)/fingerprintBytes)
	for ; len(raw) > 0; raw = raw[fingerprintBytes:] {
		fingerprints = append(fingerprints, binary.BigEndian.Uint64(raw))
	}
	if !slices.IsSorted(fingerprints) {
		return bucket{}, fmt.Errorf("fingerprints of span %d: not sorted", s.Span)
	}
	return bucket{span: s.Span, fingerprints: fingerprints}, nil
}
